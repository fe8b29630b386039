"""Ports of launchers that run at the same time."""

from __future__ import annotations

import os
import socket
import subprocess
import sys

import pytest

from lab.ports import LISTENER_PORTS, get_free_port

CLAIM_SCRIPT = """
import os, sys
os.getpid = lambda: 55
from lab.ports import get_free_port
print(get_free_port(), flush=True)
sys.stdin.read()
"""


def start_launcher(temporary_folder):
    return subprocess.Popen(
        [sys.executable, "-c", CLAIM_SCRIPT],
        env={**os.environ, "TMPDIR": str(temporary_folder)},
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )


def test_concurrent_launchers_share_no_ports(tmp_path):
    # Launchers run at the same time, and one of them kills a process. If the
    # port of that process were given to another launcher, the peers of the
    # killed process would connect to an unrelated process, and callers would
    # see refusals without an apparent cause.
    launchers = [start_launcher(tmp_path) for _ in range(4)]
    try:
        ports = [int(launcher.stdout.readline()) for launcher in launchers]
        assert len(set(ports)) == len(ports)
        assert set(ports) < set(LISTENER_PORTS)
    finally:
        for launcher in launchers:
            launcher.communicate("")


def test_port_range_is_free_after_its_process_ends(tmp_path):
    launcher = start_launcher(tmp_path)
    port = int(launcher.stdout.readline())
    launcher.communicate("")
    second_launcher = start_launcher(tmp_path)
    assert int(second_launcher.stdout.readline()) == port
    second_launcher.communicate("")


def test_port_is_given_out_again_only_after_the_others():
    ports = [get_free_port() for _ in range(50)]
    assert len(set(ports)) == 50


@pytest.mark.parametrize("kind", [socket.SOCK_STREAM, socket.SOCK_DGRAM])
def test_a_port_that_is_held_for_either_protocol_is_not_given(kind):
    # A launcher was killed, but its gateway still runs and holds a datagram
    # port. If the next launcher gave this port to its own gateway, that gateway
    # would exit at its start, and the wait until it is ready would time out.
    next_port = get_free_port() + 1
    with socket.socket(type=kind) as holder:
        holder.bind(("127.0.0.1", next_port))
        assert get_free_port() != next_port
