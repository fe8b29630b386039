"""Simulation of gateways that share blame for parts of prompts.

Reports between gateways are delayed, lost and reordered; upstreams that crash
come back after some seconds.
"""

from __future__ import annotations

import dataclasses
import heapq
import itertools
import random

from lovagestage.decisions.crash_admission import Admission
from lovagestage.decisions.crash_records import CLAIM_SETTLE_S
from lovagestage.decisions.crash_suspects import SuspectTable
from lovagestage.gateway.crash_detection import CLEAR_SPREAD_S
from lovagestage.messages.crashes import CrashReport
from lovagestage.types import Fingerprint

MAX_ATTEMPTS = 3
MAX_WAIT_S = 1.0
POLL_S = 0.02
RESTART_S = 3.0
LOSS = 0.1
BATCH = 32


@dataclasses.dataclass
class Request:
    name: str
    parts: tuple[str, ...]
    deadly: str | None
    gateway: int
    sent_s: float
    attempts: int = 0
    claims: int = 0
    waits_from_s: float = 0.0
    outcome: str = ""
    begun_s: float = -1.0

    @property
    def run(self):
        return f"{self.name}/{self.attempts + 1}.{self.claims}"


class Simulation:
    """Gateways, upstreams and a network.

    Args:
        seed: Seed of all chances.
        gateways: Number of gateways.
        upstreams: Number of upstreams.
        sees_parts: Whether gateways look at the parts of requests.
    """

    def __init__(self, seed, gateways, upstreams, sees_parts=True):
        self.rng = random.Random(seed)
        self.now_s = 0.0
        self.tables = [SuspectTable() for _ in range(gateways)]
        self.upstreams = {f"u{n}": [] for n in range(upstreams)}
        self.starts = dict.fromkeys(self.upstreams, 0)
        self.up_from_s = dict.fromkeys(self.upstreams, 0.0)
        self.requests = []
        self.crashes = []
        self.deadly_runs = []
        self.reports = 0
        self._sees_parts = sees_parts
        self._events = []
        self._order = itertools.count()

    def at(self, delay_s, action, *arguments):
        entry = (self.now_s + delay_s, next(self._order), action, arguments)
        heapq.heappush(self._events, entry)

    def run_until(self, end_s):
        while self._events and self._events[0][0] <= end_s:
            self.now_s, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)
        self.now_s = end_s

    def send(self, parts, deadly=None, gateway=None):
        if gateway is None:
            gateway = self.rng.randrange(len(self.tables))
        name = f"{self.rng.getrandbits(48):012x}"
        request = Request(name, parts, deadly, gateway, self.now_s)
        self.requests.append(request)
        self._admit(request)
        return request

    def add_gateway(self):
        """Starts a gateway, which learns from one of the others."""
        known = self.rng.choice(self.tables)
        self.tables.append(SuspectTable())
        self._apply(len(self.tables) - 1, *known.get_reports(self.now_s))

    def _parts(self, request):
        return request.parts if self._sees_parts else ()

    def _admit(self, request):
        table, name = self.tables[request.gateway], Fingerprint(request.name)
        parts = self._parts(request)
        match table.admit(name, self.now_s, parts):
            case Admission.FREE:
                self._start(request)
            case Admission.PROBE:
                run = request.run
                claim = table.start_probe(name, run, self.now_s, parts)
                self._post(request.gateway, claim)
                self.at(CLAIM_SETTLE_S, self._settle, request, run)
            case Admission.WAIT:
                self._wait(request)
            case _:
                request.outcome = "refused"

    def _wait(self, request):
        if not request.waits_from_s:
            request.waits_from_s = self.now_s
        if self.now_s - request.waits_from_s > MAX_WAIT_S:
            request.outcome = "waited"
        else:
            self.at(POLL_S, self._admit, request)

    def _settle(self, request, run):
        table, name = self.tables[request.gateway], Fingerprint(request.name)
        if table.holds_probe(name, run, self.now_s):
            self._start(request)
            return
        self._post(request.gateway, table.withdraw_probe(name, run, self.now_s))
        request.claims += 1
        self._wait(request)

    def _start(self, request):
        free = [
            name
            for name, runs in self.upstreams.items()
            if self.up_from_s[name] <= self.now_s and len(runs) < BATCH
        ]
        run = request.run
        if not free:
            self._end(request, run, False)
            request.outcome = "no_upstream"
            return
        request.attempts += 1
        request.waits_from_s = 0.0
        upstream = self.rng.choice(free)
        self.upstreams[upstream].append((request, run))
        if request.begun_s < 0.0:
            request.begun_s = self.now_s
        if request.deadly is not None:
            self.deadly_runs.append((self.now_s, request.deadly))
            delay_s = self.rng.uniform(0.05, 0.4)
            self.at(delay_s, self._crash, upstream, request, run)
        else:
            delay_s = self.rng.uniform(0.1, 2.0)
            self.at(delay_s, self._answer, upstream, request, run)

    def _answer(self, upstream, request, run):
        if (request, run) in self.upstreams[upstream]:
            self.upstreams[upstream].remove((request, run))
            request.outcome = "answered"
            self._end(request, run, True)

    def _crash(self, upstream, request, run):
        lost = self.upstreams[upstream]
        if (request, run) not in lost:
            return
        self.crashes.append((self.now_s, request.deadly))
        self.upstreams[upstream] = []
        self.up_from_s[upstream] = self.now_s + RESTART_S
        process = f"{upstream}/{self.starts[upstream]}"
        self.starts[upstream] += 1
        for other, name in lost:
            self.at(self.rng.uniform(0, 0.01), self._lose, other, name, process)

    def _lose(self, request, run, process):
        report = self.tables[request.gateway].record_crash(
            Fingerprint(request.name),
            run,
            process,
            self.now_s,
            self._parts(request),
        )
        self._post(request.gateway, report)
        if request.attempts >= MAX_ATTEMPTS:
            request.outcome = "lost"
        else:
            self._admit(request)

    def _end(self, request, run, answered):
        report = self.tables[request.gateway].record_end(
            Fingerprint(request.name),
            run,
            answered,
            self.now_s,
            self._parts(request),
        )
        if report is not None:
            self._post(request.gateway, report)

    def _post(self, sender, report: CrashReport):
        """Sends a report as two datagrams, and through the store."""
        self.reports += 1
        for gateway in range(len(self.tables)):
            if gateway == sender:
                continue
            for delay_s in (0.02, 0.32):
                if self.rng.random() >= LOSS:
                    late_s = delay_s + self.rng.uniform(0.0, 0.06)
                    self.at(late_s, self._apply, gateway, report)
            self.at(self.rng.uniform(0.5, 1.5), self._apply, gateway, report)

    def _apply(self, gateway, *reports):
        table = self.tables[gateway]
        for report in reports:
            table.apply_report(report, self.now_s)
            rebuttal = table.make_rebuttal(report, self.now_s)
            if rebuttal is not None:
                delay_s = self.rng.uniform(0.0, CLEAR_SPREAD_S)
                self.at(delay_s, self._post, gateway, rebuttal)
