"""Runs at a sidecar: late dispatches, slow readers, correct run states."""

from __future__ import annotations

import asyncio

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lovagestage.decisions.tombstones import RunTrace, TombstoneTable
from lovagestage.exceptions import EngineError, EngineRefusedError
from lovagestage.execution.attempts import Attempt
from lovagestage.execution.readers import MAX_READ_AHEAD_BYTES, WINDOW_BYTES
from lovagestage.execution.runs import RunTable
from lovagestage.messages.runs import (
    Ack,
    Attach,
    Cancel,
    Chunk,
    Dispatch,
    Finished,
    Refused,
)
from lovagestage.settings import SidecarSettings
from lovagestage.types import RunState

EVENT_BYTES = 1000
KEY = ("request", 1)


class FakeEngine:
    """Yields numbered events; may fail after the last event."""

    def __init__(self, events: int, resume_error: EngineError | None = None):
        self.events = events
        self.event_count = 0
        self.resume_error = resume_error

    async def run(self, request_id, priority, body):
        while self.event_count < self.events:
            self.event_count += 1
            text = b"x" * EVENT_BYTES
            yield b"id: %d\ndata: %s\n\n" % (self.event_count - 1, text)
            await asyncio.sleep(0)
        if self.resume_error is not None:
            raise EngineError("lost", RunState.UNKNOWN)
        yield b"id: %d\ndata: [DONE]\n\n" % self.event_count

    async def resume(self, request_id, from_seq):
        raise self.resume_error
        yield b""

    async def cancel(self, request_id):
        pass


class FakeHub:
    def __init__(self):
        self.sent = []

    def register_query_handler(self, kind, answerer):
        pass

    def send(self, peer, message):
        self.sent.append((peer, message))
        return True

    def get(self, kind, peer=b"entry"):
        return [m for p, m in self.sent if p == peer and isinstance(m, kind)]


def make_table(engine):
    hub = FakeHub()
    return RunTable(engine, hub, SidecarSettings("http://unused"), 1), hub


def make_dispatch(stream=True):
    return Dispatch(
        *KEY, "audit", "vault", "large@1", 1, 60.0, stream, b'{"model":"x"}'
    )


async def wait_until_engine_is_idle(engine):
    event_count = -1
    while event_count != engine.event_count:
        event_count = engine.event_count
        await asyncio.sleep(0.05)


async def test_slow_reader_bounds_what_is_read_and_sent():
    # The caller reads nothing for a while, so that nothing is acknowledged.
    # The sidecar sends one window and reads ahead at the engine up to its
    # limit. Once the caller reads again, it gets every byte in order.
    engine = FakeEngine(3000)
    table, hub = make_table(engine)
    table.start(b"entry", make_dispatch())
    await wait_until_engine_is_idle(engine)
    sent_bytes = sum(len(chunk.data) for chunk in hub.get(Chunk))
    assert sent_bytes <= WINDOW_BYTES + 2 * EVENT_BYTES
    assert (
        engine.event_count * EVENT_BYTES
        <= MAX_READ_AHEAD_BYTES + 2 * EVENT_BYTES
    )
    attempt = Attempt(KEY, "sidecar", 0)
    received = []
    handled = 0
    while not hub.get(Finished):
        for chunk in hub.get(Chunk)[handled:]:
            handled += 1
            attempt.add(chunk)
            outcome = await attempt.get()
            received.append(outcome.data)
            ack = attempt.make_ack(outcome)
            if ack is not None:
                table.acknowledge(b"entry", ack)
        await asyncio.sleep(0)
    answer = b"".join(received + [c.data for c in hub.get(Chunk)[handled:]])
    assert answer.count(b"\n\n") == 3001
    assert answer.index(b"id: 2999\n") > answer.index(b"id: 2998\n")


