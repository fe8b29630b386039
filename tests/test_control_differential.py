"""Compares the readers with a naive fold of the complete history."""

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
from lovagestage.state.snapshots import SnapshotCollector, make_chunks
from tests.test_fold import make_change

READERS = 3
SERVICES = ("s", "t")


@dataclasses.dataclass
class NaiveFold:
    """Reference fold that processes the complete history on each call."""

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
    """Operators append concurrently to a log that expires; readers restart.

    Appends may be retried, may arrive late or in another order than they were
    sent in, and may lose their answers. The machine therefore retains each
    sent record and may append any of them any number of times.
    """

    def __init__(self):
        super().__init__()
        self.naive = NaiveFold([])
        self.first_offset = 0
        self.readers = [ControlState() for _ in range(READERS)]
        self.collector = SnapshotCollector()
        self.sent = []

    @rule(
        service=st.sampled_from(SERVICES),
        reader=st.integers(0, READERS - 1),
        lands=st.integers(0, 2),
    )
    def send(self, service, reader, lands):
        """An operator edits the document that one reader has in force."""
        held = self.readers[reader].services.get(service)
        number = len(self.sent)
        change = replace_service(
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
        """The log appends an earlier sent record, possibly once more."""
        self.naive.history.append(data.draw(st.sampled_from(self.sent)))

    @rule()
    def append_undecodable(self):
        self.naive.history.append(b"\x02future")

    @rule(reader=st.integers(0, READERS - 1), count=st.integers(1, 4))
    def read(self, reader, count):
        """A reader reads the next records, or installs a snapshot.

        It needs a snapshot if its next records have expired.
        """
        state = self.readers[reader]
        if state.next_offset < self.first_offset:
            covering = self.collector.get_covering(self.first_offset)
            if covering:
                self.readers[reader] = covering[0].restore()
            return
        for data in self.naive.history[state.next_offset :][:count]:
            state.apply(state.next_offset, data)

    @rule(reader=st.integers(0, READERS - 1), start=st.integers(0, 5))
    def write_snapshot(self, reader, start):
        """Writes a snapshot; if `start` is not 0, only its later chunks."""
        for chunk in make_chunks(self.readers[reader], 0, 300)[start:]:
            self.collector.add(chunk)

    @rule(source=st.integers(0, READERS - 1), to=st.integers(0, READERS - 1))
    def replace_from_peer(self, source, to):
        """A process is replaced, and the new one starts from a peer's state."""
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
            revisions, accepted = NaiveFold(prefix).fold()
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


def replace_service(change, service):
    document = change.document.replace(b'"s"', b'"%s"' % service.encode())
    return type(change)(
        change.change_id, service, change.base, change.author, document
    )


ControlLogMachine.TestCase.settings = settings(
    max_examples=120, stateful_step_count=40, deadline=None
)
TestReadersAgainstTheNaiveFold = ControlLogMachine.TestCase
