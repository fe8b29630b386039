"""Weighs answers as evidence for or against a new version (no I/O)."""

from __future__ import annotations

import collections
import enum
import math

STOP_EVIDENCE = 5.0
"""Log-likelihood ratio at which a new version is stopped. The ratio compares a
version whose failure rate is higher by `BAD_FAILURE_RISE` with one that is as
good as the old version. A good version reaches the limit in about one of 150
roll-outs (Wald's bound)."""
EVIDENCE_FLOOR = -1.0
"""Lower limit of the log-likelihood ratio: good answers lower it no further
(Page's CUSUM), so that a version that becomes faulty late is found as fast as
one that is faulty from the start."""
BAD_FAILURE_RISE = 0.25
"""Rise of the failure rate that counts as bad; faulty versions fail a third of
their answers and more."""
PROOF_EVIDENCE = -6.7
"""Log-likelihood ratio, over all routes and gateways, up to which a version is
completed: 18 good answers without a bad one."""
MEAN_PROOF_EVIDENCE = -0.22
"""Mean log-likelihood ratio of an answer, the pace of streams included, up to
which a version is completed. A sum alone says less, the more answers there
are."""
LATE_PROOF_EVIDENCE = -2.9
"""The same sum for a service with little traffic, whose few answers have to be
good."""
SUSPICION_EVIDENCE = 2.5
"""Log-likelihood ratio from which a version is reverted when it is due to be
completed, unless all its answers together prove it; otherwise it waits for
further answers."""
OVERDUE_SUSPICION_EVIDENCE = 2.0
"""Log-likelihood ratio from which a version that is overdue is not completed,
whatever else speaks for it."""
MIN_FAILURE_RATE, MAX_FAILURE_RATE = 0.02, 0.5
"""Lower and upper limit of the old version's failure rate in the
log-likelihood ratio."""
MIN_NEW_FAILURES = 3
"""Failures of the new version that are needed to stop it, whatever their
likelihood: two failures can come from the crash of one upstream."""
VERY_SLOW_RATE, LOADED_VERY_SLOW_RATE = 0.03, 0.06
"""Minimum rates at which answers of a good version are assumed to be very slow,
before the load step and in it, where the few upstreams of the new version are
meant to have queues."""
SLOW_RATE, LOADED_SLOW_RATE = 0.2, 0.3
"""The same for answers that are slow or very slow. Answer times vary with the
queues and the prompts, so that a slow answer says less than a very slow one."""
OUTAGE_RATE, LOADED_OUTAGE_RATE = 0.1, 0.2
"""The same for outages of upstreams, of which a good version has some."""


class AnswerQuality(enum.Enum):
    """Quality of an answer, as evidence on the version that gave it."""

    GOOD = "good"
    SLOW = "slow"
    """The answer took longer than most."""
    VERY_SLOW = "very_slow"
    """The answer took several times as long as the mean."""
    FAILED = "failed"
    SILENT = "silent"
    """The answer was as late, and its upstream sent nothing meanwhile."""
    LOST = "lost"
    """The upstream crashed, or the link to it broke."""
    UNJUDGED = "unjudged"
    """Too few answers of the kind are known to tell whether it was slow."""


class EvidenceAspect(enum.Enum):
    """What of an answer was judged; each aspect is a test of its own."""

    ANSWER = ""
    """Whether it came, in time and without a failure."""
    PACE = "/pace"
    """How fast the events of a stream followed each other."""

    def make_key(self, route: str) -> str:
        """Returns the key under which a route's evidence is summed."""
        return route + self.value


FINE_QUALITIES = frozenset(
    (AnswerQuality.GOOD, AnswerQuality.SLOW, AnswerQuality.UNJUDGED)
)
"""Qualities of answers that may be of a good version."""
OUTAGE_QUALITIES = frozenset((AnswerQuality.SILENT, AnswerQuality.LOST))
"""Qualities that count once for each outage of an upstream: a crash or a cut
link ends all requests at an upstream at the same time, and two such upstreams
must not end the roll-out of a good version."""


