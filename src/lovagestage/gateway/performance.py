"""Load, health and speed of one upstream, as one gateway observes them."""

from __future__ import annotations

from lovagestage.gateway.stall_detection import StallDetector

EXCLUSION_BASE_S = 0.5
"""Time in seconds for which an upstream is excluded after its first failure:
the shortest time that a process takes to restart."""
EXCLUSION_LIMIT_S = 4.0
"""Longest time in seconds for which an upstream is excluded after failures;
after it, a request probes whether the upstream has recovered."""
PROBE_S = 0.5
"""Time in seconds for which an upstream gets no other requests while one
request probes it: long enough for an attempt to open a connection to fail. A
probe that hangs later, in a long queue or because its answer was lost, excludes
the upstream no longer than this."""
SLOW_CONNECT_S = 0.1
"""Time in seconds after which a connection that is still not open is a sign
that the upstream's VM does not respond: over ten times what a connection
between zones takes, and a quarter of the connection's time limit."""
FAILURE_GAIN = 0.15
"""Weight of the newest answer in the failure ratio: the last seven answers
count for two thirds of the ratio."""
GREY_FAILURE_RATIO = 0.3
"""Failure ratio above which an upstream is chosen only where no better one is
left. It lies above the rate of a service whose own faults fail one answer in
seven."""
RUNNING_REQUEST_S = 0.01
"""Time in seconds that each running request adds to the expected queue time:
its tokens are generated between those of other requests."""
SLOWNESS_GAIN = 0.1
"""Weight of the newest answer in the slowness."""
MAX_SLOWNESS = 10.0
"""Largest ratio of an answer's time to the expected time that counts in the
slowness: a slower upstream is excluded anyway."""


class Performance:
    """Load, health and speed of an upstream as this gateway observes them.

    Attributes:
        running: Number of this gateway's requests that run at the upstream.
        waiting_s: Time in seconds that this gateway's requests without an
            answer yet are expected to take.
        waiting_elsewhere_s: Time in seconds that the waiting requests of other
            gateways are expected to take, by their last reports.
        slowness: Time of the upstream's answers, as a multiple of the expected
            time.
        failure_ratio: Running mean of the share of failed answers.
        stall_detector: Requests that wait at the upstream while no data is
            received from it.
    """

    def __init__(self) -> None:
        self.running = 0
        self.waiting_s = 0.0
        self.waiting_elsewhere_s = 0.0
        self.slowness = 1.0
        self.failure_ratio = 0.0
        self.stall_detector = StallDetector()
        self._excluded_until_s = 0.0
        self._exclusion_s = 0.0
        self._is_probing = False
        self._connect_started_s: list[float] = []

    def get_own_wait_s(self) -> float:
        """Returns the expected queue time of this gateway's requests."""
        return self.waiting_s + RUNNING_REQUEST_S * self.running

    def get_wait_s(self) -> float:
        """Returns the expected queue time of all gateways' requests."""
        return self.get_own_wait_s() + self.waiting_elsewhere_s

    def is_suspect(self, now_s: float) -> bool:
        """Returns whether there are signs that the upstream is unreachable.

        The signs are a recent failure, a connection that is slow to open, and
        inactivity while requests wait.
        """
        if now_s < self._excluded_until_s:
            return True
        started_s = self._connect_started_s
        if started_s and started_s[0] < now_s - SLOW_CONNECT_S:
            return True
        return self.stall_detector.is_stalled(now_s)

    def get_exclusion_left_s(self, now_s: float) -> float:
        """Returns for how many seconds the upstream is still excluded."""
        return max(0.0, self._excluded_until_s - now_s)

    def is_grey(self) -> bool:
        """Returns whether the upstream has a grey failure.

        Such an upstream answers, but fails many requests.
        """
        return self.failure_ratio > GREY_FAILURE_RATIO

    def record_connect_start(self, now_s: float) -> None:
        """Records that a connection to the upstream is being opened."""
        self._connect_started_s.append(now_s)

    def record_connect_end(self, begun_s: float) -> None:
        """Records that an attempt to open a connection has ended.

        Args:
            begun_s: Elapsed time in seconds at which that attempt began.
        """
        self._connect_started_s.remove(begun_s)

    def record_sent(self, now_s: float) -> None:
        """Records a request; the first one after an exclusion is a probe.

        An upstream that has stopped has an empty queue and looks like the best
        one. Without the probe, all requests that arrive while one of them
        fails would be sent there, each time that the upstream's exclusion
        ends.
        """
        if self._exclusion_s and not self.is_suspect(now_s):
            self._is_probing = True
            self._excluded_until_s = now_s + PROBE_S

    def record_received(self) -> None:
        """Records data from the upstream; it ends the exclusion by a probe."""
        if self._is_probing:
            self._is_probing = False
            self._excluded_until_s = 0.0

    def record_unreachable(self, now_s: float) -> None:
        """Records that the upstream was unreachable or inactive for too long.

        The upstream is excluded, for twice as long after each failed probe.
        Failures during an exclusion count once.
        """
        if now_s < self._excluded_until_s and not self._is_probing:
            return
        self._is_probing = False
        doubled_s = max(EXCLUSION_BASE_S, 2 * self._exclusion_s)
        self._exclusion_s = min(EXCLUSION_LIMIT_S, doubled_s)
        self._excluded_until_s = now_s + self._exclusion_s

    def record_answer_time(self, time_s: float, expected_s: float) -> None:
        """Records how long an answer took to begin.

        Args:
            time_s: Measured time in seconds.
            expected_s: Expected time in seconds; at 0 or below, nothing is
                recorded.
        """
        if expected_s <= 0.0:
            return
        ratio = min(MAX_SLOWNESS, time_s / expected_s)
        self.slowness += SLOWNESS_GAIN * (ratio - self.slowness)

    def record_answer(self, failed: bool) -> None:
        """Records whether an answer failed; a good one resets the backoff."""
        self.failure_ratio += FAILURE_GAIN * (failed - self.failure_ratio)
        if not failed:
            self._is_probing = False
            self._exclusion_s = 0.0
            self._excluded_until_s = 0.0
