"""Tests of leases: all interleavings within bounds, and the lease task."""

from __future__ import annotations

import asyncio
import dataclasses
import time
from collections import deque

import pytest

from lovagestage.control import leasing
from lovagestage.control import reader as control
from lovagestage.control.gate import FencingGate
from lovagestage.control.leasing import LeaseKeeper, LeaseView
from lovagestage.control.reader import ControlReader
from lovagestage.control.writer import ControlWriter
from lovagestage.exceptions import (
    GateNotReadyError,
    LeaseLostError,
    StaleFencingError,
)
from lovagestage.messages.envelope import Hello
from lovagestage.state.fold import Outcome
from lovagestage.state.leases import LeaseInForce, Leases
from tests.control_log import serve_log, wait_for

TTL = 2


@dataclasses.dataclass(frozen=True)
class Bounds:
    ticks: int
    records: int
    sends: int


@dataclasses.dataclass(frozen=True)
class Process:
    view: LeaseView
    cursor: int = 0
    pending: object = None
    sent_s: int = 0
    appended_count: int = 0
    sends: int = 0


@dataclasses.dataclass(frozen=True)
class SystemState:
    now: int
    log: tuple
    processes: tuple


_folds: dict[tuple, Leases] = {}


def fold(log: tuple) -> Leases:
    if log not in _folds:
        leases = Leases()
        for offset, record in enumerate(log):
            leases.apply(offset, record)
        _folds[log] = leases
    return _folds[log]


def step_process(state: SystemState, process: Process, bounds: Bounds):
    """Yields each possible next step of one process, with the log after it."""
    replace = dataclasses.replace
    log = state.log
    if process.cursor < len(log):
        yield read(state, process), log
    if process.pending is None:
        change_id = f"{process.view.own.vm}{process.sends}"
        record = leasing.make_next_record(process.view, state.now, change_id)
        if record is not None and process.sends < bounds.sends:
            sent = replace(process, pending=record, sent_s=state.now)
            yield replace(sent, sends=process.sends + 1), log
    else:
        if process.appended_count < 2 and len(log) < bounds.records:
            appended = replace(
                process, appended_count=process.appended_count + 1
            )
            yield appended, (*log, process.pending)
        yield replace(process, pending=None, appended_count=0, sent_s=0), log


def read(state: SystemState, process: Process) -> Process:
    cursor = process.cursor + 1
    leases = fold(state.log[:cursor])
    view = leasing.observe(process.view, leases.by_id.get("l"), state.now)
    process = dataclasses.replace(process, cursor=cursor, view=view)
    pending = process.pending
    if pending is None or state.log[cursor - 1] != pending:
        return process
    result = leases.outcomes.get(pending.change_id)
    if result.outcome is Outcome.ACCEPTED:
        view = leasing.confirm(view, process.sent_s)
    return dataclasses.replace(
        process, view=view, pending=None, appended_count=0, sent_s=0
    )


def step(state: SystemState, bounds: Bounds):
    if state.now < bounds.ticks:
        yield dataclasses.replace(state, now=state.now + 1)
    for index, process in enumerate(state.processes):
        for changed, log in step_process(state, process, bounds):
            processes = list(state.processes)
            processes[index] = changed
            yield SystemState(state.now, log, tuple(processes))


def check_holders(state: SystemState) -> int:
    """Asserts that at most one process may act, under the newest grant.

    Returns:
        Number of processes that may act.
    """
    fencing_numbers = [
        leasing.get_held_fencing(process.view, state.now)
        for process in state.processes
    ]
    held_numbers = [number for number in fencing_numbers if number is not None]
    assert len(held_numbers) <= 1, state
    for number in held_numbers:
        assert number == fold(state.log).get_fencing("l"), state
    return len(held_numbers)


def make_initial_state(*, granted: bool) -> SystemState:
    state = SystemState(
        0,
        (),
        tuple(
            Process(LeaseView("l", Hello(name, 1), TTL * 1000))
            for name in ("a", "b")
        ),
    )
    if not granted:
        return state
    holder, contender = state.processes
    take = leasing.make_next_record(holder.view, 0, "first")
    state = SystemState(0, (take,), ())
    holder = read(state, dataclasses.replace(holder, pending=take))
    return SystemState(0, (take,), (holder, read(state, contender)))


@pytest.mark.parametrize(
    ("granted", "bounds", "states"),
    [(False, Bounds(3, 2, 1), 8564), (True, Bounds(5, 4, 1), 39980)],
)
def test_no_two_holders_in_any_interleaving(granted, bounds, states):
    """Checks all states within bounds: 2 processes, time to live 2 ticks.

    From an empty log: 3 ticks, 2 records, 1 send per process. From a grant
    that both processes have read: 5 ticks, 4 records, 1 send per process. At
    any tick a process may read one record, send the record that the rules
    allow, have it appended once, twice or never, and pause for any number of
    ticks.
    """
    first = make_initial_state(granted=granted)
    seen = {first}
    queue = deque(seen)
    held_count = 0
    while queue:
        state = queue.popleft()
        held_count += check_holders(state)
        for successor in step(state, bounds):
            if successor not in seen:
                seen.add(successor)
                queue.append(successor)
    assert len(seen) == states
    assert held_count > 100


