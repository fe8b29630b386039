"""Log output of a gateway: one line per event, rate-limited, non-blocking."""

from __future__ import annotations

import asyncio
import collections
import logging
import os
import sys

from lovagestage.gateway.exposition import Exposition, Series
from lovagestage.telemetry.logs import KeyValueFormatter

LINES_PER_S = 40.0
"""Rate limit in lines per second for each event and level: twice the requests
that one VM gets. Further lines are counted and dropped."""
BURST_LINES = 120.0
MAX_BUFFERED_BYTES = 256 * 1024
"""Size limit in bytes of the buffer that is filled while standard output is not
read; further lines are dropped."""
_RENAMED_FIELDS = {"levelname": "level", "asctime": "time", "message": "event"}
_LINE_FORMAT = "%(asctime)s %(levelname)s %(message)s"


class _RateLimit:
    def __init__(self, now_s: float) -> None:
        self.tokens = BURST_LINES
        self.updated_s = now_s
        self.dropped = 0


class LineHandler(logging.Handler):
    """Writes log lines to a file descriptor without waiting for its reader.

    Args:
        descriptor: Descriptor to write to; it is set to non-blocking.
        exposition: Counts lines that were dropped.
    """

    def __init__(self, descriptor: int, exposition: Exposition) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._exposition = exposition
        self._limits: dict[tuple[str, int], _RateLimit] = {}
        self._buffer: collections.deque[bytes] = collections.deque()
        self._buffered_bytes = 0
        self._is_waiting_to_write = False
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Writes a line, buffers it, or counts it as dropped."""
        if not self._is_within_limit(record):
            return
        line = self.format(record).encode() + b"\n"
        if self._buffered_bytes + len(line) > MAX_BUFFERED_BYTES:
            self._exposition.count(Series.LINES_DROPPED)
            return
        self._buffer.append(line)
        self._buffered_bytes += len(line)
        if not self._is_waiting_to_write:
            self.write_buffered()

    def write_buffered(self) -> None:
        """Writes buffered lines until a write would block or none is left."""
        while self._buffer:
            line = self._buffer.popleft()
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                self._buffer.appendleft(line)
                self._start_waiting_to_write()
                return
            except OSError:
                # The reader has closed the pipe, so the loss cannot be logged;
                # it is only counted.
                self._exposition.count(Series.LINES_DROPPED)
                written = len(line)
            self._buffered_bytes -= written
            if written < len(line):
                self._buffer.appendleft(line[written:])
        self._stop_waiting_to_write()

    def _start_waiting_to_write(self) -> None:
        if not self._is_waiting_to_write:
            loop = asyncio.get_running_loop()
            loop.add_writer(self._descriptor, self.write_buffered)
            self._is_waiting_to_write = True

    def _stop_waiting_to_write(self) -> None:
        if self._is_waiting_to_write:
            asyncio.get_running_loop().remove_writer(self._descriptor)
            self._is_waiting_to_write = False

    def _is_within_limit(self, record: logging.LogRecord) -> bool:
        key = (str(record.msg), record.levelno)
        limit = self._limits.get(key)
        if limit is None:
            limit = self._limits[key] = _RateLimit(record.created)
        refill = max(0.0, record.created - limit.updated_s) * LINES_PER_S
        limit.tokens = min(BURST_LINES, limit.tokens + refill)
        limit.updated_s = record.created
        if limit.tokens < 1.0:
            limit.dropped += 1
            self._exposition.count(Series.LINES_DROPPED)
            return False
        limit.tokens -= 1.0
        if limit.dropped:
            record.left_out = limit.dropped
            limit.dropped = 0
        return True


def _is_event(record: logging.LogRecord) -> bool:
    """Filters out the service library's own lines, which are sentences."""
    return not str(record.msg).startswith("[^")


def start_logging(vm: str, exposition: Exposition) -> None:
    """Sends all log output of the process to standard output.

    Args:
        vm: Name of the VM, added to each line.
        exposition: Counts lines that were dropped.
    """
    handler = LineHandler(sys.stdout.fileno(), exposition)
    handler.addFilter(_is_event)
    handler.setFormatter(
        KeyValueFormatter(
            _LINE_FORMAT,
            rename_fields=_RENAMED_FIELDS,
            static_fields={"vm": vm},
        )
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(logging.INFO)
    logging.getLogger("mode").setLevel(logging.WARNING)
