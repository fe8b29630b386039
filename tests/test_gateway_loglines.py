"""Log output: one line per event, rate-limited and non-blocking."""

from __future__ import annotations

import asyncio
import logging
import os

import pytest

from lovagestage.gateway.exposition import Exposition, Series
from lovagestage.gateway.log_output import (
    BURST_LINES,
    MAX_BUFFERED_BYTES,
    LineHandler,
)
from lovagestage.telemetry.logs import KeyValueFormatter


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    yield reader, writer
    os.close(reader)
    os.close(writer)


def make_handler(descriptor, exposition=None):
    handler = LineHandler(descriptor, exposition or Exposition())
    handler.setFormatter(KeyValueFormatter("%(levelname)s %(message)s"))
    return handler


def make_record(event, created=0.0, level=logging.INFO, **fields):
    record = logging.LogRecord("x", level, "", 0, event, None, None)
    record.created = created
    for name, value in fields.items():
        setattr(record, name, value)
    return record


def read_lines(reader):
    return os.read(reader, 1 << 20).decode().splitlines()


def test_writes_one_line_per_event(pipe):
    handler = make_handler(pipe[1])
    handler.emit(make_record("request_ended", request="a1", reason="x y"))
    line = 'levelname=INFO message=request_ended request=a1 reason="x y"'
    assert read_lines(pipe[0]) == [line]


def test_limits_lines_per_event_and_reports_dropped_lines(pipe):
    # Thousands of requests fail within a second. Lines of that event beyond the
    # rate limit are counted as dropped, and lines of other events are still
    # written.
    exposition = Exposition()
    handler = make_handler(pipe[1], exposition)
    for _ in range(5000):
        handler.emit(make_record("request_ended", 10.0))
    handler.emit(make_record("store_lost", 10.0))
    handler.emit(make_record("request_ended", 12.0))
    lines = read_lines(pipe[0])
    assert len(lines) == BURST_LINES + 2
    assert "store_lost" in lines[-2]
    assert f"left_out={5000 - int(BURST_LINES)}" in lines[-1]
    name = Series.LINES_DROPPED.value.name
    assert f"{name}{{}} 4880" in exposition.format_text()


async def test_stalled_reader_drops_lines_without_blocking(pipe):
    # The process that reads standard output has stopped, and the pipe is full.
    # Logging must not block, and lines that fit into the buffer are written
    # when the reader continues.
    reader, writer = pipe
    handler = make_handler(writer)
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    for second in range(400):
        for _ in range(20):
            handler.emit(make_record("x" * 100, float(second)))
    assert loop.time() - started_s < 2.0
    assert handler._buffered_bytes <= MAX_BUFFERED_BYTES
    total = 0
    for _ in range(200):
        await asyncio.sleep(0)
        try:
            total += len(os.read(reader, 1 << 16))
        except BlockingIOError:
            await asyncio.sleep(0.002)
    assert total > MAX_BUFFERED_BYTES
    assert handler._buffered_bytes == 0


def test_histograms_are_cumulative():
    exposition = Exposition()
    for value_s in (0.02, 0.3, 99.0):
        exposition.observe(Series.ANSWER_S, 'kind="safe"', value_s)
    text = exposition.format_text()
    name = "lovagestage_answer_seconds"
    assert f'{name}_bucket{{kind="safe",le="0.025"}} 1' in text
    assert f'{name}_bucket{{kind="safe",le="0.5"}} 2' in text
    assert f'{name}_bucket{{kind="safe",le="+Inf"}} 3' in text
    assert f'{name}_count{{kind="safe"}} 3' in text
