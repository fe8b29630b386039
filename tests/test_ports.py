"""Ports of launchers that run side by side."""

from __future__ import annotations

import os
import socket
import subprocess
import sys

import pytest

from lab.ports import LISTENER_PORTS, get_free_port

CLAIM = """
import os, sys
os.getpid = lambda: 55
from lab.ports import get_free_port
print(get_free_port(), flush=True)
sys.stdin.read()
"""


def start_launcher(folder):
    return subprocess.Popen(
        [sys.executable, "-c", CLAIM],
        env={**os.environ, "TMPDIR": str(folder)},
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )


def test_launchers_side_by_side_never_share_ports(tmp_path):
    # Two launchers run at once. One kills a process; were its port to be
    # given to the other one, peers of the killed process would talk to a
    # stranger, and callers would see refusals that nothing explains.
    launchers = [start_launcher(tmp_path) for _ in range(4)]
    try:
        first = [int(each.stdout.readline()) for each in launchers]
        assert len(set(first)) == len(first)
        assert set(first) < set(LISTENER_PORTS)
    finally:
        for each in launchers:
            each.communicate("")


def test_part_is_free_again_when_its_process_has_ended(tmp_path):
    launcher = start_launcher(tmp_path)
    port = int(launcher.stdout.readline())
    launcher.communicate("")
    again = start_launcher(tmp_path)
    assert int(again.stdout.readline()) == port
    again.communicate("")


def test_port_is_given_out_again_only_after_the_others():
    ports = [get_free_port() for _ in range(50)]
    assert len(set(ports)) == 50


@pytest.mark.parametrize("kind", [socket.SOCK_STREAM, socket.SOCK_DGRAM])
def test_a_port_that_is_held_for_either_protocol_is_not_given(kind):
    # A launcher was killed, and its gateway runs on and holds a port for
    # datagrams. The next launcher's gateway gets it and ends at its start,
    # and whoever waits for it to be ready waits in vain.
    following = get_free_port() + 1
    with socket.socket(type=kind) as holder:
        holder.bind(("127.0.0.1", following))
        assert get_free_port() != following
