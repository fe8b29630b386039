"""Upstreams that restart under the same id, and entries that are invalid."""

from __future__ import annotations

import asyncio
import dataclasses
import json
import logging

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lovagestage.exceptions import CodecError
from lovagestage.gateway.rotation import Rotation
from lovagestage.gateway.upstream import UpstreamEntry
from lovagestage.platform.configuration import decode_upstream
from tests.gateway_harness import run_gateway_harness

START_MS = 1_700_000_000_000
ENTRY = UpstreamEntry("pool", "10.0.0.1:80", "a", "v1", 4, False, START_MS)
RESTARTED = dataclasses.replace(ENTRY, start_ms=START_MS + 5_000)
FIELDS = {
    "Service": "pool",
    "Address": "10.0.0.1:80",
    "Zone": "a",
    "Version": "v1",
    "MaxBatchSize": 4,
    "State": "ready",
    "WarmupLeftMs": 0,
    "Sequence": 7,
}


def make_rotation():
    rotation = Rotation()
    rotation.apply("w1", ENTRY, 1, 0.0, False)
    return rotation


def get_single(rotation):
    (upstream,) = rotation.get_ready("pool")
    return upstream


def test_a_restarted_upstream_has_no_record_of_before():
    # An upstream crashes while it works on requests, is slow and fails some of
    # them, and starts again under its id. The gateway's record of its
    # failures, its speed and its running requests belongs to a process that
    # has stopped.
    rotation = make_rotation()
    before = get_single(rotation)
    before.performance.running = 9
    before.performance.waiting_s = 3.0
    before.performance.record_answer_time(1.0, 0.1)
    before.performance.record_unreachable(0.5)
    for _ in range(9):
        before.performance.record_answer(True)
    rotation.apply("w1", RESTARTED, 2, 1.0, False)
    after = get_single(rotation)
    assert after is not before
    assert after.performance.get_wait_s() == 0.0
    assert after.performance.slowness == 1.0
    assert not after.performance.is_grey()
    assert not after.performance.is_suspect(1.0)
    assert before.performance.running == 9


def test_a_restarted_upstream_has_no_prefix_cached():
    # The new process's cache is empty: a prompt prefix that the previous
    # process had cached takes as long as any other, until a prompt with it has
    # been sent here again.
    rotation = make_rotation()
    assert get_single(rotation).has_likely_cached("s1")
    rotation.apply("w1", RESTARTED, 2, 1.0, False)
    upstream = get_single(rotation)
    assert not upstream.has_likely_cached("s1")
    upstream.record_sent_prefix("s1")
    assert upstream.has_likely_cached("s1")
    assert not upstream.has_likely_cached("s2")


def test_an_upstream_that_left_is_back_once_it_starts_again():
    # A draining process gets no more requests, whatever its later entries
    # say. A new process under its id gets requests, also if the old process's
    # entry was removed in between.
    rotation = make_rotation()
    leaving = dataclasses.replace(ENTRY, is_draining=True)
    rotation.apply("w1", leaving, 2, 1.0, False)
    rotation.apply("w1", None, 3, 2.0, False)
    assert rotation.get_ready("pool") == []
    rotation.apply("w1", RESTARTED, 4, 3.0, False)
    assert get_single(rotation).entry == RESTARTED


@pytest.mark.parametrize("is_draining", [False, True])
def test_a_late_entry_of_the_process_before_is_ignored(is_draining):
    # A write of the old process is carried out seconds late, after the first
    # one of its successor. It must neither restore the record of the old
    # process nor remove the new one.
    rotation = make_rotation()
    rotation.apply("w1", RESTARTED, 2, 1.0, False)
    after = get_single(rotation)
    late = dataclasses.replace(ENTRY, is_draining=is_draining)
    rotation.apply("w1", late, 3, 1.5, False)
    assert get_single(rotation) is after
    assert after.entry == RESTARTED


def test_a_clock_that_was_set_back_hides_no_restart():
    rotation = make_rotation()
    back = dataclasses.replace(ENTRY, start_ms=START_MS - 60_000)
    before = get_single(rotation)
    # The first entry may be a late write of an earlier process.
    rotation.apply("w1", back, 2, 1.0, False)
    rotation.apply("w1", back, 3, 2.2, False)
    assert get_single(rotation) is before
    rotation.apply("w1", back, 4, 3.4, False)
    after = get_single(rotation)
    assert after is not before
    assert after.entry == back


