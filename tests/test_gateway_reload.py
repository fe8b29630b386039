"""Reloads of the settings at any moment of a gateway process's life."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import sys

import pytest

from lovagestage.timers import TimerService
from tests.test_gateway_process import (
    ROOT,
    SETTINGS_VARIABLE,
    run_gateway_process,
)

RELOADED = b"event=settings_reloaded"


async def read_until(stream, text):
    """Reads lines until one holds a text, and returns it."""
    async with asyncio.timeout(6.0):
        while text not in (line := await stream.readline()):
            assert line, "the process has ended"
    return line


@pytest.mark.parametrize("delay_s", [0.0, 0.05, 0.1])
async def test_reload_during_the_start_does_not_end_the_process(
    tmp_path, delay_s
):
    # SIGHUP ended a process that was still importing. Its port was open
    # already: callers that had connected were reset.
    async with run_gateway_process(tmp_path) as harness:
        await harness.stop_process()
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "lovagestage.gateway",
            "--metrics-port=0",
            env={**os.environ, SETTINGS_VARIABLE: str(harness.path)},
            stdout=asyncio.subprocess.PIPE,
            cwd=ROOT,
        )
        harness.process = process
        await wait_until_port_is_open(harness)
        await asyncio.sleep(delay_s)
        process.send_signal(signal.SIGHUP)
        await harness.wait_until_ready()
        assert process.returncode is None


async def wait_until_port_is_open(harness):
    async with asyncio.timeout(5.0):
        while True:
            with contextlib.suppress(OSError):
                _, writer = await harness.connect()
                writer.close()
                return
            await asyncio.sleep(0.001)


async def test_settings_changed_during_the_start_come_into_force(tmp_path):
    # A change between the first reading of the settings and the handling of
    # signals was noticed by nobody.
    async with run_gateway_process(tmp_path) as harness:
        await read_until(harness.process.stdout, RELOADED)


async def test_settings_that_are_no_text_leave_the_old_ones_in_force(tmp_path):
    # Bytes that are no UTF-8 ended the timers: expired upstreams stayed in use
    # and no later change was noticed.
    async with run_gateway_process(tmp_path) as harness:
        text = harness.path.read_bytes()
        await read_until(harness.process.stdout, RELOADED)
        await asyncio.sleep(1.2)
        harness.path.write_bytes(b"NodeName=\xff\xfe\n" + text)
        line = await read_until(harness.process.stdout, b"settings_refused")
        assert b"cause=file" in line
        harness.path.write_bytes(text)
        line = await read_until(harness.process.stdout, RELOADED)
        assert b"cause=file" in line


def test_failing_subscriber_leaves_the_other_timers_running():
    # One failing callback ended the timers of the whole process.
    times_s = [0.0]
    fired = []

    def fail():
        raise ValueError("unforeseen")

    timers = TimerService(lambda: times_s[-1])
    timers.subscribe(1.0, fail)
    timers.subscribe(1.0, lambda: fired.append(times_s[-1]))
    for time_s in (1.0, 2.0):
        times_s.append(time_s)
        timers.fire_due()
    assert fired == [1.0, 2.0]
