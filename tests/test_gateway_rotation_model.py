"""Rotation against a model of one upstream's processes and late writes.

A process that crashes within a heartbeat leaves a write that the store carries
out later. Gateways start at any moment and know what the newest record says.
"""

from __future__ import annotations

import dataclasses
import itertools
import os
import random

import pytest

from lovagestage.gateway.rotation import PROOF_HEARTBEATS, Rotation
from lovagestage.gateway.upstream import UpstreamEntry

HEARTBEAT_S = 1.2
EXPIRY_TICKS = 3
RECOVERY_TICKS = 3
"""Heartbeats of a living process, without a late write between them, after
which each gateway must follow it, whatever its clock says."""
OPERATIONS = ("crash", "restart", "back", "late", "late_after", "drain", "new")
EXHAUSTIVE_LENGTH = 5
DRAWN = int(os.environ.get("ROTATION_HISTORIES", "1500"))
DRAWN_LENGTH = 14
ENTRY = UpstreamEntry("pool", "10.0.0.1:80", "a", "v1", 4, False)


class UpstreamModel:
    """The processes of one id, the store's records, and gateways."""

    def __init__(self):
        self.now_s = 100.0
        self.offset = 0
        self.newest = None
        self.newest_offset = 0
        self.silent_ticks = 0
        self.born = self.earliest = self.latest = 1000
        self.is_alive = True
        self.is_draining = False
        self.sequence = 0
        self.steady_ticks = 0
        self.has_clock_gone_back = False
        self.pending = []
        self.gateways = []
        self.heartbeat()
        self.start_gateway()

    def make_entry(self):
        self.sequence += 1
        return dataclasses.replace(
            ENTRY,
            start_ms=self.born,
            is_draining=self.is_draining,
            sequence=self.sequence,
        )

    def write(self, entry):
        self.offset += 1
        self.newest, self.newest_offset = entry, self.offset
        if entry is not None:
            self.silent_ticks = 0
        for gateway in self.gateways:
            gateway.apply("w1", entry, self.offset, self.now_s, False)

    def heartbeat(self):
        if self.is_alive:
            self.write(self.make_entry())
            self.steady_ticks += 1

    def start_gateway(self):
        gateway = Rotation(HEARTBEAT_S)
        if self.newest is not None:
            gateway.apply(
                "w1", self.newest, self.newest_offset, self.now_s, False
            )
        self.gateways.append(gateway)

    def crash(self):
        if self.is_alive:
            self.pending.append(self.make_entry())
            self.is_alive = False

    def start_process(self, born):
        if not self.is_alive:
            self.born = born
            self.earliest = min(self.earliest, born)
            self.latest = max(self.latest, born)
            self.is_alive, self.is_draining = True, False
            self.sequence = self.steady_ticks = 0

    def drain(self):
        if self.is_alive and not self.is_draining:
            self.is_draining = True
            self.steady_ticks = 0

    def carry_out(self):
        if self.pending:
            self.write(self.pending.pop(0))
            # It may be an entry of the process that a gateway knows.
            self.steady_ticks = 0

    def step(self, operation):
        self.now_s += HEARTBEAT_S
        match operation:
            case "crash":
                self.crash()
            case "restart":
                self.start_process(self.latest + 5)
            case "back":
                self.has_clock_gone_back |= not self.is_alive
                self.start_process(self.earliest - 7)
            case "drain":
                self.drain()
            case "new":
                self.start_gateway()
            case "late":
                self.carry_out()
        self.heartbeat()
        if operation == "late_after":
            self.carry_out()
        self.silent_ticks += 1
        if self.silent_ticks > EXPIRY_TICKS and self.newest is not None:
            self.write(None)

    def check(self, history, is_last_late):
        if not self.is_alive:
            return
        if self.has_clock_gone_back and self.steady_ticks <= RECOVERY_TICKS:
            return
        for gateway in self.gateways:
            ready = gateway.get_ready("pool")
            assert bool(ready) != self.is_draining, (history, ready)
            if ready and not is_last_late:
                assert ready[0].entry.start_ms == self.born, history


def run_history(history):
    model = UpstreamModel()
    for operation in history:
        model.step(operation)
        # A gateway may have started with a late write as its newest record,
        # which the next heartbeat corrects.
        model.check(history, operation == "late_after")
    for _ in range(RECOVERY_TICKS + 2):
        model.step("beat")
    model.check(history, False)


def test_each_short_history_leaves_gateways_with_the_living_process():
    # A late write of an earlier process made a gateway drop all entries of the
    # living one, so that it sent requests to an upstream that had left.
    for length in range(1, EXHAUSTIVE_LENGTH + 1):
        for history in itertools.product(OPERATIONS, repeat=length):
            run_history(history)


@pytest.mark.parametrize("seed", range(3))
def test_drawn_histories_leave_gateways_with_the_living_process(seed):
    # The same over longer histories, with several restarts and gateways.
    rng = random.Random(seed)
    for _ in range(DRAWN // 3):
        history = rng.choices((*OPERATIONS, "beat"), k=DRAWN_LENGTH)
        run_history(history)


def test_two_late_writes_of_a_stopped_process_do_not_bring_it_back():
    # Between the heartbeats of its successor they are no sign of life.
    rotation = Rotation(HEARTBEAT_S)
    start_s = 0.0
    for number, (born, at_s) in enumerate(
        ((2, 0.0), (1, 0.5), (1, 0.9), (2, 1.2), (1, 1.5), (1, 2.3), (2, 2.4))
    ):
        entry = dataclasses.replace(ENTRY, start_ms=born, sequence=number)
        rotation.apply("w1", entry, number, start_s + at_s, False)
        (upstream,) = rotation.get_ready("pool")
        assert upstream.entry.start_ms == 2
    assert PROOF_HEARTBEATS > 1.0
