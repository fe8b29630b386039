"""Weighs answers as evidence for or against a new version (no I/O)."""

from __future__ import annotations

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
MIN_FAILURE_RATE, MAX_FAILURE_RATE = 0.02, 0.5
"""Lower and upper limit of the old version's failure rate in the
log-likelihood ratio."""
MIN_NEW_FAILURES = 3
"""Failures of the new version that are needed to stop it, whatever their
likelihood: two failures can come from the crash of one upstream."""
SLOW_ANSWER_RATE = 0.1
"""Minimum rate at which answers of a good version are assumed to be slow.
Answer times vary with the queues, so a slow answer is weaker evidence than a
failed one."""
LOADED_SLOW_RATE = 0.2
"""The same in the load step, where the few upstreams of the new version are
meant to have queues."""


class AnswerQuality(enum.Enum):
    """Quality of an answer, as evidence on the version that gave it."""

    GOOD = "good"
    SLOW = "slow"
    """The answer took several times as long as the mean."""
    FAILED = "failed"
    SILENT = "silent"
    """The answer was as late, and its upstream sent nothing meanwhile."""
    LOST = "lost"
    """The upstream crashed, or the link to it broke."""
    UNJUDGED = "unjudged"
    """Too few answers of the kind are known to tell whether it was slow."""


SLOW_QUALITIES = frozenset(
    (AnswerQuality.SLOW, AnswerQuality.SILENT, AnswerQuality.LOST)
)
"""Qualities that are weaker evidence than a failed answer."""
OUTAGE_QUALITIES = frozenset((AnswerQuality.SILENT, AnswerQuality.LOST))
"""Qualities that count once for each upstream of a new version: a crash or a
cut link ends all requests at an upstream at the same time, and two such
upstreams must not end the roll-out of a good version."""


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
