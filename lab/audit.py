"""Audits recorded requests against engine runs, bills and configuration."""

from __future__ import annotations

import dataclasses
from collections import Counter, defaultdict

from lab.fault_driver import InjectedFault
from lab.fault_plan import FaultKind
from lab.recorded_runs import RecordedRun
from lab.traffic import Kind, Send
from lovagestage.decisions.billing import Bill, BillOutcome

PROPAGATION_S = 8.0
"""Time in seconds from the acceptance of a change until it applies everywhere.

An engine run on a withdrawn version counts as a violation only after it.
"""
FAULT_EFFECT_S = 12.0
"""Time in seconds for which an ended fault may still affect new requests."""
# Faults that may break a connection or a stream, which the audit excuses.
_PROCESS_FAULTS = (FaultKind.KILL, FaultKind.PAUSE, FaultKind.SILENCE)
# Faults of the log, which do not make another fault's interruption concurrent.
_LOG_FAULTS = (FaultKind.OUTAGE, FaultKind.LOST_ANSWERS, FaultKind.SLOW)


@dataclasses.dataclass(frozen=True)
class Evidence:
    """Records of one experiment run.

    Attributes:
        sends: HTTP requests with the outcomes that their callers observed.
        runs: Runs that the engines recorded.
        bills: Bills in the log's billing stream.
        applied: Faults that were injected.
        withdrawn: Model version that was withdrawn.
        withdrawn_s: Unix time at which the withdrawal was accepted; infinite
            if it was not accepted.
    """

    sends: list[Send]
    runs: list[RecordedRun]
    bills: list[Bill]
    applied: list[InjectedFault]
    withdrawn: str
    withdrawn_s: float


@dataclasses.dataclass
class Findings:
    """Violations found by an audit: tags of the requests concerned, by type.

    Attributes:
        lost_answers: The connection broke without a fault that excuses it.
        wrong_bytes: The answer had bytes other than those expected.
        doubled_runs: A request that may run once ran more than once.
        doubled_bills: More than one run of a request was billed.
        missing_bills: A complete answer was not billed.
        false_refusals: A request was reported as not run although it ran.
        cut_by_planned_stop: The answer was cut off without a process failure.
        work_on_withdrawn: An engine ran the request on a withdrawn version.
    """

    lost_answers: list[str] = dataclasses.field(default_factory=list)
    wrong_bytes: list[str] = dataclasses.field(default_factory=list)
    doubled_runs: list[str] = dataclasses.field(default_factory=list)
    doubled_bills: list[str] = dataclasses.field(default_factory=list)
    missing_bills: list[str] = dataclasses.field(default_factory=list)
    false_refusals: list[str] = dataclasses.field(default_factory=list)
    cut_by_planned_stop: list[str] = dataclasses.field(default_factory=list)
    work_on_withdrawn: list[str] = dataclasses.field(default_factory=list)


def audit(evidence: Evidence) -> Findings:
    """Checks the evidence against each guarantee; returns all violations."""
    findings = Findings()
    runs: dict[str, list[RecordedRun]] = defaultdict(list)
    for run in evidence.runs:
        runs[get_tag(run.prompt)].append(run)
        is_late = run.at_s > evidence.withdrawn_s + PROPAGATION_S
        if run.model == evidence.withdrawn and is_late:
            findings.work_on_withdrawn.append(get_tag(run.prompt))
    sends: dict[str, list[Send]] = defaultdict(list)
    for send in evidence.sends:
        sends[send.tag].append(send)
        _check_answer(findings, send, evidence.applied)
    for tag, group in sends.items():
        if group[0].kind.runs_once and len(runs[tag]) > 1:
            findings.doubled_runs.append(tag)
        _check_refusals(findings, tag, group, runs[tag])
    _check_bills(findings, sends, runs, evidence.bills)
    return findings


def get_tag(prompt: str) -> str:
    """Returns the request tag in a prompt of the form `user: TAG why`."""
    return prompt.split()[1]


def count_codes(sends: list[Send]) -> dict[str, int]:
    """Counts HTTP requests by their outcome."""
    return dict(Counter(_get_outcome(send) for send in sends))


def _get_outcome(send: Send) -> str:
    if send.is_answered:
        return "answered"
    if send.has_timed_out:
        return "left"
    if send.code:
        run = send.run or "no_state"
        prefix = "stream:" if send.status == 200 else ""
        return f"{prefix}{send.code}/{run}"
    return "broken" if send.status == 0 else "cut"


