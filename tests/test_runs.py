"""Runs at a sidecar: late dispatches, slow readers, true run states."""

from __future__ import annotations

import asyncio

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lovagestage.decisions.tombstones import RunTrace, TombstoneTable
from lovagestage.exceptions import EngineError, EngineRefusedError
from lovagestage.execution.attempts import Attempt
from lovagestage.execution.readers import PAUSE_BYTES, WINDOW_BYTES
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
    """Yields numbered events; may fail once its events are out."""

    def __init__(self, events: int, resume_error: EngineError | None = None):
        self.events = events
        self.made = 0
        self.resume_error = resume_error

    async def run(self, request_id, priority, body):
        while self.made < self.events:
            self.made += 1
            text = b"x" * EVENT_BYTES
            yield b"id: %d\ndata: %s\n\n" % (self.made - 1, text)
            await asyncio.sleep(0)
        if self.resume_error is not None:
            raise EngineError("lost", RunState.UNKNOWN)
        yield b"id: %d\ndata: [DONE]\n\n" % self.made

    async def resume(self, request_id, from_seq):
        raise self.resume_error
        yield b""

    async def cancel(self, request_id):
        pass


class FakeHub:
    def __init__(self):
        self.sent = []

    def register_answer(self, kind, answerer):
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


async def wait_for_quiet(engine):
    made = -1
    while made != engine.made:
        made = engine.made
        await asyncio.sleep(0.05)


async def test_slow_reader_bounds_what_is_read_and_sent():
    # The caller reads nothing for a while. Nothing is acknowledged, so the
    # sidecar sends one window and reads the engine one pause further; once
    # the caller reads on, it gets every byte in order.
    engine = FakeEngine(3000)
    table, hub = make_table(engine)
    table.start(b"entry", make_dispatch())
    await wait_for_quiet(engine)
    sent_bytes = sum(len(chunk.data) for chunk in hub.get(Chunk))
    assert sent_bytes <= WINDOW_BYTES + 2 * EVENT_BYTES
    assert engine.made * EVENT_BYTES <= PAUSE_BYTES + 2 * EVENT_BYTES
    attempt = Attempt(KEY, "sidecar", 0)
    taken = []
    done = 0
    while not hub.get(Finished):
        for chunk in hub.get(Chunk)[done:]:
            done += 1
            attempt.add(chunk)
            outcome = await attempt.get()
            taken.append(outcome.data)
            ack = attempt.make_ack(outcome)
            if ack is not None:
                table.acknowledge(b"entry", ack)
        await asyncio.sleep(0)
    ids = b"".join(taken + [c.data for c in hub.get(Chunk)[done:]])
    assert ids.count(b"\n\n") == 3001
    assert ids.index(b"id: 2999\n") > ids.index(b"id: 2998\n")


async def test_reader_that_is_gone_does_not_hold_up_the_run():
    # A second entry reads the answer whole. The first one's connection went
    # silent while its window was full, and is dropped with its heartbeats.
    engine = FakeEngine(1000)
    table, hub = make_table(engine)
    table.start(b"silent", make_dispatch())
    await wait_for_quiet(engine)
    assert engine.made < 1000
    table.drop_peer(b"silent")
    await wait_for_quiet(engine)
    assert engine.made == 1000
    table.attach(b"entry", Attach(*KEY, 0))
    while not hub.get(Finished):
        last = hub.get(Chunk)[-1]
        table.acknowledge(b"entry", Ack(*KEY, last.seq + last.count))
    assert sum(chunk.count for chunk in hub.get(Chunk)) == 1001


@pytest.mark.parametrize("barring", [Attach(*KEY, 0), Cancel(*KEY)])
async def test_dispatch_that_comes_after_it_was_barred_never_runs(barring):
    # The entry was told `not_run`, or gave up, and sent the request elsewhere.
    # Then the dispatch arrives, which a connection gone silent had held.
    engine = FakeEngine(3)
    table, hub = make_table(engine)
    if isinstance(barring, Attach):
        table.attach(b"entry", barring)
        assert hub.get(Refused)[0].run is RunState.NOT_RUN
    else:
        await table.cancel(barring)
    table.start(b"entry", make_dispatch())
    await wait_for_quiet(engine)
    assert engine.made == 0
    assert hub.get(Refused)[-1].run is RunState.NOT_RUN


@pytest.mark.parametrize("stream", [False, True])
async def test_engine_gone_in_the_middle_is_never_called_not_run(stream):
    # The caller may repeat a request only where it was not run. The engine
    # dies after some tokens; the resumption is refused by its port. That
    # proves nothing of the tokens before, also where none was passed on.
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
def test_barred_is_only_said_of_runs_that_never_were_nor_will_be(steps):
    # Sidecar as the model: a run may start unless it is barred, and is later
    # forgotten. Whatever was dropped at the bound, `REFUSED` stays true.
    table = TombstoneTable(limit=3, retention_s=10.0)
    ran, held, barred, now_s = {}, set(), {}, 0.0
    for step, number in steps:
        key = (str(number), 1)
        if step == "wait":
            now_s += number
        elif step == "run" and key not in held and table.get(key) is None:
            assert now_s - barred.get(key, -100.0) >= 10.0
            held.add(key)
            ran[key] = now_s
        elif step == "forget" and key in held:
            held.discard(key)
            ran[key] = now_s
            table.record_forgotten(key, now_s)
        elif step == "bar" and key not in held:
            if table.refuse(key, now_s) is RunTrace.REFUSED:
                assert now_s - ran.get(key, -100.0) >= 10.0 or key in barred
                barred[key] = now_s
        assert len(table) <= 3


def test_attempt_takes_chunks_in_any_order_once():
    attempt = Attempt(KEY, "sidecar", 0)
    for seq, data, count in [(2, b"c", 1), (0, b"ab", 2), (1, b"b", 1)]:
        attempt.add(Chunk(*KEY, seq, data, count))
    attempt.add(Finished(*KEY, 3, 0, 0, ""))
    first = asyncio.run(attempt.get())
    assert (first.seq, first.data, first.count) == (0, b"abc", 3)
    assert isinstance(asyncio.run(attempt.get()), Finished)
