"""Log lines of a gateway: one per event, bounded, never blocking."""

from __future__ import annotations

import asyncio
import collections
import logging
import os
import sys

from lovagestage.gateway.exposition import Exposition, Series
from lovagestage.telemetry.logs import KeyValueFormatter

LINES_PER_S = 40.0
"""Lines of one event and level in a second: twice the requests that one VM
gets. More are counted, not written."""
BURST_LINES = 120.0
MAX_WAITING_BYTES = 256 * 1024
"""Kept while nobody reads standard output; further lines are left out."""
_RENAMED = {"levelname": "level", "asctime": "time", "message": "event"}
_FIELDS = "%(asctime)s %(levelname)s %(message)s"


class _Allowance:
    def __init__(self, now_s: float) -> None:
        self.lines = BURST_LINES
        self.at_s = now_s
        self.left_out = 0


class LineHandler(logging.Handler):
    """Writes lines to a descriptor without waiting for its reader.

    Args:
        descriptor: Where to; set to non-blocking.
        exposition: Counts lines that were left out.
    """

    def __init__(self, descriptor: int, exposition: Exposition) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._exposition = exposition
        self._allowances: dict[tuple[str, int], _Allowance] = {}
        self._waiting: collections.deque[bytes] = collections.deque()
        self._waiting_bytes = 0
        self._is_watching = False
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Writes a line, or counts that it was left out."""
        if not self._allow(record):
            return
        line = self.format(record).encode() + b"\n"
        if self._waiting_bytes + len(line) > MAX_WAITING_BYTES:
            self._exposition.count(Series.LINES_LEFT_OUT)
            return
        self._waiting.append(line)
        self._waiting_bytes += len(line)
        if not self._is_watching:
            self.write_waiting()

    def write_waiting(self) -> None:
        """Writes what the reader takes."""
        while self._waiting:
            line = self._waiting.popleft()
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                self._waiting.appendleft(line)
                self._watch()
                return
            except OSError:
                # Nobody can read any more; there is nowhere to tell it.
                self._exposition.count(Series.LINES_LEFT_OUT)
                written = len(line)
            self._waiting_bytes -= written
            if written < len(line):
                self._waiting.appendleft(line[written:])
        self._unwatch()

    def _watch(self) -> None:
        if not self._is_watching:
            loop = asyncio.get_running_loop()
            loop.add_writer(self._descriptor, self.write_waiting)
            self._is_watching = True

    def _unwatch(self) -> None:
        if self._is_watching:
            asyncio.get_running_loop().remove_writer(self._descriptor)
            self._is_watching = False

    def _allow(self, record: logging.LogRecord) -> bool:
        key = (str(record.msg), record.levelno)
        known = self._allowances.get(key)
        if known is None:
            known = self._allowances[key] = _Allowance(record.created)
        earned = max(0.0, record.created - known.at_s) * LINES_PER_S
        known.lines = min(BURST_LINES, known.lines + earned)
        known.at_s = record.created
        if known.lines < 1.0:
            known.left_out += 1
            self._exposition.count(Series.LINES_LEFT_OUT)
            return False
        known.lines -= 1.0
        if known.left_out:
            record.left_out = known.left_out
            known.left_out = 0
        return True


def _is_event(record: logging.LogRecord) -> bool:
    """Leaves out the service library's own lines; they are sentences."""
    return not str(record.msg).startswith("[^")


def start_logging(vm: str, exposition: Exposition) -> None:
    """Sends all logging of the process to standard output."""
    handler = LineHandler(sys.stdout.fileno(), exposition)
    handler.addFilter(_is_event)
    handler.setFormatter(
        KeyValueFormatter(
            _FIELDS, rename_fields=_RENAMED, static_fields={"vm": vm}
        )
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(logging.INFO)
    logging.getLogger("mode").setLevel(logging.WARNING)
