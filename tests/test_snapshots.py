"""Tests of the snapshot collector and of readers whose records have expired."""

from __future__ import annotations

import itertools
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lovagestage.control.leasing import LeaseKeeper
from lovagestage.control.reader import FollowState
from lovagestage.control.snapshotting import (
    SNAPSHOT_LEASE,
    SnapshotPolicy,
    SnapshotStream,
    SnapshotWriter,
)
from lovagestage.control.writer import ControlWriter
from lovagestage.exceptions import CodecError
from lovagestage.messages.envelope import Hello
from lovagestage.state.records import (
    SNAPSHOT_STREAM,
    decode_record,
    encode_record,
)
from lovagestage.state.snapshots import (
    SnapshotCollector,
    decode_chunk,
    make_chunks,
)
from tests.control_log import serve_log, wait_for
from tests.test_fold import fold, make_change


def make_state(records: int):
    return fold(*(make_change(f"c{n}", n) for n in range(records)))


def collect(chunks) -> SnapshotCollector:
    collector = SnapshotCollector()
    for chunk in chunks:
        collector.add(chunk)
    return collector


def corrupt(chunk: bytes) -> bytes:
    return chunk[:-1] + bytes((chunk[-1] ^ 1,))


def test_every_order_of_two_writers_chunks_gives_complete_snapshots_only():
    """Bounds: 2 writers, 3 chunks each, all 720 orders and their 5,040 cuts.

    After each chunk of every order, the collector retains exactly the
    snapshots all of whose chunks it has received, whatever chunks were
    received between them.
    """
    states = [make_state(1), make_state(2)]
    chunks = []
    for number, state in enumerate(states):
        size = -(-len(state.encode()) // 3)
        chunks += [(number, c) for c in make_chunks(state, number, size)]
    assert len(chunks) == 6
    for order in itertools.permutations(chunks):
        collector = SnapshotCollector()
        received_counts = [0, 0]
        for number, chunk in order:
            collector.add(chunk)
            received_counts[number] += 1
            complete_cursors = [
                n + 1 for n in (1, 0) if received_counts[n] == 3
            ]
            assert [
                snapshot.cursor for snapshot in collector.snapshots
            ] == complete_cursors


@pytest.mark.parametrize(
    ("damage", "refused"),
    [
        (lambda chunks: chunks[:-1], 0),
        (lambda chunks: [corrupt(chunks[0]), *chunks[1:]], 1),
        (lambda chunks: [b"\x02\x00junk", *chunks[1:]], 1),
        (lambda chunks: [chunks[0]] * 3, 0),
    ],
    ids=["torn", "corrupt", "other major version", "repeated"],
)
def test_damaged_snapshot_does_not_replace_an_earlier_one(damage, refused):
    older = make_chunks(make_state(1), 0)
    newer = make_chunks(make_state(2), 1, 100)
    collector = collect([*older, *damage(newer)])
    assert [snapshot.cursor for snapshot in collector.snapshots] == [1]
    assert collector.refused == refused


@pytest.mark.parametrize("forged_key", ["", "another"])
def test_forged_snapshot_is_refused(forged_key):
    # Someone who can append to the log, but has no log key of the system,
    # writes a complete snapshot of a later state, which could contain a root
    # key of their own. Readers reject it and retain the snapshot that the
    # system signed.
    collector = SnapshotCollector(["new-key", "old-key"])
    for chunk in make_chunks(make_state(1), 0, key="old-key"):
        collector.add(chunk)
    forged = fold(*(make_change(f"c{n}", n) for n in range(9)))
    for chunk in make_chunks(forged, 1, key=forged_key):
        collector.add(chunk)
    assert [snapshot.cursor for snapshot in collector.snapshots] == [1]
    assert collector.refused == 1


def test_late_snapshot_does_not_replace_newer_ones():
    chunks = [make_chunks(make_state(n), 0)[0] for n in (2, 3, 1)]
    assert [snapshot.cursor for snapshot in collect(chunks).snapshots] == [3, 2]


def test_snapshot_that_covers_too_little_is_not_returned():
    collector = collect(make_chunks(make_state(2), 0))
    assert collector.get_covering(3) == []
    assert collector.get_covering(2)[0].restore().next_offset == 2


def test_incomplete_snapshots_are_bounded():
    first_chunks = [make_chunks(make_state(n), 0, 100)[0] for n in range(1, 12)]
    assert len(collect(first_chunks)._partial) == 4


MUTABLE = [
    encode_record(make_change()),
    make_chunks(make_state(1), 0)[0],
]


@given(
    st.one_of(
        st.binary(max_size=300),
        st.builds(
            lambda base, at, byte: (
                base[: at % len(base)]
                + bytes((byte,))
                + base[at % len(base) + 1 :]
            ),
            st.sampled_from(MUTABLE),
            st.integers(0, 10_000),
            st.integers(0, 255),
        ),
    )
)
def test_any_bytes_decode_or_are_refused(data):
    for decode in (decode_record, decode_chunk):
        try:
            decode(data)
        except CodecError as error:
            assert error.message
    fold(data)
    collect([data])


async def append_changes(served, count: int, start: int = 0):
    for number in range(start, start + count):
        data = encode_record(make_change(f"c{number}", number, f"t{number}"))
        await served.log.append("control", data)


async def test_reader_below_the_horizon_fails_closed_without_a_snapshot():
    # The first records have expired before a new process reads the log. The
    # process must not fold the remaining records as if they were the complete
    # history, because a later change would then count as revision 1. The
    # process serves no document at all.
    async with serve_log(retain_records=4) as served:
        await append_changes(served, 9)
        reader = await served.start_reader(snapshots=SnapshotStream(served.log))
        await wait_for(lambda: reader.follow_state is FollowState.BELOW_HORIZON)
        assert (reader.services, reader.folded.next_offset) == ({}, 0)


@pytest.mark.parametrize("cursor", [4, 5, 7])
async def test_reader_installs_a_snapshot_only_where_it_covers(cursor):
    # The log still has offsets 5 to 8. After a snapshot with cursor 4, record
    # 4 would be missing.
    async with serve_log(retain_records=4) as served:
        await append_changes(served, 9)
        state = fold(*(make_change(f"c{n}", n, f"t{n}") for n in range(cursor)))
        for chunk in make_chunks(state, 0):
            await served.log.append(SNAPSHOT_STREAM, chunk)
        reader = await served.start_reader(snapshots=SnapshotStream(served.log))
        if cursor < 5:
            await wait_for(
                lambda: reader.follow_state is FollowState.BELOW_HORIZON
            )
            assert reader.services == {}
            return
        await wait_for(lambda: reader.is_usable)
        assert reader.services["s"].revision == 9


async def test_snapshots_cover_expired_records_after_their_writer_stops():
    # Two processes write snapshots in turn as the lease changes its holder,
    # and one snapshot is incomplete. A process that starts after the early
    # records have expired folds to the same hash as a process that has read
    # all of them.
    policy = SnapshotPolicy(every_records=20, every_s=60.0)
    async with serve_log(retain_records=60) as served:
        readers, writers, keepers = [], [], []
        for number in range(2):
            reader = await served.start_reader()
            keeper = LeaseKeeper(
                SNAPSHOT_LEASE,
                Hello(f"vm-{number}", 1),
                reader,
                ControlWriter(served.log, reader),
                ttl_s=0.6,
            )
            readers.append(reader)
            keepers.append(await served.start(keeper))
            writer = SnapshotWriter(served.log, reader, keeper, policy)
            writers.append(await served.start(writer))
        await wait_for(lambda: any(keeper.is_held for keeper in keepers))
        await append_changes(served, 40)
        incomplete = make_chunks(readers[0].folded, 0, 500)[:-1]
        for chunk in random.Random(1).sample(incomplete, len(incomplete)):
            await served.log.append(SNAPSHOT_STREAM, chunk)
        holder = 0 if keepers[0].is_held else 1
        for writer in writers:
            await writer._write_if_due()
        await keepers[holder].stop()
        await wait_for(lambda: keepers[1 - holder].is_held)
        await append_changes(served, 40, start=40)
        await writers[1 - holder]._write_if_due()
        await append_changes(served, 30, start=80)
        late_reader = await served.start_reader(
            snapshots=SnapshotStream(served.log)
        )
        await wait_for(lambda: late_reader.is_usable)
        await wait_for(
            lambda: (
                late_reader.folded.next_offset
                == readers[1 - holder].folded.next_offset
                and late_reader.folded.get_hash()
                == readers[1 - holder].folded.get_hash()
            )
        )
        assert late_reader.services["s"].revision == 110
