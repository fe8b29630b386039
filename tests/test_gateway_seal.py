"""Datagrams between gateways, and those of others."""

from __future__ import annotations

import pytest

from lovagestage.exceptions import SealError
from lovagestage.gateway.exposition import Exposition
from lovagestage.gateway.peers import PeerSocket
from lovagestage.gateway.seal import MAX_KEYS, NO_VERSION, Seal

SENDER = ("127.0.0.1", 9)


def make_seal(*versions):
    seal = Seal()
    for version in versions:
        seal.add_key(version, b"configuration %d" % version)
    return seal


def test_gateways_with_the_same_configuration_understand_each_other():
    datagram = make_seal(3, 5).close(b"what waits", 5)
    assert make_seal(5, 8).open(datagram) == (5, b"what waits")


def test_a_receiver_that_is_behind_gets_what_it_can_open():
    # The sender has read a new configuration, the receiver has not yet.
    ahead, behind = make_seal(3, 5), make_seal(3)
    version, _ = ahead.open(behind.close(b"question", behind.newest))
    assert behind.open(ahead.close(b"answer", version)) == (3, b"answer")


@pytest.mark.parametrize(
    "datagram",
    [
        b"",
        b"short",
        make_seal(6).close(b"forged", 6),
        Seal().close(b"forged", NO_VERSION),
        make_seal(5).close(b"what waits", 5)[:-1] + b"!",
    ],
)
def test_datagrams_of_others_are_refused(datagram):
    # Somebody who can reach the port names an upstream of his own. Without
    # the configuration's bytes he can't seal it.
    with pytest.raises(SealError):
        make_seal(5).open(datagram)


def test_old_keys_are_forgotten():
    seal = make_seal(*range(1, MAX_KEYS + 2))
    with pytest.raises(SealError):
        seal.open(make_seal(1).close(b"old", 1))


def test_a_forged_datagram_reaches_no_part_and_adds_no_peer(caplog):
    # Nor can its sender fill the log: each reason is written once a while.
    socket = PeerSocket("127.0.0.1:1", Exposition())
    taken = []
    socket.register(b"kind", lambda data, sender: taken.append(data))
    socket.add_key(5, b"configuration 5")
    for version in range(6, 200):
        socket.open(make_seal(version).close(b"kindforged", version), SENDER)
    assert not taken
    assert not socket.peers
    assert caplog.messages == ["datagram_unsealed"]
    socket.open(make_seal(5).close(b"kindtrue", 5), SENDER)
    assert taken == [b"true"]
    assert socket.peers == {SENDER}
