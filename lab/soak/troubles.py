"""Faults and planned operations that a soak injects at random.

Several of them may be active at the same time.
"""

from __future__ import annotations

import asyncio
import contextlib
import math
import signal
import time
from collections.abc import Awaitable, Callable, Iterator

from lab.caller import make_request, read_reply
from lab.metadata_store import OPERATOR_ONLY
from lab.soak.proxy import LinkState
from lab.soak.traffic import DEADLINE_S
from lab.soak.world import (
    CRASHING_BODY,
    SCRIPTS,
    GatewayProcess,
    SoakEnvironment,
    StatedLimit,
)

Fault = Callable[[SoakEnvironment], Awaitable[None]]


def _choose_live_worker(environment: SoakEnvironment) -> str | None:
    """Chooses a live worker; None where requests have crashed all of them."""
    live = environment.get_live_workers()
    return environment.rng.choice(live) if live else None


@contextlib.contextmanager
def _record_gateway_fault(
    environment: SoakEnvironment, gateway: str
) -> Iterator[None]:
    """Records the span of a fault of one gateway."""
    begun_s = time.monotonic()
    environment.gateway_faults.append((gateway, begun_s, math.inf))
    index = len(environment.gateway_faults) - 1
    try:
        yield
    finally:
        ended = (gateway, begun_s, time.monotonic())
        environment.gateway_faults[index] = ended


async def end_gateway(environment: SoakEnvironment) -> None:
    """Terminates or kills a gateway process and starts a replacement."""
    gateway = environment.rng.choice(environment.gateways)
    signal_number = environment.rng.choice((signal.SIGTERM, signal.SIGKILL))
    if gateway.is_alive and not gateway.is_frozen:
        with _record_gateway_fault(environment, gateway.name):
            await gateway.restart(signal_number)


async def freeze_gateway(environment: SoakEnvironment) -> None:
    """Suspends a gateway process with SIGSTOP for 0.3 to 3.5 s."""
    gateway = environment.rng.choice(environment.gateways)
    with _record_gateway_fault(environment, gateway.name):
        gateway.send_signal(signal.SIGSTOP)
        await asyncio.sleep(environment.rng.uniform(0.3, 3.5))
        gateway.send_signal(signal.SIGCONT)


async def reload_gateway(environment: SoakEnvironment) -> None:
    """Makes a gateway reload its settings, by SIGHUP."""
    environment.rng.choice(environment.gateways).send_signal(signal.SIGHUP)


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
    with _record_gateway_fault(environment, name):
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


async def send_crashing_request(environment: SoakEnvironment) -> None:
    """Sends one request that crashes each worker, to all gateways, repeatedly.

    Copies go out at one moment, in several waves under new ids.
    """
    body = CRASHING_BODY + b"%d" % len(environment.crashing_runs)
    environment.crashing_runs[body] = []
    for wave in range(environment.rng.randint(3, 6)):
        copies = [
            _send_copy(environment, gateway, body, f"{wave}-{copy}")
            for gateway in environment.gateways
            for copy in range(environment.rng.randint(0, 2))
        ]
        await asyncio.gather(*copies, return_exceptions=True)
        await asyncio.sleep(environment.rng.uniform(0.2, 2.0))


async def _send_copy(
    environment: SoakEnvironment,
    gateway: GatewayProcess,
    body: bytes,
    copy: str,
) -> None:
    request_id = f"{body.decode()}-{gateway.name}-{copy}"
    environment.crashing_senders[request_id] = gateway.name
    key = next(k for k, ended in environment.keys.items() if ended is None)
    request = make_request(
        f"/safe/{body.decode()}", key=key, request_id=request_id, body=body
    )
    async with asyncio.timeout(DEADLINE_S):
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", gateway.client_port
        )
        try:
            writer.write(request)
            await read_reply(reader)
        finally:
            writer.close()


async def restore_store(environment: SoakEnvironment) -> None:
    """Brings the store back from a copy that is 0.3 to 3 s old.

    It is away for up to 1 s. What the operators and the workers wrote since the
    copy is then written again.
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
    for name, records in newest.items():
        topic = store.get_topic(name)
        for key in topic.newest.keys() - records.keys():
            store.append_keyed(name, key, b"")
        for key, (offset, value) in sorted(
            records.items(), key=lambda item: item[1][0]
        ):
            if topic.newest.get(key) != (offset, value):
                store.append_keyed(name, key, value)
    store.faults.update({"outage": None})


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
        environment.store.append_keyed("keyed.servers", name, b"")
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
    environment.rest_s[name] = environment.rng.uniform(0.8, 3.0)
    await asyncio.sleep(environment.rng.uniform(0.5, 3.0))
    environment.rest_s.pop(name, None)


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
    environment.fault_ratios[name] = environment.rng.uniform(0.05, 0.3)
    await asyncio.sleep(environment.rng.uniform(0.5, 3.0))
    environment.fault_ratios.pop(name, None)


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
)