def get_log_likelihood_ratio(failure_rate: float, failed: bool) -> float:
    """Returns the log-likelihood ratio of one answer of the new version.

    Args:
        failure_rate: Rate at which the old version fails such requests.
        failed: Whether the answer failed or was far too slow.
    """
    failure_rate = min(MAX_FAILURE_RATE, max(MIN_FAILURE_RATE, failure_rate))
    bad_rate = min(0.95, failure_rate + BAD_FAILURE_RISE)
    if failed:
        return math.log(bad_rate / failure_rate)
    return math.log((1.0 - bad_rate) / (1.0 - failure_rate))


def get_open_request_evidence(open_share: float, failure_rate: float) -> float:
    """Returns the log-likelihood ratio of a request that is under way.

    A bad version answers none sooner than the old version, and those that it
    slows down are under way longer than any.

    Args:
        open_share: Share of the old version's requests that last so long.
        failure_rate: Rate at which the old version fails such requests.

    Returns:
        0 for a request that has just begun; for one that lasts longer than all
        of the old version's, about the evidence of a very slow answer.
    """
    failure_rate = min(MAX_FAILURE_RATE, max(VERY_SLOW_RATE, failure_rate))
    good_share = min(1.0, max(failure_rate, open_share))
    bad_share = good_share + BAD_FAILURE_RISE * (1.0 - good_share)
    return math.log(bad_share / good_share)


def get_assumed_rate(quality: AnswerQuality, is_lenient: bool) -> float:
    """Returns the least rate at which a good version is assumed to fail so.

    Args:
        quality: Quality of an answer, which is as bad as the failures or worse;
            for a good one, the rate of all that is not.
        is_lenient: Whether more is to be expected: in the load step, and of
            the pace of streams, which varies with the load most.
    """
    match quality:
        case AnswerQuality.GOOD | AnswerQuality.SLOW:
            return LOADED_SLOW_RATE if is_lenient else SLOW_RATE
        case AnswerQuality.VERY_SLOW:
            return LOADED_VERY_SLOW_RATE if is_lenient else VERY_SLOW_RATE
        case AnswerQuality.SILENT | AnswerQuality.LOST:
            return LOADED_OUTAGE_RATE if is_lenient else OUTAGE_RATE
        case _:
            return 0.0


def is_pace_key(key: str) -> bool:
    """Returns whether evidence under a key is of the pace of streams."""
    return key.endswith(EvidenceAspect.PACE.value)


class TrialEvidence:
    """What one gateway knows of a new version by its own answers.

    Attributes:
        answers: Number of judged answers, runs without an answer included.
        total: Sum of their log-likelihood ratios.
        qualities: Number of answers by quality.
        is_total_reported: Whether the others know the number and the total.
        under_way_reported: What the others were told of the requests under
            way: the sum of their log-likelihood ratios.
        report_due_s: Elapsed time in seconds at which the others are told next;
            None before it is planned.
    """

    def __init__(self) -> None:
        self.answers = 0
        self.total = 0.0
        self.is_total_reported = True
        self.under_way_reported = 0.0
        self.report_due_s: float | None = None
        self.qualities: collections.Counter[AnswerQuality] = (
            collections.Counter()
        )
        self._unreported: dict[str, float] = {}

    def add(
        self,
        route: str,
        quality: AnswerQuality,
        failure_rate: float,
        is_loaded: bool,
    ) -> float:
        """Adds an answer and returns its log-likelihood ratio.

        Args:
            route: Name of the route, or the key of its pace.
            quality: Quality of the answer.
            failure_rate: Rate at which the old version fails such requests.
            is_loaded: Whether the new version is in its load step.
        """
        if not is_pace_key(route):
            self.qualities[quality] += 1
        if quality is AnswerQuality.UNJUDGED:
            return 0.0
        is_lenient = is_loaded or is_pace_key(route)
        failure_rate = max(get_assumed_rate(quality, is_lenient), failure_rate)
        failed = quality is not AnswerQuality.GOOD
        evidence = get_log_likelihood_ratio(failure_rate, failed)
        self.total += evidence
        if not is_pace_key(route):
            self.answers += 1
        if not failed:
            unreported = self._unreported.get(route, 0.0)
            self._unreported[route] = unreported + evidence
        self.is_total_reported = False
        return evidence

    def take_unreported(self) -> dict[str, float]:
        """Returns the good answers' evidence by route since the last call.

        The others are told the number and the total with it.

        It is not cut: what is cut between two bad answers would be missing from
        the others' sums, which have a floor of their own.
        """
        self.is_total_reported = True
        unreported, self._unreported = self._unreported, {}
        return unreported
