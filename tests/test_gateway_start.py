"""Tests what callers observe while a gateway starts."""

from __future__ import annotations

import argparse
import asyncio
import pathlib
import socket
import sys
import time
import types

from lab.caller import read_reply
from lab.server import start_app
from lovagestage.exceptions import EXIT_UNAVAILABLE
from lovagestage.gateway import command
from lovagestage.gateway.exposition import Exposition
from lovagestage.gateway.feeds import INACTIVITY_TIMEOUT_S
from lovagestage.gateway.listeners import open_listener
from lovagestage.gateway.process import STARTUP_WAIT_S, Gateway
from lovagestage.platform.settings import decode_settings
from tests.gateway_harness import (
    GatewayHarness,
    make_request,
    make_route,
    make_settings_text,
)

ANSWER_LIMIT_S = 1.0


def test_port_is_open_before_the_slow_imports(tmp_path, monkeypatch):
    # All gateways are killed at the same time and start again. Callers that
    # connect while a gateway still imports its modules must wait and must not
    # be reset, because their only retry would reach another gateway that is
    # starting as well.
    harness = GatewayHarness()
    path = tmp_path / "boot.conf"
    path.write_text(make_settings_text(harness.client_port, 2, 3))
    accepted = []

    def run_gateway(settings, path, metrics_port, listener):
        with socket.create_connection(("127.0.0.1", harness.client_port), 1.0):
            accepted.append(listener.accept()[0])
        return 0

    slow_module = types.ModuleType("lovagestage.gateway.process")
    slow_module.run_gateway = run_gateway
    monkeypatch.setitem(sys.modules, slow_module.__name__, slow_module)
    options = argparse.Namespace(settings=path, check=False, metrics_port=0)
    assert command.run(options) == 0
    assert len(accepted) == 1
    accepted.pop().close()


def test_address_in_use_is_reported_with_exit_code(tmp_path, capsys):
    harness = GatewayHarness()
    path = tmp_path / "boot.conf"
    path.write_text(make_settings_text(harness.client_port, 2, 3))
    with open_listener(f"127.0.0.1:{harness.client_port}"):
        code = command.main(["--settings", str(path)])
    assert code == EXIT_UNAVAILABLE
    assert f"127.0.0.1:{harness.client_port}" in capsys.readouterr().err


async def send_before_start(harness, store_port):
    """Sends a request to the open port, then starts the gateway."""
    text = make_settings_text(
        harness.client_port, harness.readiness_port, store_port
    )
    settings = decode_settings(text, "boot.conf")
    listener = open_listener(settings.client_address)
    reader, writer = await harness.connect()
    writer.write(make_request("/safe/x"))
    gateway = Gateway(
        settings, pathlib.Path("boot.conf"), 0, Exposition(), listener
    )
    task = asyncio.ensure_future(gateway.run())
    started_s = time.monotonic()
    try:
        reply = await asyncio.wait_for(read_reply(reader), 4.0)
        return reply, time.monotonic() - started_s
    finally:
        writer.close()
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


async def test_caller_of_a_starting_gateway_waits_for_the_store():
    # The caller connects before the gateway has a configuration. The store
    # answers within moments, so the caller must get an answer and not a
    # refusal.
    harness = GatewayHarness()
    runner, store_port = await start_app(
        harness.store.make_app(), "127.0.0.1", 0
    )
    harness.put_configuration()
    worker = await harness.add_worker("w1")
    reply, _ = await send_before_start(harness, store_port)
    assert reply.status == 200
    await worker.stop()
    await runner.cleanup()


async def test_starting_gateway_refuses_early_without_store():
    # The store is unavailable while the gateway starts. The caller must be
    # refused early, with a time after which to retry, and not when its deadline
    # has nearly passed.
    harness = GatewayHarness()
    with socket.socket() as bound_socket:
        bound_socket.bind(("127.0.0.1", 0))
        reply, duration_s = await send_before_start(
            harness, bound_socket.getsockname()[1]
        )
    assert reply.status == 503
    assert "retry-after" in reply.headers
    assert duration_s < STARTUP_WAIT_S + ANSWER_LIMIT_S


async def test_caller_waits_for_a_configuration_that_is_arriving():
    # Guards against refusals of the first callers while a narrow link carries a
    # large configuration for a second: their retry would reach another gateway
    # that has just started.
    harness = GatewayHarness()
    runner, store_port = await start_app(
        harness.store.make_app(), "127.0.0.1", 0
    )
    routes = [make_route(f"r{number}") for number in range(300)]
    harness.put_configuration(routes=[make_route("safe"), *routes])
    worker = await harness.add_worker("w1")
    harness.store.faults.bytes_per_s = 130_000.0
    reply, duration_s = await send_before_start(harness, store_port)
    assert duration_s > STARTUP_WAIT_S
    assert reply.status == 200
    await worker.stop()
    await runner.cleanup()


async def test_caller_is_refused_once_a_configuration_stops_arriving():
    # Guards against holding callers for a store that has stopped sending data.
    harness = GatewayHarness()
    runner, store_port = await start_app(
        harness.store.make_app(), "127.0.0.1", 0
    )
    harness.put_configuration()
    harness.store.faults.stall = True
    reply, duration_s = await send_before_start(harness, store_port)
    assert reply.status == 503
    assert duration_s < INACTIVITY_TIMEOUT_S + ANSWER_LIMIT_S
    await runner.cleanup()
