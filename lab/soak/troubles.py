"""Faults and planned operations that a soak injects at random.

Several of them may be active at the same time.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable

from lab.metadata_store import OPERATOR_ONLY
from lab.soak.answers import ENDLESS_SCRIPTS, SCRIPTS
from lab.soak.connection_troubles import (
    skew_connections,
    skew_connections_under_limits,
)
from lab.soak.crash_troubles import send_crashing_parts, send_crashing_request
from lab.soak.gateway_troubles import (
    end_gateway,
    freeze_gateway,
    record_fault,
    reload_gateway,
    stop_gateways_in_series,
)
from lab.soak.proxy import LinkState
from lab.soak.records import StatedLimit
from lab.soak.rollout_troubles import roll_out_slow_version
from lab.soak.world import SoakEnvironment

REWRITE_S = 0.8
"""Longest time in seconds until what a store has lost is written again; shorter
than its gateways take a copy for one that lacks something."""
Fault = Callable[[SoakEnvironment], Awaitable[None]]


def _choose_live_worker(environment: SoakEnvironment) -> str | None:
    """Chooses a live worker; None where requests have crashed all of them."""
    live = environment.get_live_workers()
    return environment.rng.choice(live) if live else None


async def spoil_store(environment: SoakEnvironment) -> None:
    """Makes the store fail, stall, delay, serve stale data or lose appends.

    One of these faults is chosen at random and lasts 0.3 to 3.5 s.
    """
    name = environment.rng.choice(
        ("outage", "slow_ms", "stale_by", "lose_appends")
    )
    value: dict[str, object] = {
        "outage": environment.rng.choice(("503", "429", "reset", "silent")),
        "slow_ms": 250.0,
        "stale_by": 2,
        "lose_appends": 3,
    }
    environment.store.faults.update({name: value[name]})
    await asyncio.sleep(environment.rng.uniform(0.3, 3.5))
    environment.store.faults.update({name: None})


async def forget_history(environment: SoakEnvironment) -> None:
    """Drops all records of keyed topics but the newest of each key."""
    for topic in list(environment.store.topics.values()):
        if topic.is_keyed:
            topic.delete_records()


async def spoil_link(environment: SoakEnvironment) -> None:
    """Injects a connection fault into a link to the store or to a worker."""
    links = {gateway.name: gateway.link for gateway in environment.gateways}
    links |= {
        name: environment.links[name] for name in environment.get_live_workers()
    }
    name = environment.rng.choice(list(links))
    link = links[name]
    with record_fault(environment, name):
        link.state = environment.rng.choice(list(LinkState))
        if link.state is LinkState.REFUSED:
            link.reset_all()
        await asyncio.sleep(environment.rng.uniform(0.3, 3.0))
        link.state = LinkState.HEALTHY


async def crash_worker(environment: SoakEnvironment) -> None:
    """Stops a worker abruptly and starts another one.

    The stopped worker's store entry is removed 0.1 to 1 s later. If at most
    two workers are live, only a new worker is started.
    """
    live = environment.get_live_workers()
    if len(live) > 2:
        await environment.crash_worker(environment.rng.choice(live))
        return
    await environment.add_worker()


async def restart_worker(environment: SoakEnvironment) -> None:
    """Restarts a worker under its id; a heartbeat from before comes late."""
    name = _choose_live_worker(environment)
    if name is None or name in environment.restarting:
        return
    environment.restarting.add(name)
    with record_fault(environment, name):
        await environment.restart_worker(name)
    environment.restarting.discard(name)


async def restore_store(environment: SoakEnvironment) -> None:
    """Brings the store back from a copy that is 0.3 to 3 s old.

    It is away for up to 1 s. What the operators and the workers wrote since the
    copy is written again up to `REWRITE_S` after its return.
    """
    store, rng = environment.store, environment.rng
    copy = store.take_copy()
    await asyncio.sleep(rng.uniform(0.3, 3.0))
    store.faults.update({"outage": rng.choice(("503", "reset", "silent"))})
    await asyncio.sleep(rng.uniform(0.05, 1.0))
    newest = {
        name: dict(store.get_topic(name).newest) for name in OPERATOR_ONLY
    }
    store.restore_copy(copy)
    returned = {
        name: dict(store.get_topic(name).newest) for name in OPERATOR_ONLY
    }
    store.faults.update({"outage": None})
    await asyncio.sleep(rng.uniform(0.0, REWRITE_S))
    for name, records in newest.items():
        topic = store.get_topic(name)
        # What was written meanwhile is newer than what was lost.
        kept = {
            key
            for key in topic.newest.keys() | records.keys()
            if topic.newest.get(key) == returned[name].get(key)
        }
        for key in kept - records.keys():
            store.append_keyed(name, key, b"")
        for key, (offset, value) in sorted(
            records.items(), key=lambda item: item[1][0]
        ):
            if key in kept and topic.newest.get(key) != (offset, value):
                store.append_keyed(name, key, value)


async def drain_worker(environment: SoakEnvironment) -> None:
    """Marks a worker as draining or removes its entry, then adds a worker.

    Nothing happens if at most two workers are live.
    """
    live = environment.get_live_workers()
    if len(live) <= 2:
        return
    name = environment.rng.choice(live)
    environment.departure_s[name] = time.monotonic()
    if environment.rng.random() < 0.7:
        environment.write_worker_entry(name, "draining")
    else:
        environment.remove_worker_entry(name)
    await asyncio.sleep(1.0)
    await environment.add_worker()


async def state_limit(environment: SoakEnvironment) -> None:
    """Makes a worker state one or two request limits, for 4 to 9 s each."""
    name = _choose_live_worker(environment)
    if name is None:
        return
    worker = environment.workers[name]
    if worker.notices:
        return
    for _ in range(environment.rng.randint(1, 2)):
        limit = StatedLimit(
            name, environment.rng.choice((0.5, 2.0, 5.0)), time.monotonic()
        )
        environment.limits.append(limit)
        worker.notices = {"Server-Limit": f"{limit.per_s}"}
        await asyncio.sleep(environment.rng.uniform(4.0, 9.0))
        limit.ended_s = time.monotonic()
    worker.notices = {}


async def state_departure(environment: SoakEnvironment) -> None:
    """Makes a worker say in its answers that it leaves, then adds a worker.

    Its store entry says so 0.5 to 4 s later. Nothing happens if at most two
    workers are live.
    """
    live = environment.get_live_workers()
    if len(live) <= 2:
        return
    name = environment.rng.choice(live)
    environment.workers[name].notices = {"Server-Leaving": "1"}
    await environment.add_worker()
    await asyncio.sleep(environment.rng.uniform(0.5, 4.0))
    if name not in environment.departure_s:
        environment.departure_s[name] = time.monotonic()
        environment.write_worker_entry(name, "draining")


async def ask_for_rest(environment: SoakEnvironment) -> None:
    """Makes a worker refuse all requests for 0.5 to 3 s and ask for a rest."""
    name = _choose_live_worker(environment)
    if name is None:
        return
    environment.serving.rest_s[name] = environment.rng.uniform(0.8, 3.0)
    await asyncio.sleep(environment.rng.uniform(0.5, 3.0))
    environment.serving.rest_s.pop(name, None)


async def state_nonsense(environment: SoakEnvironment) -> None:
    """Makes a worker state unusable things of itself for 0.5 to 2 s."""
    name = _choose_live_worker(environment)
    if name is None:
        return
    worker = environment.workers[name]
    if worker.notices:
        return
    value = environment.rng.choice(("-1", "inf", "nan", "", "x", "1e999"))
    worker.notices = {"Server-Limit": value, "Server-Leaving": value}
    await asyncio.sleep(environment.rng.uniform(0.5, 2.0))
    worker.notices = {}


async def spoil_answers(environment: SoakEnvironment) -> None:
    """Makes workers answer 5% to 30% of their requests in one faulty way."""
    name = environment.rng.choice((*SCRIPTS, "break"))
    environment.serving.fault_ratios[name] = environment.rng.uniform(0.05, 0.3)
    await asyncio.sleep(environment.rng.uniform(0.5, 3.0))
    environment.serving.fault_ratios.pop(name, None)


async def answer_without_end(environment: SoakEnvironment) -> None:
    """Makes workers answer 2% to 10% of their requests without end."""
    name = environment.rng.choice(tuple(ENDLESS_SCRIPTS))
    environment.serving.fault_ratios[name] = environment.rng.uniform(0.02, 0.1)
    await asyncio.sleep(environment.rng.uniform(0.5, 3.0))
    environment.serving.fault_ratios.pop(name, None)


async def change_configuration(environment: SoakEnvironment) -> None:
    """Publishes up to six configurations in quick succession.

    Each of them adds an API key and may revoke one.
    """
    for _ in range(environment.rng.randint(1, 6)):
        environment.change_keys(add=1, remove=environment.rng.randint(0, 1))
        await asyncio.sleep(environment.rng.uniform(0.02, 0.3))


FAULTS: tuple[Fault, ...] = (
    end_gateway,
    freeze_gateway,
    reload_gateway,
    spoil_store,
    forget_history,
    spoil_link,
    spoil_link,
    crash_worker,
    drain_worker,
    spoil_answers,
    change_configuration,
    state_limit,
    state_departure,
    ask_for_rest,
    state_nonsense,
    send_crashing_request,
    restore_store,
    restart_worker,
    answer_without_end,
)
"""Faults that runs choose from when told nothing else."""
LONG_FAULTS: tuple[Fault, ...] = (
    send_crashing_parts,
    roll_out_slow_version,
    stop_gateways_in_series,
    skew_connections,
    skew_connections_under_limits,
)
"""Faults that last for several seconds each."""
ALL_FAULTS = (*FAULTS, *LONG_FAULTS)
