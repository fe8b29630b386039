"""A gateway as a process: start, reload, stop and its command line."""

from __future__ import annotations

import asyncio
import contextlib
import os
import pathlib
import signal
import subprocess
import sys

from lab import worker as lab
from lab.server import start_app
from tests.gateway_harness import (
    GatewayHarness,
    get_free_port,
    make_request,
    make_route,
    make_settings_text,
    read_reply,
)

ROOT = pathlib.Path(__file__).parent.parent
SETTINGS_VARIABLE = "LOVAGESTAGE_NODE_FILE"


class ProcessHarness(GatewayHarness):
    """A harness whose gateway runs as a separate process."""

    process = None
    path = None
    metrics_port = 0

    async def stop_process(self, number=signal.SIGTERM):
        self.process.send_signal(number)
        return await asyncio.wait_for(self.process.wait(), 12.0)

    async def read_metrics(self):
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", self.metrics_port
        )
        writer.write(b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n")
        try:
            return (await read_reply(reader)).body.decode()
        finally:
            writer.close()

    async def wait_until_ready(self):
        async with asyncio.timeout(10.0):
            while True:
                with contextlib.suppress(OSError):
                    if await self.is_ready():
                        return
                await asyncio.sleep(0.05)


@contextlib.asynccontextmanager
async def run_gateway_process(folder, script=None, setting=""):
    harness = ProcessHarness()
    runner, store_port = await start_app(
        harness.store.make_app(), "127.0.0.1", 0
    )
    harness.put_configuration()
    await harness.add_worker("w1", script)
    harness.metrics_port = get_free_port()
    harness.path = folder / "boot.conf"
    text = make_settings_text(
        harness.client_port, harness.readiness_port, store_port
    )
    # If a setting is given twice, its last line applies.
    harness.path.write_text(f"{text}\n{setting}\n")
    harness.process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "lovagestage.gateway",
        "--metrics-port",
        str(harness.metrics_port),
        env={**os.environ, SETTINGS_VARIABLE: str(harness.path)},
        stdout=asyncio.subprocess.PIPE,
        cwd=ROOT,
    )
    try:
        await harness.wait_until_ready()
        yield harness
    finally:
        if harness.process.returncode is None:
            harness.process.kill()
            await harness.process.wait()
        for worker in harness.workers.values():
            await worker.stop()
        await runner.cleanup()


async def test_planned_stop_completes_open_requests(tmp_path):
    # SIGTERM arrives while a stream runs and a kept-alive connection is idle.
    # The gateway must report not ready immediately, still answer requests that
    # arrive before the balancer has noticed, and exit when all requests are
    # complete.
    script = lab.make_stream(20, pause_s=0.1)
    async with run_gateway_process(tmp_path, script) as harness:
        reader, writer = await harness.connect()
        writer.write(make_request("/stream/x", body=b"p"))
        await reader.readuntil(b"id: 2")
        stopping = asyncio.ensure_future(harness.stop_process())
        await asyncio.sleep(0.3)
        assert not await harness.is_ready()
        late_reply = await harness.call(
            "/stream/x", body=b"p", request_id="late"
        )
        assert late_reply.status == 200
        assert late_reply.is_complete
        assert late_reply.headers["connection"] == "close"
        rest = await reader.readuntil(b"0\r\n\r\n")
        assert rest.count(b"id: ") == 18
        assert await stopping == 0


async def test_stream_longer_than_the_stop_is_cut_and_logged(tmp_path):
    # SIGTERM arrives while a stream runs that takes longer than the process may
    # take to stop. The caller's connection must break without an end of the
    # stream, and the log line of the request must not blame the caller.
    script = lab.make_stream(200, pause_s=0.1)
    async with run_gateway_process(
        tmp_path, script, "Bounds.GraceS=3"
    ) as harness:
        reader, writer = await harness.connect()
        writer.write(make_request("/stream/x", body=b"p", request_id="long"))
        await reader.readuntil(b"id: 2")
        assert await harness.stop_process() == 0
        assert not (await reader.read()).endswith(b"0\r\n\r\n")
        lines = (await harness.process.stdout.read()).decode().splitlines()
        (end_line,) = [line for line in lines if "event=request_ended" in line]
        assert "outcome=stopped" in end_line
        assert any("event=drain_timeout" in line for line in lines)


