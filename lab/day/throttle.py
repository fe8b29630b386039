"""Gives a process a part of a processor, as a small machine would.

A helper process suspends it again and again: this process would be late with
that while it plays callers and workers.
"""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import time

from lab.soak.gateways import GatewayProcess

PERIOD_S = 0.02
"""Seconds in which a process runs for its share, and is suspended once."""
POLL_S = 0.05


async def throttle(gateway: GatewayProcess, share: float) -> None:
    """Lets a gateway's processes run for a share of the time until cancelled.

    One that a fault has suspended stays so.
    """
    pid: int | None = None
    helper: asyncio.subprocess.Process | None = None
    try:
        while True:
            if gateway.is_frozen or not gateway.is_alive:
                await _end(helper)
                pid = helper = None
            elif gateway.pid != pid:
                pid = gateway.pid
                helper = await asyncio.create_subprocess_exec(
                    sys.executable, "-S", __file__, str(pid), str(share)
                )
            await asyncio.sleep(POLL_S)
    finally:
        await _end(helper)


async def _end(helper: asyncio.subprocess.Process | None) -> None:
    if helper is not None and helper.returncode is None:
        helper.terminate()
        await helper.wait()


def _run(pid: int, share: float) -> None:
    while True:
        time.sleep(share * PERIOD_S)
        os.kill(pid, signal.SIGSTOP)
        try:
            time.sleep((1.0 - share) * PERIOD_S)
        finally:
            os.kill(pid, signal.SIGCONT)


def main() -> None:
    """Suspends the process of the first argument until it is gone."""
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    try:
        _run(int(sys.argv[1]), float(sys.argv[2]))
    except (KeyboardInterrupt, ProcessLookupError):
        pass


if __name__ == "__main__":
    main()
