"""Faults and planned stops of the gateway processes."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import time
from collections.abc import Iterator

from lab.soak.gateways import GatewayProcess
from lab.soak.records import ProcessFault
from lab.soak.world import SoakEnvironment

SERIES_INTERVALS_S = (0.5, 3.0)
"""Shortest and longest time in seconds from one stop to the next; shorter than
a stop may take, so that stops overlap."""


@contextlib.contextmanager
def record_fault(
    environment: SoakEnvironment, name: str, is_planned: bool = False
) -> Iterator[None]:
    """Records the span of a fault of one gateway or worker."""
    fault = ProcessFault(name, time.monotonic(), is_planned=is_planned)
    environment.process_faults.append(fault)
    try:
        yield
    finally:
        fault.ended_s = time.monotonic()


def _may_end(gateway: GatewayProcess) -> bool:
    return (
        gateway.is_alive and not gateway.is_frozen and not gateway.is_restarting
    )


async def end_gateway(environment: SoakEnvironment) -> None:
    """Terminates or kills a gateway process and starts a replacement."""
    gateway = environment.rng.choice(environment.gateways)
    signal_number = environment.rng.choice((signal.SIGTERM, signal.SIGKILL))
    is_planned = signal_number is signal.SIGTERM
    if _may_end(gateway):
        with record_fault(environment, gateway.name, is_planned):
            await gateway.restart(signal_number)


async def stop_gateways_in_series(environment: SoakEnvironment) -> None:
    """Terminates and restarts all gateways, one soon after the other."""
    stops = []
    for gateway in environment.gateways:
        stops.append(asyncio.ensure_future(_stop_gateway(environment, gateway)))
        await asyncio.sleep(environment.rng.uniform(*SERIES_INTERVALS_S))
    await asyncio.gather(*stops)


async def _stop_gateway(
    environment: SoakEnvironment, gateway: GatewayProcess
) -> None:
    if _may_end(gateway):
        with record_fault(environment, gateway.name, is_planned=True):
            await gateway.restart(signal.SIGTERM)


async def freeze_gateway(environment: SoakEnvironment) -> None:
    """Suspends a gateway process with SIGSTOP for 0.3 to 3.5 s."""
    gateway = environment.rng.choice(environment.gateways)
    with record_fault(environment, gateway.name):
        gateway.send_signal(signal.SIGSTOP)
        await asyncio.sleep(environment.rng.uniform(0.3, 3.5))
        gateway.send_signal(signal.SIGCONT)


async def reload_gateway(environment: SoakEnvironment) -> None:
    """Makes a gateway reload its settings, by SIGHUP."""
    environment.rng.choice(environment.gateways).send_signal(signal.SIGHUP)
