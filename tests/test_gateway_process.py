"""A gateway as a process: start, reload, stop, and its command line."""

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
from tests.gateway_stage import (
    Stage,
    get_free_port,
    make_request,
    make_route,
    make_settings_text,
    read_reply,
)

ROOT = pathlib.Path(__file__).parent.parent
VARIABLE = "LOVAGESTAGE_NODE_FILE"


class ProcessStage(Stage):
    """A stage whose gateway is a process of its own."""

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
async def run_process(folder, script=None, setting=""):
    stage = ProcessStage()
    runner, store_port = await start_app(stage.store.make_app(), "127.0.0.1", 0)
    stage.put_configuration()
    await stage.add_worker("w1", script)
    stage.metrics_port = get_free_port()
    stage.path = folder / "boot.conf"
    text = make_settings_text(
        stage.client_port, stage.readiness_port, store_port
    )
    # The last line of a key is the one that counts.
    stage.path.write_text(f"{text}\n{setting}\n")
    stage.process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "lovagestage.gateway",
        "--metrics-port",
        str(stage.metrics_port),
        env={**os.environ, VARIABLE: str(stage.path)},
        stdout=asyncio.subprocess.PIPE,
        cwd=ROOT,
    )
    try:
        await stage.wait_until_ready()
        yield stage
    finally:
        if stage.process.returncode is None:
            stage.process.kill()
            await stage.process.wait()
        for worker in stage.workers.values():
            await worker.stop()
        await runner.cleanup()


async def test_a_planned_stop_cuts_nothing(tmp_path):
    # SIGTERM arrives while a stream runs and a kept connection is idle. The
    # gateway says at once that it is not ready, still answers requests that
    # come while the balancer does not know it, and ends when all is done.
    script = lab.make_stream(20, pause_s=0.1)
    async with run_process(tmp_path, script) as stage:
        reader, writer = await stage.connect()
        writer.write(make_request("/stream/x", body=b"p"))
        await reader.readuntil(b"id: 2")
        ended = asyncio.ensure_future(stage.stop_process())
        await asyncio.sleep(0.3)
        assert not await stage.is_ready()
        late = await stage.call("/stream/x", body=b"p", request_id="late")
        assert late.status == 200
        assert late.whole
        assert late.headers["connection"] == "close"
        rest = await reader.readuntil(b"0\r\n\r\n")
        assert rest.count(b"id: ") == 18
        assert await ended == 0


async def test_stream_that_outlasts_the_stop_is_cut_and_said_so(tmp_path):
    # SIGTERM arrives while a stream runs for longer than the process may take
    # to stop. The caller's connection breaks without an end of the stream, and
    # the line about the request must not blame the caller.
    script = lab.make_stream(200, pause_s=0.1)
    async with run_process(tmp_path, script, "Bounds.GraceS=3") as stage:
        reader, writer = await stage.connect()
        writer.write(make_request("/stream/x", body=b"p", request_id="long"))
        await reader.readuntil(b"id: 2")
        assert await stage.stop_process() == 0
        assert not (await reader.read()).endswith(b"0\r\n\r\n")
        lines = (await stage.process.stdout.read()).decode().splitlines()
        (ended,) = [line for line in lines if "event=request_ended" in line]
        assert "outcome=stopped" in ended
        assert any("event=drain_timeout" in line for line in lines)


async def test_stream_asked_for_long_after_the_stop_is_refused(tmp_path):
    # SIGTERM arrives while a stream runs. The caller sends its next request
    # on the same connection, which is read when that stream has ended, most
    # of the stop's time later. Begun then, it would be cut; it is refused as
    # not run, with a time to come back, and runs nowhere.
    script = lab.make_stream(34, pause_s=0.1)
    route = make_route("stream", "streaming", Resumable=True, TimeoutMs=9000)
    async with run_process(tmp_path, script) as stage:
        stage.put_configuration(version=2, routes=[route])
        await asyncio.sleep(0.5)
        reader, writer = await stage.connect()
        writer.write(make_request("/stream/x", body=b"p", request_id="first"))
        await reader.readuntil(b"id: 2")
        ended = asyncio.ensure_future(stage.stop_process())
        await asyncio.sleep(0.3)
        writer.write(make_request("/stream/x", body=b"p", request_id="next"))
        await reader.readuntil(b"0\r\n\r\n")
        head = (await reader.readuntil(b"\r\n\r\n")).lower()
        assert head.startswith(b"http/1.1 503")
        assert b"retry-after:" in head
        assert b"connection: close" in head
        assert await ended == 0
        ids = [a.request_id for w in stage.workers.values() for a in w.arrivals]
        assert ids == ["first"]


async def test_writes_its_events_to_standard_output(tmp_path):
    async with run_process(tmp_path) as stage:
        await stage.call("/safe/x", request_id="seen")
        assert await stage.stop_process() == 0
        lines = (await stage.process.stdout.read()).decode().splitlines()
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
        (ended,) = [line for line in lines if "event=request_ended" in line]
        assert "request=seen" in ended
        assert "upstreams=w1" in ended
        assert "config=1" in ended
        assert "config_age_s=" in ended


async def test_settings_are_read_again_with_and_without_a_signal(tmp_path):
    async with run_process(tmp_path) as stage:
        stage.process.send_signal(signal.SIGHUP)
        await asyncio.sleep(1.5)
        text = stage.path.read_text()
        stage.path.write_text(text.replace("RevokeMs=1500", "RevokeMs=x"))
        await asyncio.sleep(1.5)
        stage.path.write_text(text.replace("RevokeMs=1500", "RevokeMs=1800"))
        await asyncio.sleep(1.5)
        assert (await stage.call("/safe/x")).status == 200
        assert await stage.stop_process() == 0
        out = (await stage.process.stdout.read()).decode()
        assert "event=settings_reloaded" in out
        assert "cause=signal" in out
        assert "cause=file" in out
        assert "event=settings_refused" in out


async def test_serves_its_metrics(tmp_path):
    async with run_process(tmp_path) as stage:
        await stage.call("/safe/x")
        text = await stage.read_metrics()
        name = "lovagestage_requests_total"
        assert f'{name}{{kind="safe",outcome="answered"}} 1' in text
        assert 'lovagestage_answer_seconds_count{kind="safe"} 1' in text


async def test_a_killed_gateway_serves_again_after_its_restart(tmp_path):
    # All its memory is lost; the configuration, the upstreams and the
    # outcomes are in the store.
    async with run_process(tmp_path) as stage:
        await stage.stop_process(signal.SIGKILL)
        again = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "lovagestage.gateway",
            "--metrics-port=0",
            env={**os.environ, VARIABLE: str(stage.path)},
            stdout=asyncio.subprocess.DEVNULL,
            cwd=ROOT,
        )
        stage.process = again
        await stage.wait_until_ready()
        assert (await stage.call("/safe/x")).status == 200


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
    missing = run_command("--check", **{VARIABLE: ""})
    assert missing.returncode == 2