async def start_keepers(served, count=2):
    keepers = []
    for number in range(count):
        reader = await served.start_reader()
        writer = ControlWriter(served.log, reader)
        own = Hello(f"vm-{number}", 1)
        keeper = LeaseKeeper("l", own, reader, writer, ttl_s=0.6)
        keepers.append((await served.start(keeper), reader))
    await wait_for(lambda: any(keeper.is_held for keeper, _ in keepers))
    return sorted(keepers, key=lambda pair: not pair[0].is_held)


async def test_lease_is_taken_over_when_its_holder_is_paused(monkeypatch):
    # Guards against orders of a holder that was paused until its lease
    # expired. Its own clock shows that the lease has expired. Another process
    # has taken the lease under a higher fencing number, and the gate rejects
    # the order of the earlier holder.
    async with serve_log() as served:
        (old, _), (new, reader) = await start_keepers(served)
        stale = old.get_fencing()
        monkeypatch.setattr(old, "_is_due", lambda: False)
        await wait_for(lambda: new.is_held)
        with pytest.raises(LeaseLostError):
            old.get_fencing()
        gate = FencingGate(reader)
        gate.check("l", new.get_fencing())
        with pytest.raises(StaleFencingError):
            gate.check("l", stale)


async def test_released_lease_is_taken_immediately():
    async with serve_log() as served:
        (old, _), (new, _) = await start_keepers(served)
        monotonic_s = time.monotonic()
        await old.stop()
        await wait_for(lambda: new.is_held)
    assert time.monotonic() - monotonic_s < 0.5


async def test_holder_stops_acting_while_the_log_is_down():
    async with serve_log() as served:
        (old, _), (new, _) = await start_keepers(served)
        served.faults.outage = True
        await asyncio.sleep(0.6)
        assert not old.is_held
        assert not new.is_held
        served.faults.outage = False


async def test_lost_answers_do_not_lose_the_lease():
    async with serve_log() as served:
        (old, _), _ = await start_keepers(served)
        fencing = old.get_fencing()
        served.faults.lose_answer = 3
        await wait_for(lambda: served.faults.lose_answer == 0)
        assert old.get_fencing() == fencing


async def test_gate_that_has_read_nothing_accepts_no_order():
    # A sidecar that has just started knows no grant. If its gate accepted the
    # first fencing number, the order of an earlier holder that was paused
    # would be carried out.
    async with serve_log() as served:
        reader = ControlReader(served.log)
        with pytest.raises(GateNotReadyError):
            FencingGate(reader).check("l", 0)
        await served.start(reader)
        await wait_for(lambda: reader.is_usable)
        with pytest.raises(GateNotReadyError):
            FencingGate(reader).check("l", 7)


async def test_gate_without_the_log_accepts_no_order(monkeypatch):
    # The log is unavailable to the sidecar only. Another process may have
    # taken the lease meanwhile without the gate's knowledge, so the gate must
    # reject an order with the last fencing number that it has read.
    monkeypatch.setattr(control, "READ_WAIT_S", 0.1)
    async with serve_log() as served:
        (keeper, reader), _ = await start_keepers(served)
        fencing = keeper.get_fencing()
        FencingGate(reader).check("l", fencing)
        served.faults.outage = True
        await wait_for(lambda: not reader.caught_up)
        with pytest.raises(GateNotReadyError):
            FencingGate(reader).check("l", fencing)
        served.faults.outage = False


@pytest.mark.parametrize("contenders", [1, 2, 20, 390])
def test_few_contenders_append_when_a_lease_expires(contenders):
    # Guards against exhausting the log's append budget, so that other writers
    # are refused. When a holder fails, every entry sees the lease expire in
    # the same second. Without delays, each would append a take, of which only
    # one can be accepted.
    appended, waited_s = [], []
    for fencing in range(50):
        current = LeaseInForce("l", "dead", 1, fencing, 7, 15_000)
        delays_s = sorted(
            leasing.get_takeover_delay_s(
                leasing.LeaseView("l", Hello(f"entry-{n}", 1), 15_000, current),
                contenders,
                1.0,
            )
            for n in range(contenders)
        )
        waited_s.append(delays_s[0])
        appended.append(sum(t <= delays_s[0] + 1.0 for t in delays_s))
    assert sum(appended) / len(appended) < 4
    assert sum(waited_s) / len(waited_s) < 2
    assert max(waited_s) < 15


def test_contender_waits_for_its_takeover_delay():
    current = LeaseInForce("l", "dead", 1, 5, 7, 15_000)
    view = leasing.LeaseView("l", Hello("entry", 1), 15_000, current, 100.0)
    assert leasing.make_next_record(view, 115.9, "c", 1.0) is None
    assert leasing.make_next_record(view, 116.0, "c", 1.0) is not None
