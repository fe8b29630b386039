"""Gateway processes of a soak."""

from __future__ import annotations

import asyncio
import os
import pathlib
import signal
import sys

from lab.ports import get_free_port
from lab.soak.deployment import SETTINGS
from lab.soak.proxy import Proxy

RESTART_S = 0.3
"""Seconds from the end of a gateway process until the start of the next."""


class GatewayProcess:
    """One gateway, whose process is restarted after each fault that ends it.

    Attributes:
        name: Name of the gateway's VM.
        client_port: Port that callers connect to.
        ready_port: Port of the readiness endpoint.
        link: Proxy between the gateway and the store.
        is_frozen: Whether the process is suspended by SIGSTOP.
    """

    def __init__(
        self,
        name: str,
        link: Proxy,
        folder: pathlib.Path,
        settings: str = SETTINGS,
    ) -> None:
        self.name = name
        self.link = link
        self.is_frozen = False
        self.client_port, self.ready_port = get_free_port(), get_free_port()
        self._peer_port = get_free_port()
        self._settings = settings
        self._path = folder / f"{name}.conf"
        self._log = folder / f"{name}.log"
        self._process: asyncio.subprocess.Process | None = None
        self._restart_lock = asyncio.Lock()

    @property
    def is_alive(self) -> bool:
        """Whether the gateway process is running."""
        return self._process is not None and self._process.returncode is None

    @property
    def pid(self) -> int:
        """Id of the gateway process, which must have been started."""
        assert self._process is not None
        return self._process.pid

    @property
    def is_restarting(self) -> bool:
        """Whether the process has been told to end and is not back yet."""
        return self._restart_lock.locked()

    async def start(self) -> None:
        """Starts the process and appends its output to the log file."""
        text = self._settings.replace("NAME", self.name)
        text = text.replace("CLIENT", str(self.client_port))
        text = text.replace("READY", str(self.ready_port))
        text = text.replace("PEER", str(self._peer_port))
        self._path.write_text(text.replace("STORE", self.link.address))
        with self._log.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "lovagestage.gateway",
                "--metrics-port=0",
                "--settings",
                str(self._path),
                stdout=log,
                stderr=log,
                env=dict(os.environ),
            )

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Sends a signal to the process of this gateway, if it is running."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(signal_number)
            self.is_frozen = signal_number is signal.SIGSTOP

    async def restart(
        self,
        signal_number: signal.Signals,
        kill_after_s: float | None = None,
    ) -> None:
        """Ends the process with a signal and starts another one.

        Concurrent calls run one after the other.

        Args:
            signal_number: The signal.
            kill_after_s: Seconds after which a process that has not ended is
                killed; None for never.
        """
        async with self._restart_lock:
            self.send_signal(signal_number)
            if self._process is not None:
                await self._wait_or_kill(self._process, kill_after_s)
            await asyncio.sleep(RESTART_S)
            await self.start()

    async def _wait_or_kill(
        self, process: asyncio.subprocess.Process, kill_after_s: float | None
    ) -> None:
        try:
            async with asyncio.timeout(kill_after_s):
                await process.wait()
        except TimeoutError:
            process.kill()
            await process.wait()

    async def stop(self) -> None:
        """Kills the process without starting another one."""
        if self.is_alive and self._process is not None:
            self._process.kill()
            await self._process.wait()

    async def is_ready(self) -> bool:
        """Whether the readiness endpoint answers 200 within a second."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(
                    "127.0.0.1", self.ready_port
                )
                writer.write(b"GET /v1/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in line
