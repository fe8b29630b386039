"""Tests of fetching the control state from peers while the log is down."""

from __future__ import annotations

import asyncio
import logging

import pytest

from lab.calls import call
from lab.demo import make_client
from lab.fleet import Fleet
from lab.shapes import SHAPES
from lovagestage.control import peerstate
from lovagestage.control.peerstate import (
    PeerState,
    StateResponder,
    choose_newest_state,
)
from lovagestage.control.reader import ControlReader
from lovagestage.messages.envelope import StateAnswer, StateQuestion
from tests.control_log import serve_log, wait_for
from tests.test_snapshots import append_changes, make_state


class DirectHub:
    """Hub that calls the registered answerers without a connection."""

    def __init__(self):
        self.answerers = {}

    def register_query_handler(self, kind, answerer):
        self.answerers[kind] = answerer


class DirectTable:
    """Link table that calls the hubs directly; a hub of None never answers."""

    def __init__(self, hubs):
        self.links = dict(enumerate(hubs))

    async def ask(self, vm, question, timeout_s):
        hub = self.links[vm]
        return hub and await hub.answerers[type(question)](question)


def make_answer(records: int) -> StateAnswer:
    state = make_state(records)
    return StateAnswer(state.next_offset, state.get_hash(), state.encode())


def make_peer(control) -> DirectHub:
    hub = DirectHub()
    StateResponder(control, hub)
    return hub


async def make_control(log, records: int) -> ControlReader:
    control = ControlReader(log)
    control.install(make_state(records), is_complete=True)
    return control


def test_valid_state_with_the_highest_offset_is_chosen():
    damaged = make_answer(4)
    changed = damaged.state.replace(b'"team":"a"', b'"team":"z"')
    damaged = StateAnswer(4, damaged.checksum, changed)
    mislabelled = make_answer(2)
    mislabelled = StateAnswer(9, mislabelled.checksum, mislabelled.state)
    answers = [make_answer(1), mislabelled, damaged, make_answer(3)]
    assert choose_newest_state(answers).next_offset == 3
    assert choose_newest_state([damaged, mislabelled]) is None


async def test_starting_process_installs_newest_peer_state_and_never_older():
    # The log is down and a VM has been replaced. Its process asks its peers:
    # one does not answer, one has no state either, one is behind, one is
    # ahead. The process installs the newest state, and does not replace it
    # when only the peer that is behind is left.
    async with serve_log() as served:
        served.faults.outage = True
        starting = await served.start_reader()
        lagging = make_peer(await make_control(served.log, 2))
        ahead = make_peer(await make_control(served.log, 5))
        empty = make_peer(ControlReader(served.log))
        hubs = [None, empty, lagging, ahead]
        assert not starting.services
        assert await PeerState(starting, [DirectTable(hubs)]).fetch()
        assert starting.services["s"].revision == 5
        assert not await PeerState(starting, [DirectTable([lagging])]).fetch()
        assert starting.services["s"].revision == 5


class SlowLinkTable(DirectTable):
    """Link table whose link transfers one state at a time, in constant time."""

    TRANSFER_S = 0.35

    def __init__(self, hubs):
        super().__init__(hubs)
        self._link = asyncio.Lock()
        self.transfers = 0

    async def ask(self, vm, question, timeout_s):
        if not question.with_state:
            return await super().ask(vm, question, timeout_s)
        self.transfers += 1
        try:
            async with asyncio.timeout(timeout_s), self._link:
                await asyncio.sleep(self.TRANSFER_S)
                return await super().ask(vm, question, timeout_s)
        except TimeoutError:
            return None


async def test_state_with_a_slow_transfer_is_fetched(monkeypatch):
    # Guards against a process that requests a large state, times out and
    # requests it again for as long as the log is down.
    monkeypatch.setattr(peerstate, "QUERY_TIMEOUT_S", 0.1)
    async with serve_log() as served:
        served.faults.outage = True
        starting = await served.start_reader()
        peers = [make_peer(await make_control(served.log, 5)) for _ in "abc"]
        table = SlowLinkTable(peers)
        state = PeerState(starting, [table])
        async with asyncio.timeout(5.0):
            while not await state.fetch():
                await asyncio.sleep(0.01)
        assert starting.services["s"].revision == 5


async def test_one_peer_sends_its_state_when_several_have_it():
    # Guards against several copies of a state sharing one slow link.
    async with serve_log() as served:
        served.faults.outage = True
        starting = await served.start_reader()
        peers = [make_peer(await make_control(served.log, 5)) for _ in "abc"]
        table = SlowLinkTable(peers)
        assert await PeerState(starting, [table]).fetch()
        assert table.transfers == 1


async def test_installed_state_continues_from_the_log_after_an_outage():
    async with serve_log() as served:
        await append_changes(served, 6)
        reference = await served.start_reader()
        await wait_for(lambda: reference.is_usable)
        served.faults.outage = True
        starting = await served.start_reader()
        table = DirectTable([make_peer(reference)])
        assert await PeerState(starting, [table]).fetch()
        served.faults.outage = False
        await append_changes(served, 1, start=6)
        await wait_for(lambda: starting.folded.next_offset == 7)
        await wait_for(lambda: reference.folded.next_offset == 7)
        assert starting.folded.get_hash() == reference.folded.get_hash()


async def test_log_with_fewer_records_than_were_read_reverts_nothing(caplog):
    # The log restarts without its last records and would assign their offsets
    # again. The documents in force stay, and an error is logged.
    async with serve_log() as served:
        await append_changes(served, 2)
        control = await make_control(served.log, 5)
        await served.start(control)
        await wait_for(lambda: "log_behind_state" in caplog.messages)
        await asyncio.sleep(0.2)
        assert caplog.messages.count("log_behind_state") == 1
        assert control.services["s"].revision == 5
        assert not control.caught_up


async def test_process_that_is_still_reading_sends_no_state():
    async with serve_log() as served:
        control = ControlReader(served.log)
        control.install(make_state(3), is_complete=False)
        hub = make_peer(control)
        answer = await hub.answerers[StateQuestion](StateQuestion(True))
        assert answer.state == b""


@pytest.mark.parametrize(("forged", "alarms"), [(False, 0), (True, 1)])
async def test_differing_hash_at_the_same_offset_is_logged(
    forged, alarms, caplog
):
    async with serve_log() as served:
        own = await make_control(served.log, 3)
        other = await make_control(served.log, 3)
        if forged:
            other.folded.undecodable += 1
            other.folded._hash = ""
        peers = PeerState(own, [DirectTable([make_peer(other)])])
        with caplog.at_level(logging.ERROR):
            await peers.compare()
        assert peers.mismatches == alarms
        assert caplog.messages.count("control_hash_mismatch") == alarms


def test_fleet_starts_new_processes_while_the_log_is_down():
    # All sidecars are replaced and an entry is added during an outage of the
    # log. They fetch the state from the remaining entries, and requests are
    # served.
    with Fleet(SHAPES["thin"]) as fleet:
        call("POST", f"{fleet.children['log'].url}/_faults", b'{"outage":true}')
        for index in range(fleet.shape.engines):
            fleet.stop(f"sidecar-{index}")
            fleet.start_sidecar(index)
        fresh = fleet.start_entry(7)
        fleet.wait_until_ready(fresh)
        client = make_client(fleet, entry=fleet.entries.index(fresh))
        answer = client.chat.completions.create(
            model="large@1",
            messages=[{"role": "user", "content": "go on"}],
            max_tokens=4,
        )
    assert answer.choices[0].message.content