def test_a_restart_may_move_to_another_service_and_address():
    rotation = make_rotation()
    other = dataclasses.replace(
        RESTARTED, service="desk", address="10.0.0.9:80"
    )
    rotation.apply("w1", other, 2, 1.0, False)
    assert rotation.get_ready("pool") == []
    assert [u.entry for u in rotation.get_ready("desk")] == [other]
    rotation.expire(10_000.0)
    assert len(rotation) == 1


def test_decodes_start_time_where_present():
    data = json.dumps({**FIELDS, "born": START_MS}).encode()
    assert decode_upstream(data).start_ms == START_MS
    assert decode_upstream(json.dumps(FIELDS).encode()).start_ms is None


INVALID_FIELDS = [
    *({k: v for k, v in FIELDS.items() if k != name} for name in FIELDS),
    *({**FIELDS, name: None} for name in FIELDS),
    *({**FIELDS, name: [1]} for name in FIELDS),
    *({**FIELDS, name: 7} for name in ("Service", "Address", "Zone", "State")),
    *({**FIELDS, "MaxBatchSize": value} for value in (0, -1, "4", True, 2.5)),
    *({**FIELDS, "born": value} for value in ("1", 1.5, True, None, -1)),
    *({**FIELDS, "Address": value} for value in ("", "x", "10.0.0.1", "a:b")),
    {**FIELDS, "Address": "10.0.0.1:70000"},
    {**FIELDS, "State": "asleep"},
    {**FIELDS, "Service": ""},
]


@pytest.mark.parametrize("fields", INVALID_FIELDS)
def test_an_invalid_entry_names_no_upstream(fields):
    with pytest.raises(CodecError):
        decode_upstream(json.dumps(fields).encode())


JSON = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats(allow_nan=False)
    | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=8), inner, max_size=3)
    ),
    max_leaves=6,
)


@given(
    st.fixed_dictionaries(dict.fromkeys(FIELDS, JSON), optional={"born": JSON})
)
def test_any_entry_is_typed_or_refused(fields):
    try:
        entry = decode_upstream(json.dumps(fields).encode())
    except CodecError:
        return
    host, _, port = entry.address.rpartition(":")
    assert host and 0 < int(port) < 65536
    assert type(entry.slots) is int and entry.slots > 0
    assert entry.start_ms is None or type(entry.start_ms) is int
    for text in (entry.service, entry.zone, entry.version):
        assert type(text) is str


async def test_invalid_entries_leave_other_upstreams_usable(caplog):
    # Another writer leaves entries that cannot be decoded, under keys of its
    # own and under the key of an upstream. Callers are served by the other
    # upstreams; each invalid entry is logged once, and its key names no
    # upstream until a valid entry is written under it again.
    caplog.set_level(logging.ERROR)
    async with run_gateway_harness(3) as harness:
        for name, data in (
            ("x1", b"\xff\xfe{"),
            ("x2", b'{"Service":"pool"}'),
            ("x3", json.dumps({**FIELDS, "Address": 5}).encode()),
            ("w1", b"[]"),
        ):
            harness.store.append_keyed("keyed.servers", name, data)
            harness.store.append_keyed("keyed.servers", name, data)
        rotation = harness.gateway.deployment.rotation
        await harness.wait_until(lambda: len(rotation.get_ready("pool")) == 2)
        replies = await asyncio.gather(
            *(harness.call("/safe/x", request_id=f"r{n}") for n in range(8))
        )
        assert [reply.status for reply in replies] == [200] * 8
        assert not harness.workers["w1"].arrivals
        refused = [
            record.upstream
            for record in caplog.records
            if record.msg == "upstream_record_refused"
        ]
        assert sorted(refused) == ["w1", "x1", "x2", "x3"]
        harness.put_entry("w1")
        await harness.wait_until(lambda: len(rotation.get_ready("pool")) == 3)


async def test_kept_connections_of_the_process_before_are_not_used():
    # An upstream's VM stops responding while connections to it are pooled, and
    # the upstream starts again under its id. A request on one of these
    # connections would wait for an answer that never comes.
    async with run_gateway_harness(1) as harness:
        harness.put_entry("w1", born=START_MS)
        rotation = harness.gateway.deployment.rotation
        await harness.wait_until(
            lambda: get_single(rotation).entry.start_ms == START_MS
        )
        assert (await harness.call("/safe/x")).status == 200
        assert (await harness.call("/safe/x")).status == 200
        worker = harness.workers["w1"]
        assert worker.connections == 1
        harness.put_entry("w1", born=START_MS + 1)
        await harness.wait_until(
            lambda: get_single(rotation).entry.start_ms == START_MS + 1
        )
        assert (await harness.call("/safe/x")).status == 200
        assert worker.connections == 2