async def test_stream_requested_late_in_the_stop_is_refused(tmp_path):
    # SIGTERM arrives while a stream runs. The caller sends its next request on
    # the same connection, which the gateway reads only when that stream has
    # ended, after most of the stop time. A stream started then would be cut
    # off. The request must be refused as not run, with a time after which to
    # retry, and must not run anywhere.
    script = lab.make_stream(34, pause_s=0.1)
    route = make_route("stream", "streaming", Resumable=True, TimeoutMs=9000)
    async with run_gateway_process(tmp_path, script) as harness:
        harness.put_configuration(version=2, routes=[route])
        await asyncio.sleep(0.5)
        reader, writer = await harness.connect()
        writer.write(make_request("/stream/x", body=b"p", request_id="first"))
        await reader.readuntil(b"id: 2")
        stopping = asyncio.ensure_future(harness.stop_process())
        await asyncio.sleep(0.3)
        request = make_request(
            "/stream/x", body=b"p", request_id="next", Deadline_Ms="8000"
        )
        writer.write(request)
        await reader.readuntil(b"0\r\n\r\n")
        head = (await reader.readuntil(b"\r\n\r\n")).lower()
        assert head.startswith(b"http/1.1 503")
        assert b"retry-after:" in head
        assert b"connection: close" in head
        assert await stopping == 0
        ids = [
            a.request_id for w in harness.workers.values() for a in w.arrivals
        ]
        assert ids == ["first"]


async def test_writes_its_events_to_standard_output(tmp_path):
    async with run_gateway_process(tmp_path) as harness:
        await harness.call("/safe/x", request_id="seen")
        assert await harness.stop_process() == 0
        lines = (await harness.process.stdout.read()).decode().splitlines()
        events = [line for line in lines if " event=" in line]
        assert events == lines
        for event in (
            "process_started",
            "configuration_applied",
            "upstream_added",
            "drain_started",
            "process_stopped",
        ):
            assert any(f"event={event}" in line for line in lines), event
        (end_line,) = [line for line in lines if "event=request_ended" in line]
        assert "request=seen" in end_line
        assert "upstreams=w1" in end_line
        assert "config=1" in end_line
        assert "config_age_s=" in end_line


async def test_settings_are_read_again_with_and_without_a_signal(tmp_path):
    async with run_gateway_process(tmp_path) as harness:
        harness.process.send_signal(signal.SIGHUP)
        await asyncio.sleep(1.5)
        text = harness.path.read_text()
        harness.path.write_text(text.replace("RevokeMs=1500", "RevokeMs=x"))
        await asyncio.sleep(1.5)
        harness.path.write_text(text.replace("RevokeMs=1500", "RevokeMs=1800"))
        await asyncio.sleep(1.5)
        assert (await harness.call("/safe/x")).status == 200
        assert await harness.stop_process() == 0
        out = (await harness.process.stdout.read()).decode()
        assert "event=settings_reloaded" in out
        assert "cause=signal" in out
        assert "cause=file" in out
        assert "event=settings_refused" in out


async def test_serves_its_metrics(tmp_path):
    async with run_gateway_process(tmp_path) as harness:
        await harness.call("/safe/x")
        text = await harness.read_metrics()
        name = "lovagestage_requests_total"
        assert f'{name}{{kind="safe",outcome="answered"}} 1' in text
        assert 'lovagestage_answer_seconds_count{kind="safe"} 1' in text


async def test_a_killed_gateway_serves_again_after_its_restart(tmp_path):
    # The process loses all its memory. The configuration, the upstreams and the
    # outcomes of roll-outs are in the store.
    async with run_gateway_process(tmp_path) as harness:
        await harness.stop_process(signal.SIGKILL)
        restarted = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "lovagestage.gateway",
            "--metrics-port=0",
            env={**os.environ, SETTINGS_VARIABLE: str(harness.path)},
            stdout=asyncio.subprocess.DEVNULL,
            cwd=ROOT,
        )
        harness.process = restarted
        await harness.wait_until_ready()
        assert (await harness.call("/safe/x")).status == 200


def run_command(*arguments, **environment):
    return subprocess.run(
        [sys.executable, "-m", "lovagestage", "gateway", *arguments],
        env={**os.environ, **environment},
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
    )


def test_checks_its_settings(tmp_path):
    path = tmp_path / "boot.conf"
    path.write_text(make_settings_text(1, 2, 3))
    good = run_command("--check", "--settings", str(path))
    assert (good.returncode, good.stdout) == (0, f"{path}: ok\n")
    path.write_text("NodeName=x\n")
    bad = run_command("--check", "--settings", str(path))
    assert bad.returncode == 2
    assert "wrong_setting" in bad.stderr
    missing = run_command("--check", **{SETTINGS_VARIABLE: ""})
    assert missing.returncode == 2
