"""Tests the authentication of datagrams between gateways."""

from __future__ import annotations

import pytest

from lovagestage.exceptions import DatagramAuthenticationError
from lovagestage.gateway.datagram_authentication import (
    MAX_KEYS,
    NO_VERSION,
    DatagramAuthenticator,
)
from lovagestage.gateway.exposition import Exposition
from lovagestage.gateway.peers import PeerSocket

SENDER = ("127.0.0.1", 9)


def make_authenticator(*versions):
    authenticator = DatagramAuthenticator()
    for version in versions:
        authenticator.add_key(version, b"configuration %d" % version)
    return authenticator


def test_gateways_with_the_same_configuration_understand_each_other():
    datagram = make_authenticator(3, 5).sign(b"what waits", 5)
    assert make_authenticator(5, 8).verify(datagram) == (5, b"what waits")


def test_a_receiver_that_is_behind_gets_what_it_can_open():
    # The sender has read a new configuration and the receiver has not yet: the
    # sender must use the newest version that the receiver is known to have.
    ahead, behind = make_authenticator(3, 5), make_authenticator(3)
    version, _ = ahead.verify(behind.sign(b"question", behind.newest_version))
    assert behind.verify(ahead.sign(b"answer", version)) == (3, b"answer")


@pytest.mark.parametrize(
    "datagram",
    [
        b"",
        b"short",
        make_authenticator(6).sign(b"forged", 6),
        DatagramAuthenticator().sign(b"forged", NO_VERSION),
        make_authenticator(5).sign(b"what waits", 5)[:-1] + b"!",
    ],
)
def test_forged_datagrams_are_rejected(datagram):
    # An attacker who can reach the port announces an upstream of their own.
    # Without the bytes of the configuration they can't sign the datagram.
    with pytest.raises(DatagramAuthenticationError):
        make_authenticator(5).verify(datagram)


def test_old_keys_are_discarded():
    authenticator = make_authenticator(*range(1, MAX_KEYS + 2))
    with pytest.raises(DatagramAuthenticationError):
        authenticator.verify(make_authenticator(1).sign(b"old", 1))


def test_a_forged_datagram_reaches_no_handler_and_adds_no_peer(caplog):
    # Forged datagrams must not fill the log either: each reason is logged once
    # in each interval between expiry checks.
    socket = PeerSocket("127.0.0.1:1", Exposition())
    dispatched = []
    socket.register(b"kind", lambda data, sender: dispatched.append(data))
    socket.add_configuration(5, b"configuration 5")
    for version in range(6, 200):
        socket.receive(
            make_authenticator(version).sign(b"kindforged", version), SENDER
        )
    assert not dispatched
    assert not socket.peers
    assert caplog.messages == ["datagram_unsealed"]
    socket.receive(make_authenticator(5).sign(b"kindtrue", 5), SENDER)
    assert dispatched == [b"true"]
    assert socket.peers == {SENDER}
