"""A loopback proxy that injects connection faults on command."""

from __future__ import annotations

import asyncio
import enum

from lab.worker import reset_connection

READ_BYTES = 65536
DELAY_S = 0.25


class LinkState(enum.Enum):
    """How the proxy treats the bytes that it relays."""

    HEALTHY = "sound"
    DELAYED = "delayed"
    STALLED = "silent"
    """Discards all bytes without closing the connection.

    A connection that has lost bytes is reset when more bytes or its end are to
    follow them: TCP delivers nothing after a byte that is missing.
    """
    ONE_WAY = "one_way"
    """Discards the bytes that the target sends, in the same way."""
    REFUSED = "refused"
    """Resets each new connection; open ones are reset by `reset_all`."""


class Proxy:
    """Relays TCP connections to a target and injects faults into them.

    Attributes:
        target: `HOST:PORT` that connections are relayed to.
        state: How relayed bytes are treated.
        address: `HOST:PORT` that the proxy listens at; empty before `start`.
    """

    def __init__(self, target: str) -> None:
        self.target = target
        self.state = LinkState.HEALTHY
        self.address = ""
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Starts listening on a free loopback port."""
        self._server = await asyncio.start_server(self._relay, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    def stop(self) -> None:
        """Stops listening and resets all open connections."""
        if self._server is not None:
            self._server.close()
        self.reset_all()
        for task in self._tasks:
            task.cancel()

    def reset_all(self) -> None:
        """Resets all open connections with a TCP RST."""
        for writer in list(self._writers):
            reset_connection(writer)

    async def _relay(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            if self.state is LinkState.REFUSED:
                return
            host, _, port = self.target.rpartition(":")
            target_reader, target_writer = await asyncio.open_connection(
                host, int(port)
            )
            self._writers.add(target_writer)
            try:
                await asyncio.gather(
                    self._copy(reader, target_writer, is_from_target=False),
                    self._copy(target_reader, writer, is_from_target=True),
                )
            finally:
                self._writers.discard(target_writer)
                target_writer.close()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            self._writers.discard(writer)
            if not writer.is_closing():
                reset_connection(writer)

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_from_target: bool,
    ) -> None:
        has_lost_bytes = False
        while data := await reader.read(READ_BYTES):
            if self._discards(is_from_target):
                has_lost_bytes = True
                continue
            if has_lost_bytes:
                raise ConnectionResetError
            if self.state is LinkState.DELAYED:
                await asyncio.sleep(DELAY_S)
            writer.write(data)
            await writer.drain()
        if has_lost_bytes:
            raise ConnectionResetError
        writer.close()

    def _discards(self, is_from_target: bool) -> bool:
        if self.state is LinkState.ONE_WAY:
            return is_from_target
        return self.state is LinkState.STALLED
