"""Faults and planned work, in series that overlap."""

from __future__ import annotations

import asyncio
import signal
import time
from collections.abc import Awaitable, Callable

from lab.soak.proxy import LinkState
from lab.soak.world import SCRIPTS, World

Trouble = Callable[[World], Awaitable[None]]


async def end_gateway(world: World) -> None:
    """Stops or kills a gateway; another process takes its place."""
    gateway = world.rng.choice(world.gateways)
    number = world.rng.choice((signal.SIGTERM, signal.SIGKILL))
    if gateway.is_alive and not gateway.is_frozen:
        await gateway.end(number)


async def freeze_gateway(world: World) -> None:
    """A gateway stands still for a while."""
    gateway = world.rng.choice(world.gateways)
    gateway.send_signal(signal.SIGSTOP)
    await asyncio.sleep(world.rng.uniform(0.3, 3.5))
    gateway.send_signal(signal.SIGCONT)


async def reload_gateway(world: World) -> None:
    """Settings are read again."""
    world.rng.choice(world.gateways).send_signal(signal.SIGHUP)


async def spoil_store(world: World) -> None:
    """The store refuses, falls silent, loses answers, shows the past."""
    name = world.rng.choice(("outage", "slow_ms", "stale_by", "lose_appends"))
    value: dict[str, object] = {
        "outage": world.rng.choice(("503", "429", "reset", "silent")),
        "slow_ms": 250.0,
        "stale_by": 2,
        "lose_appends": 3,
    }
    world.store.faults.update({name: value[name]})
    await asyncio.sleep(world.rng.uniform(0.3, 3.5))
    world.store.faults.update({name: None})


async def forget_history(world: World) -> None:
    """The store drops its records but for the newest of each key."""
    for topic in list(world.store.topics.values()):
        if topic.is_keyed:
            topic.delete_records()


async def spoil_link(world: World) -> None:
    """A way to the store or to a worker goes wrong."""
    links = [gateway.link for gateway in world.gateways]
    links += [world.links[name] for name in world.get_live_workers()]
    link = world.rng.choice(links)
    link.state = world.rng.choice(list(LinkState))
    if link.state is LinkState.REFUSED:
        link.reset_all()
    await asyncio.sleep(world.rng.uniform(0.3, 3.0))
    link.state = LinkState.SOUND


async def crash_worker(world: World) -> None:
    """A worker resets all it does; another one starts."""
    live = world.get_live_workers()
    if len(live) > 2:
        name = world.rng.choice(live)
        world.left_s[name] = time.monotonic()
        await world.workers[name].stop()
        world.links[name].stop()
        await asyncio.sleep(world.rng.uniform(0.1, 1.0))
        world.store.append_keyed("keyed.servers", name, b"")
    await world.add_worker()


async def drain_worker(world: World) -> None:
    """A worker says that it leaves, or its entry just ends."""
    live = world.get_live_workers()
    if len(live) <= 2:
        return
    name = world.rng.choice(live)
    world.left_s[name] = time.monotonic()
    if world.rng.random() < 0.7:
        world.put_entry(name, "draining")
    else:
        world.store.append_keyed("keyed.servers", name, b"")
    await asyncio.sleep(1.0)
    await world.add_worker()


async def spoil_answers(world: World) -> None:
    """Workers spoil a share of their answers."""
    name = world.rng.choice((*SCRIPTS, "break"))
    world.misbehaviour[name] = world.rng.uniform(0.05, 0.3)
    await asyncio.sleep(world.rng.uniform(0.5, 3.0))
    world.misbehaviour.pop(name, None)


async def change_configuration(world: World) -> None:
    """Configurations in quick succession; keys come and go."""
    for _ in range(world.rng.randint(1, 6)):
        world.change_keys(add=1, remove=world.rng.randint(0, 1))
        await asyncio.sleep(world.rng.uniform(0.02, 0.3))


TROUBLES: tuple[Trouble, ...] = (
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
)
