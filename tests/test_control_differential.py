"""The readers against a naive fold of the whole history in one place."""

from __future__ import annotations

import dataclasses

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from lovagestage.exceptions import CodecError
from lovagestage.state.fold import ControlState, Outcome, restore_state
from lovagestage.state.records import decode_record, encode_record
from lovagestage.state.snapshots import SnapshotShelf, make_chunks
from tests.test_fold import make_change

READERS = 3
SERVICES = ("s", "t")


@dataclasses.dataclass
class Naive:
    """Rereads the whole history for every question, with plain dicts."""

    history: list[bytes]

    def fold(self):
        revisions, accepted, seen = {}, {}, set()
        for data in self.history:
            try:
                change = decode_record(data)
            except CodecError:
                continue
            if change.change_id in seen:
                continue
            seen.add(change.change_id)
            if change.base == revisions.get(change.service, 0):
                revisions[change.service] = change.base + 1
                accepted[change.change_id] = (
                    change.service,
                    change.base + 1,
                    change.document,
                )
        return revisions, accepted


class ControlLogMachine(RuleBasedStateMachine):
    """Operators race over a log that expires; readers come and go.

    Appends are repeated, arrive late and in another order than they were
    sent in, and lose their answers: the machine keeps each sent record and
    lets any of them land any number of times.
    """

    def __init__(self):
        super().__init__()
        self.naive = Naive([])
        self.first_offset = 0
        self.readers = [ControlState() for _ in range(READERS)]
        self.shelf = SnapshotShelf()
        self.sent = []

    @rule(
        service=st.sampled_from(SERVICES),
        reader=st.integers(0, READERS - 1),
        lands=st.integers(0, 2),
    )
    def send(self, service, reader, lands):
        """An operator edits what one reader shows."""
        held = self.readers[reader].services.get(service)
        number = len(self.sent)
        change = move_change(
            make_change(
                f"c{number}", held.revision if held else 0, f"{number}"
            ),
            service,
        )
        self.sent.append(encode_record(change))
        self.naive.history += self.sent[-1:] * lands

    @precondition(lambda self: self.sent)
    @rule(data=st.data())
    def land_late(self, data):
        """A record sent before lands now, for the first time or again."""
        self.naive.history.append(data.draw(st.sampled_from(self.sent)))

    @rule()
    def append_undecodable(self):
        self.naive.history.append(b"\x02future")

    @rule(reader=st.integers(0, READERS - 1), count=st.integers(1, 4))
    def read(self, reader, count):
        """One reader reads on, or installs a snapshot below the horizon."""
        state = self.readers[reader]
        if state.next_offset < self.first_offset:
            covering = self.shelf.get_covering(self.first_offset)
            if covering:
                self.readers[reader] = covering[0].restore()
            return
        for data in self.naive.history[state.next_offset :][:count]:
            state.apply(state.next_offset, data)

    @rule(reader=st.integers(0, READERS - 1), start=st.integers(0, 5))
    def write_snapshot(self, reader, start):
        """Writes a snapshot; with `start` not 0, only its later chunks."""
        for chunk in make_chunks(self.readers[reader], 0, 300)[start:]:
            self.shelf.add(chunk)

    @rule(source=st.integers(0, READERS - 1), to=st.integers(0, READERS - 1))
    def replace_from_peer(self, source, to):
        """A process is replaced and starts from a peer's state."""
        self.readers[to] = restore_state(self.readers[source].encode())

    @rule(reader=st.integers(0, READERS - 1))
    def replace_empty(self, reader):
        self.readers[reader] = ControlState()

    @rule(count=st.integers(1, 3))
    def expire(self, count):
        end = max(reader.next_offset for reader in self.readers)
        self.first_offset = min(self.first_offset + count, end)

    @invariant()
    def readers_agree_with_the_naive_fold(self):
        for state in self.readers:
            prefix = self.naive.history[: state.next_offset]
            revisions, accepted = Naive(prefix).fold()
            in_force = {n: held.revision for n, held in state.services.items()}
            assert in_force == revisions
            for change_id, (service, revision, document) in accepted.items():
                result = state.get_result(change_id)
                assert result.outcome is Outcome.ACCEPTED
                assert result.revision == revision
                if revision == revisions[service]:
                    assert state.services[service].source == document

    @invariant()
    def equal_offsets_have_equal_hashes(self):
        hashes = {}
        for state in self.readers:
            known = hashes.setdefault(state.next_offset, state.get_hash())
            assert known == state.get_hash()


def move_change(change, service):
    document = change.document.replace(b'"s"', b'"%s"' % service.encode())
    return type(change)(
        change.change_id, service, change.base, change.author, document
    )


ControlLogMachine.TestCase.settings = settings(
    max_examples=120, stateful_step_count=40, deadline=None
)
TestReadersAgainstTheNaiveFold = ControlLogMachine.TestCase