async def test_removed_reader_does_not_block_the_run():
    # A second entry reads the complete answer. The first entry's connection
    # stopped working while its window was full, and the sidecar removes it
    # when its heartbeats stay away.
    engine = FakeEngine(1000)
    table, hub = make_table(engine)
    table.start(b"silent", make_dispatch())
    await wait_until_engine_is_idle(engine)
    assert engine.event_count < 1000
    table.remove_peer(b"silent")
    await wait_until_engine_is_idle(engine)
    assert engine.event_count == 1000
    table.attach(b"entry", Attach(*KEY, 0))
    while not hub.get(Finished):
        last = hub.get(Chunk)[-1]
        table.acknowledge(b"entry", Ack(*KEY, last.seq + last.count))
    assert sum(chunk.count for chunk in hub.get(Chunk)) == 1001


@pytest.mark.parametrize("barring", [Attach(*KEY, 0), Cancel(*KEY)])
async def test_dispatch_that_comes_after_it_was_barred_never_runs(barring):
    # The entry was sent `not_run`, or it abandoned the attempt, and it sent
    # the request elsewhere. Then the dispatch arrives, which was delayed on a
    # connection that had stopped working.
    engine = FakeEngine(3)
    table, hub = make_table(engine)
    if isinstance(barring, Attach):
        table.attach(b"entry", barring)
        assert hub.get(Refused)[0].run is RunState.NOT_RUN
    else:
        await table.cancel(barring)
    table.start(b"entry", make_dispatch())
    await wait_until_engine_is_idle(engine)
    assert engine.event_count == 0
    assert hub.get(Refused)[-1].run is RunState.NOT_RUN


@pytest.mark.parametrize("stream", [False, True])
async def test_engine_crash_mid_answer_is_never_reported_not_run(stream):
    # The caller may retry a request that may run once only where it was not
    # run. The engine dies after some tokens, and its port refuses the
    # resumption. That proves nothing about the earlier tokens, even if none
    # of them was forwarded.
    engine = FakeEngine(5, EngineRefusedError("The engine can't be reached."))
    table, hub = make_table(engine)
    table.start(b"entry", make_dispatch(stream))
    await asyncio.sleep(0.3)
    assert hub.get(Refused)[0].run is not RunState.NOT_RUN


KEYS = st.integers(0, 6)


@given(
    st.lists(
        st.tuples(st.sampled_from(["run", "bar", "forget", "wait"]), KEYS),
        max_size=60,
    )
)
def test_barred_state_implies_that_the_run_never_executes(steps):
    # The test models a sidecar: a run may start unless it is barred, and is
    # forgotten later. `REFUSED` must stay true whatever was dropped at the
    # table's limit.
    table = TombstoneTable(limit=3, retention_s=10.0)
    ran, in_table, barred, now_s = {}, set(), {}, 0.0
    for step, number in steps:
        key = (str(number), 1)
        if step == "wait":
            now_s += number
        elif step == "run" and key not in in_table and table.get(key) is None:
            assert now_s - barred.get(key, -100.0) >= 10.0
            in_table.add(key)
            ran[key] = now_s
        elif step == "forget" and key in in_table:
            in_table.discard(key)
            ran[key] = now_s
            table.record_forgotten(key, now_s)
        elif step == "bar" and key not in in_table:
            if table.refuse(key, now_s) is RunTrace.REFUSED:
                assert now_s - ran.get(key, -100.0) >= 10.0 or key in barred
                barred[key] = now_s
        assert len(table) <= 3


def test_attempt_accepts_chunks_in_any_order_once():
    attempt = Attempt(KEY, "sidecar", 0)
    for seq, data, count in [(2, b"c", 1), (0, b"ab", 2), (1, b"b", 1)]:
        attempt.add(Chunk(*KEY, seq, data, count))
    attempt.add(Finished(*KEY, 3, 0, 0, ""))
    first = asyncio.run(attempt.get())
    assert (first.seq, first.data, first.count) == (0, b"abc", 3)
    assert isinstance(asyncio.run(attempt.get()), Finished)
