"""TCP relay that drops the traffic of its open connections on command.

It simulates a stateful network element, such as a firewall or NAT, that loses
its connection state: bytes of existing connections are dropped without an
error, while new connections work.
"""

from __future__ import annotations

import asyncio
import threading
from types import TracebackType

READ_BYTES = 65536
HOST = "127.0.0.1"


class Relay:
    """Relays connections from its own port to `target`; a context manager.

    Args:
        target: `HOST:PORT` that connections are relayed to.
    """

    def __init__(self, target: str) -> None:
        self._host, _, port = target.rpartition(":")
        self._target_port = int(port)
        self._first_live_number = 0
        self._accepted = 0
        self._started = threading.Event()
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._serve, daemon=True)
        self._port = 0
        # Strong references to the tasks. Otherwise, a connection whose bytes
        # are dropped may be referenced by its own tasks only, and be garbage
        # collected.
        self._connections: set[asyncio.Task[None] | None] = set()

    @property
    def address(self) -> str:
        """Address `HOST:PORT` that the relay listens on."""
        return f"{HOST}:{self._port}"

    @property
    def accepted(self) -> int:
        """Number of connections that the relay has accepted."""
        return self._accepted

    def __enter__(self) -> Relay:
        self._thread.start()
        self._started.wait()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        # Open connections are closed here on purpose, so the loop must not
        # report their exceptions.
        self._loop.set_exception_handler(lambda loop, context: None)
        tasks = asyncio.all_tasks(self._loop)
        for task in tasks:
            task.cancel()
        self._loop.run_until_complete(
            asyncio.gather(*tasks, return_exceptions=True)
        )

    def swallow_existing(self) -> None:
        """Drops all further bytes of the connections that are open now."""
        self._first_live_number = self._accepted

    def _serve(self) -> None:
        starting_server = asyncio.start_server(self._on_connection, HOST, 0)
        server = self._loop.run_until_complete(starting_server)
        self._port = server.sockets[0].getsockname()[1]
        self._started.set()
        self._loop.run_forever()

    async def _on_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._connections.add(asyncio.current_task())
        number = self._accepted
        self._accepted += 1
        try:
            target_reader, target_writer = await asyncio.open_connection(
                self._host, self._target_port
            )
        except OSError:
            writer.close()
            return
        await asyncio.gather(
            self._copy(number, reader, target_writer),
            self._copy(number, target_reader, writer),
        )

    async def _copy(
        self,
        number: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        try:
            while data := await reader.read(READ_BYTES):
                if number >= self._first_live_number:
                    writer.write(data)
        except OSError:
            pass
        if number >= self._first_live_number:
            writer.close()
