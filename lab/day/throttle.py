"""Gives a process a part of a processor, as a small machine would."""

from __future__ import annotations

import asyncio
import os
import signal

from lab.soak.gateways import GatewayProcess

PERIOD_S = 0.04
"""Seconds in which a process runs for its share, and is suspended once."""


async def throttle(gateway: GatewayProcess, share: float) -> None:
    """Lets a gateway's process run for a share of the time until cancelled."""
    while True:
        await asyncio.sleep(share * PERIOD_S)
        if not gateway.is_alive or gateway.is_frozen:
            continue
        pid = gateway.pid
        try:
            os.kill(pid, signal.SIGSTOP)
            await asyncio.sleep((1.0 - share) * PERIOD_S)
        except ProcessLookupError:
            continue
        finally:
            _resume(pid, gateway)


def _resume(pid: int, gateway: GatewayProcess) -> None:
    if gateway.is_alive and gateway.pid == pid and not gateway.is_frozen:
        os.kill(pid, signal.SIGCONT)
