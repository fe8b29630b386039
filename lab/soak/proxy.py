"""A loopback proxy whose connections go wrong on command."""

from __future__ import annotations

import asyncio
import enum

from lab.worker import reset_connection

READ_BYTES = 65536
DELAY_S = 0.25


class LinkState(enum.Enum):
    """What the proxy does to the bytes that pass."""

    SOUND = "sound"
    DELAYED = "delayed"
    SILENT = "silent"
    """Nothing passes, nothing is closed."""
    ONE_WAY = "one_way"
    """What the far end sends is lost."""
    REFUSED = "refused"
    """Connections are reset, new ones too."""


class Proxy:
    """Relays connections to a target.

    Attributes:
        target: `HOST:PORT` to relay to.
        state: What happens to the bytes.
        address: `HOST:PORT` that it listens at.
    """

    def __init__(self, target: str) -> None:
        self.target = target
        self.state = LinkState.SOUND
        self.address = ""
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listens on the loopback."""
        self._server = await asyncio.start_server(self._relay, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    def stop(self) -> None:
        """Ends it and its connections."""
        if self._server is not None:
            self._server.close()
        self.reset_all()
        for task in self._tasks:
            task.cancel()

    def reset_all(self) -> None:
        """Resets all connections."""
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
            far_reader, far_writer = await asyncio.open_connection(
                host, int(port)
            )
            self._writers.add(far_writer)
            try:
                await asyncio.gather(
                    self._copy(reader, far_writer, is_answer=False),
                    self._copy(far_reader, writer, is_answer=True),
                )
            finally:
                self._writers.discard(far_writer)
                far_writer.close()
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
        is_answer: bool,
    ) -> None:
        while data := await reader.read(READ_BYTES):
            if self.state is LinkState.SILENT:
                continue
            if self.state is LinkState.ONE_WAY and is_answer:
                continue
            if self.state is LinkState.DELAYED:
                await asyncio.sleep(DELAY_S)
            writer.write(data)
            await writer.drain()
        writer.close()
