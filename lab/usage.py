"""Reads CPU time and memory of processes from /proc."""

from __future__ import annotations

import dataclasses
import os
import pathlib

_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


@dataclasses.dataclass(frozen=True)
class Usage:
    """CPU time and memory of a process.

    Attributes:
        cpu_s: CPU time in seconds since the process started.
        resident_bytes: Current resident memory in bytes.
    """

    cpu_s: float
    resident_bytes: int


def get_usage(pid: int) -> Usage:
    """Reads the CPU time and memory of one process."""
    folder = pathlib.Path("/proc") / str(pid)
    fields = (folder / "stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    pages = int((folder / "statm").read_text().split()[1])
    return Usage(ticks / _TICKS_PER_S, pages * _PAGE_BYTES)
