"""What one gateway saw of one upstream."""

from __future__ import annotations

from lovagestage.gateway.silence import Silence

SUSPECT_BASE_S = 0.5
"""First time for which an upstream that failed is left out: as long as a
restarting process takes at least."""
SUSPECT_LIMIT_S = 4.0
"""Longest such time; a request then finds out whether it is back."""
TRIAL_S = 0.5
"""Others stay away from an upstream so long while a request tries it: until a
connection that does not open has failed. One that hangs later, in a long queue
or for a lost answer, keeps them away no longer."""
SLOW_CONNECT_S = 0.1
"""A connection that takes longer to open is a sign that its VM is dark: over
ten times what it takes between zones, a quarter of its time limit."""
FAILURE_GAIN = 0.15
"""Weight of the newest answer in the failure ratio: the last seven count for
two thirds."""
GREY_RATIO = 0.3
"""Over this failure ratio an upstream is taken only where others are worse.
Above the rate of a service whose own faults fail one answer in seven."""
RUNNING_S = 0.01
"""What each running request adds to the wait: its tokens are made between
those of others."""
SPEED_GAIN = 0.1
"""Weight of the newest answer in the speed."""
SPEED_LIMIT = 10.0
"""Slowest speed that is told apart: a slower upstream is left out anyway."""


class Performance:
    """Load, health and speed of an upstream as this gateway sees it.

    Attributes:
        running: Requests of this gateway that are there.
        waiting_s: Time that those without an answer yet are expected to take.
        waiting_elsewhere_s: The same of other gateways' requests, as they
            told it last.
        slowness: Time of its answers, as a multiple of what was expected.
        failure_ratio: Running ratio of failed answers.
        silence: Requests that wait there without a sign of it.
    """

    def __init__(self) -> None:
        self.running = 0
        self.waiting_s = 0.0
        self.waiting_elsewhere_s = 0.0
        self.slowness = 1.0
        self.failure_ratio = 0.0
        self.silence = Silence()
        self._suspect_until_s = 0.0
        self._suspect_s = 0.0
        self._is_tried = False
        self._connecting_s: list[float] = []

    def get_own_wait_s(self) -> float:
        """Expected wait behind this gateway's requests."""
        return self.waiting_s + RUNNING_S * self.running

    def get_wait_s(self) -> float:
        """Expected wait behind the requests of all gateways."""
        return self.get_own_wait_s() + self.waiting_elsewhere_s

    def is_suspect(self, now_s: float) -> bool:
        """Whether there are signs that it is not there."""
        if now_s < self._suspect_until_s:
            return True
        opening_s = self._connecting_s
        if opening_s and opening_s[0] < now_s - SLOW_CONNECT_S:
            return True
        return self.silence.is_stalled(now_s)

    def get_left_out_s(self, now_s: float) -> float:
        """For how long it is left out after a failure."""
        return max(0.0, self._suspect_until_s - now_s)

    def is_grey(self) -> bool:
        """Whether it fails many requests although it answers."""
        return self.failure_ratio > GREY_RATIO

    def note_connecting(self, now_s: float) -> None:
        """Notes that a connection to it is being opened."""
        self._connecting_s.append(now_s)

    def note_connect_ended(self, begun_s: float) -> None:
        """Notes that the opening which began then is over."""
        self._connecting_s.remove(begun_s)

    def note_sent(self, now_s: float) -> None:
        """Notes a request to it; the first after a failure is a trial.

        An upstream that is gone has nothing waiting and looks the best of
        all: without this, all requests of the time that one takes to fail
        would go there, each time that it is looked at again.
        """
        if self._suspect_s and not self.is_suspect(now_s):
            self._is_tried = True
            self._suspect_until_s = now_s + TRIAL_S

    def note_heard(self) -> None:
        """Notes that it answers; others may follow a trial."""
        if self._is_tried:
            self._is_tried = False
            self._suspect_until_s = 0.0

    def note_absent(self, now_s: float) -> None:
        """Notes that it could not be reached or fell silent."""
        if now_s < self._suspect_until_s and not self._is_tried:
            return
        self._is_tried = False
        doubled_s = max(SUSPECT_BASE_S, 2 * self._suspect_s)
        self._suspect_s = min(SUSPECT_LIMIT_S, doubled_s)
        self._suspect_until_s = now_s + self._suspect_s

    def note_time(self, time_s: float, expected_s: float) -> None:
        """Notes how long it took to begin an answer."""
        if expected_s <= 0.0:
            return
        ratio = min(SPEED_LIMIT, time_s / expected_s)
        self.slowness += SPEED_GAIN * (ratio - self.slowness)

    def note_answer(self, failed: bool) -> None:
        """Notes an answer."""
        self.failure_ratio += FAILURE_GAIN * (failed - self.failure_ratio)
        if not failed:
            self._is_tried = False
            self._suspect_s = 0.0
            self._suspect_until_s = 0.0
