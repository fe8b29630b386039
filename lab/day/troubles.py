"""Plays the entries of a day."""

from __future__ import annotations

import asyncio
import math
import random
import signal
import time
from collections.abc import Awaitable, Callable

from lab.day.callers import Balancer, Skew
from lab.day.deployment import GRACE_S, OLD_VERSION, POOL
from lab.day.fleet import DayFleet
from lab.day.plan import Kind, Trouble
from lab.day.records import DayRecord, Work, WorkKind
from lab.soak.gateways import GatewayProcess

OUTCOME_POLL_S = 0.05
DRAIN_AFTER_S = 3.0
"""Seconds from the reversal of a roll-out until its workers drain."""
DRAIN_S = 3.0
"""Seconds for which a draining worker goes on serving."""
SETTLED = ("completed", "reverted")


class Troubles:
    """Plays the entries of a day on a fleet.

    Args:
        fleet: The fleet.
        balancer: Chooses gateways for new connections.
        record: Gets what was done to the gateways.
        rng: Source of all random choices.
    """

    def __init__(
        self,
        fleet: DayFleet,
        balancer: Balancer,
        record: DayRecord,
        rng: random.Random,
    ) -> None:
        self._fleet = fleet
        self._balancer = balancer
        self._record = record
        self._rng = rng
        self._version = 1
        self._route_count = 0

    async def play(self, trouble: Trouble) -> None:
        """Waits for the time of an entry, and plays it."""
        await asyncio.sleep(trouble.at_s)
        actions: dict[Kind, Callable[[Trouble], Awaitable[None]]] = {
            Kind.ROLLOUT_BAD: self._roll_out,
            Kind.ROLLOUT_GOOD: self._roll_out,
            Kind.HUP: self._reload,
            Kind.ROLL_TERM: self._restart_in_turn,
            Kind.CONFIG_CHANGE: self._change_configuration,
            Kind.CONFIG_STORM: self._change_often,
            Kind.NODE_FREEZE: self._freeze,
            Kind.NODE_KILL: self._kill,
            Kind.SKEW_CONNECTIONS: self._skew_connections,
        }
        await actions[trouble.kind](trouble)

    async def _roll_out(self, trouble: Trouble) -> None:
        self._version += 1
        fleet, version = self._fleet, f"v{self._version}"
        is_bad = trouble.kind is Kind.ROLLOUT_BAD
        old = fleet.get_workers(OLD_VERSION)
        fleet.order_rollout(version, trouble.for_s)
        for _ in range(POOL.workers):
            await fleet.add_worker(
                POOL.name,
                version,
                trouble.share if is_bad else 0.0,
                trouble.factor if is_bad else 1.0,
            )
        while (state := fleet.read_outcome(version)) not in SETTLED:
            await asyncio.sleep(OUTCOME_POLL_S)
        self._record.outcomes.append(f"{version} {state}")
        if state == "completed":
            await asyncio.gather(*map(fleet.end_worker, old))
            return
        await asyncio.sleep(DRAIN_AFTER_S)
        new = fleet.get_workers(version)
        for worker in new:
            fleet.write_entry(worker, "draining")
        await asyncio.sleep(DRAIN_S)
        await asyncio.gather(*map(fleet.end_worker, new))

    async def _reload(self, trouble: Trouble) -> None:
        for gateway in self._choose_gateways(trouble.share):
            now_s = time.monotonic()
            if gateway.is_alive:
                gateway.send_signal(signal.SIGHUP)
                self._add_work(WorkKind.HUP, gateway, now_s).ended_s = now_s
            await asyncio.sleep(trouble.gap_s)

    async def _restart_in_turn(self, trouble: Trouble) -> None:
        gateways = self._choose_gateways(trouble.share)
        count = max(1, int(trouble.factor))
        for first in range(0, len(gateways), count):
            turn = gateways[first : first + count]
            await asyncio.gather(*map(self._restart, turn))
            await asyncio.sleep(trouble.gap_s)

    async def _restart(self, gateway: GatewayProcess) -> None:
        if gateway.is_restarting:
            return
        work = self._add_work(WorkKind.TERM, gateway, time.monotonic())
        await gateway.restart(signal.SIGTERM, kill_after_s=GRACE_S)
        work.ended_s = time.monotonic()

    async def _change_configuration(self, trouble: Trouble) -> None:
        del trouble
        self._route_count += 1
        names = [f"extra{n}" for n in range(self._route_count)]
        self._fleet.write_configuration(names)

    async def _change_often(self, trouble: Trouble) -> None:
        end_s = time.monotonic() + trouble.for_s
        while time.monotonic() < end_s:
            await self._change_configuration(trouble)
            await asyncio.sleep(trouble.gap_s)

    async def _freeze(self, trouble: Trouble) -> None:
        frozen = [g for g in self._choose_gateways(trouble.share) if g.is_alive]
        works = [
            self._add_work(WorkKind.FREEZE, gateway, time.monotonic())
            for gateway in frozen
        ]
        for gateway in frozen:
            gateway.send_signal(signal.SIGSTOP)
        await asyncio.sleep(trouble.for_s)
        for gateway, work in zip(frozen, works, strict=True):
            gateway.send_signal(signal.SIGCONT)
            work.ended_s = time.monotonic()

    async def _kill(self, trouble: Trouble) -> None:
        """Kills gateways, first the one that gets most new connections."""
        chosen = self._choose_gateways(trouble.share)
        if (skew := self._balancer.skew) is not None:
            chosen = [skew.gateway, *(g for g in chosen if g != skew.gateway)]
            chosen = chosen[: max(1, len(chosen) - 1)]
        works = [
            self._add_work(WorkKind.KILL, gateway, time.monotonic())
            for gateway in chosen
        ]
        await asyncio.gather(*(g.restart(signal.SIGKILL) for g in chosen))
        for work in works:
            work.ended_s = time.monotonic()

    async def _skew_connections(self, trouble: Trouble) -> None:
        (gateway,) = self._rng.sample(self._fleet.gateways, 1)
        work = self._add_work(WorkKind.SKEW, gateway, time.monotonic())
        self._balancer.skew = Skew(gateway, trouble.share)
        await asyncio.sleep(trouble.for_s)
        self._balancer.skew = None
        work.ended_s = time.monotonic()

    def _add_work(
        self, kind: WorkKind, gateway: GatewayProcess, begun_s: float
    ) -> Work:
        work = Work(kind, gateway.name, begun_s)
        self._record.works.append(work)
        return work

    def _choose_gateways(self, share: float) -> list[GatewayProcess]:
        """Chooses a share of the gateways, in a random order."""
        gateways = self._fleet.gateways
        count = max(1, math.ceil(share * len(gateways)))
        return self._rng.sample(gateways, count)