def _check_answer(
    findings: Findings, send: Send, applied: list[InjectedFault]
) -> None:
    if send.is_wrong:
        findings.wrong_bytes.append(send.tag)
    if send.is_answered or send.has_timed_out:
        return
    is_broken = send.status == 0 or send.is_cut
    if is_broken and not _has_overlapping_fault(
        applied, send, _PROCESS_FAULTS, send.entry
    ):
        is_planned_stop = _has_overlapping_fault(
            applied, send, (FaultKind.REPLACE,), send.entry
        )
        # A refused connection has carried no data: the caller retries at
        # another entry immediately.
        if send.status == 0 and send.ended_s - send.sent_s < 0.1:
            return
        violations = (
            findings.cut_by_planned_stop
            if is_planned_stop
            else findings.lost_answers
        )
        violations.append(send.tag)
    elif send.status == 200 and send.code:
        # The stream ended with an error. Only the failure of a process during
        # the request excuses this.
        if not _has_overlapping_fault(applied, send, _PROCESS_FAULTS):
            findings.cut_by_planned_stop.append(send.tag)


def _has_overlapping_fault(
    applied: list[InjectedFault],
    send: Send,
    kinds: tuple[FaultKind, ...],
    name: str = "",
) -> bool:
    return any(
        injected.fault.kind in kinds
        and (not name or injected.fault.name == name)
        and injected.overlaps(send.sent_s - FAULT_EFFECT_S, send.ended_s)
        for injected in applied
    )


def _check_refusals(
    findings: Findings, tag: str, group: list[Send], runs: list[RecordedRun]
) -> None:
    for refused in group:
        if refused.run != "not_run":
            continue
        # A refusal as `not_run` is false if the request ran before it was
        # sent, or if the request ran at all and no other request with the
        # same key can account for the run.
        others = [s for s in group if s is not refused and s.run != "not_run"]
        before = [run for run in runs if run.at_s < refused.sent_s]
        if before or (runs and not others):
            findings.false_refusals.append(tag)
            return


def _check_bills(
    findings: Findings,
    sends: dict[str, list[Send]],
    runs: dict[str, list[RecordedRun]],
    bills: list[Bill],
) -> None:
    finished = {
        bill.request_id
        for bill in bills
        if bill.outcome is BillOutcome.FINISHED
    }
    for tag, group in sends.items():
        answered = {s.request_id for s in group if s.is_answered}
        ids = {run.request_id for run in runs[tag]} | answered
        if answered - finished:
            findings.missing_bills.append(tag)
        if len(ids & finished) > 1:
            findings.doubled_bills.append(tag)


def get_interruptions_s(
    served: list[tuple[float, float, bool]], applied: list[InjectedFault]
) -> tuple[list[float], list[float]]:
    """Measures the service interruption after each killed process, in seconds.

    The interruption is the time that the slowest request near the kill took,
    over all its attempts, minus the median time of all requests.

    Args:
        served: Start, time taken and whether it was answered, of each plain
            request.
        applied: Faults that were injected.

    Returns:
        Sorted interruptions of kills without another process fault nearby,
        and sorted interruptions of kills close to another process fault.
    """
    durations_s = sorted(duration_s for _, duration_s, _ in served)
    median_s = durations_s[len(durations_s) // 2]
    alone: list[float] = []
    concurrent: list[float] = []
    for kill in applied:
        if kill.fault.kind is not FaultKind.KILL:
            continue
        nearby_s = [
            duration_s
            for start_s, duration_s, _ in served
            if -0.2 < start_s - kill.began_s < 1.5
        ]
        if not nearby_s:
            continue
        interruption_s = max(0.0, max(nearby_s) - median_s)
        is_concurrent = any(
            other is not kill
            and other.fault.kind not in _LOG_FAULTS
            and other.overlaps(kill.began_s - 1.0, kill.began_s + 2.0)
            for other in applied
        )
        (concurrent if is_concurrent else alone).append(interruption_s)
    return sorted(alone), sorted(concurrent)


def counts_for_interruptions(kind: Kind) -> bool:
    """Returns whether a request's time counts for the service interruption."""
    return kind is Kind.PLAIN
