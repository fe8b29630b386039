"""Sequential tests that stay valid however often they are looked at.

Each test holds wealth that no strategy can expect to grow while its null
hypothesis is true, so by Ville's inequality the wealth ever reaches `1 /
alpha` with probability at most `alpha` (Howard, Ramdas, McAuliffe and Sekhon
2021; Johari et al. 2022 on peeking; Waudby-Smith and Ramdas 2024 on betting).

A version may also turn bad late. The wealth is therefore a mixture over the
moment at which betting starts (Shin, Ramdas and Rinaldo 2023): the share of
the capital that has not started yet waits, so early good observations do not
have to be lost again before bad ones count.
"""

from __future__ import annotations

import collections
import enum
import math

MAX_WEALTH = 1e12
"""Keeps wealth finite; lowering it never makes a test less valid."""
FIRST_START_WEIGHT = 0.5
"""Part of the capital that bets from the first observation."""
LATE_START_NORM = 2.12
"""Bound of the sum over t >= 2 of 1 / (t ln(t)^2)."""
BETS = (0.1, 0.35, 0.9)
"""Parts of the largest stake; a small drop is found by a small bet."""
MAX_UNPAIRED = 512
"""Observations that wait for a bet; older ones are dropped."""
MAX_IN_BET = 8
"""Observations of a version in one bet."""
MIN_LOSS = 0.05
"""Keeps stakes finite where scores are near 0 or 1."""
RATIO_GAIN = 0.02
"""Gain of the running part of arrivals that are new."""
GUESS_COUNT = 10
"""Old observations that only make the first guess of their mean."""
GUESS_GAIN = 0.02
"""Gain of the running guess of the old mean; it follows the day's drift."""
START_EVERY = 16
"""Bets between two late starts; fewer starts leave each a larger weight."""
RELATIVE_RISKS = (3.0, 15.0, 200.0)
"""Alternatives for how much more often the new version fails."""

_Queue = collections.deque[float]


def get_start_weight(count: int) -> float:
    """Part of the capital that starts betting at observation `count`."""
    if count == 1:
        return FIRST_START_WEIGHT
    late = count * math.log(count) ** 2 * LATE_START_NORM
    return (1.0 - FIRST_START_WEIGHT) / late


class Direction(enum.Enum):
    """What a test looks for evidence of."""

    ABOVE = 1
    """The mean difference is above the margin."""
    BELOW = -1
    """The mean difference is below the margin."""


class PairedTest:
    """Tests the mean of old minus new observations against a margin.

    One bet takes p new and k old observations that have not been used yet,
    of the same moment: a harder hour lowers both and is no evidence. With m
    the margin, g a guess of the old mean made before the bet and s the stake,
    capital is multiplied by each 1 + s/p (g - m - new) and each
    1 + s/k (old - g). Where the new mean is at least the old one less m, the
    expectation is at most (1 + sa/p)^p (1 - sa/k)^k <= exp(sa - sa) = 1, a
    being the guess's error: a wrong guess costs power, never validity. Apart
    from a plain difference this lets the stake grow until a single perfect
    score would lose all, which is far more where scores are high.

    How many form a bet depends on the order of arrival alone, never on the
    values.

    Args:
        margin: Difference of means that parts the two hypotheses.
        direction: Side of the margin that evidence is sought for.
        restarts: Whether betting may also start late.
    """

    def __init__(
        self, margin: float, direction: Direction, restarts: bool
    ) -> None:
        self._margin = margin
        self._direction = direction
        self._restarts = restarts
        self._wealth = [0.0] * len(BETS)
        self._old: _Queue = collections.deque(maxlen=MAX_UNPAIRED)
        self._new: _Queue = collections.deque(maxlen=MAX_UNPAIRED)
        self._new_ratio = 0.5
        self._guess = 0.0
        self._guessed = 0
        self.bets = 0

    def add(self, is_new: bool, value: float) -> None:
        """Takes one observation between 0 and 1."""
        self._new_ratio += (is_new - self._new_ratio) * RATIO_GAIN
        if not is_new and self._guessed < GUESS_COUNT:
            self._learn(value)
            return
        (self._new if is_new else self._old).append(value)
        olds, news = self._get_sizes()
        if len(self._old) >= olds and len(self._new) >= news:
            self._bet(olds, news)

    def get_wealth(self) -> float:
        """Wealth; 1 or less is no evidence."""
        if self.bets == 0:
            return 1.0
        return sum(self._wealth) / len(BETS)

    def _get_sizes(self) -> tuple[int, int]:
        odds = self._new_ratio / max(1.0 - self._new_ratio, 1e-6)
        olds = min(MAX_IN_BET, max(1, int(1.0 / max(odds, 1e-6))))
        news = min(MAX_IN_BET, max(1, int(odds)))
        return olds, news

    def _bet(self, olds: int, news: int) -> None:
        old = [self._old.popleft() for _ in range(olds)]
        new = [self._new.popleft() for _ in range(news)]
        sign = self._direction.value
        limit = self._get_limit(olds, news)
        start = self._get_start()
        self.bets += 1
        for index, bet in enumerate(BETS):
            stake = sign * bet * limit
            factor = 1.0
            for value in new:
                gain = self._guess - self._margin - value
                factor *= 1.0 + stake / news * gain
            for value in old:
                factor *= 1.0 + stake / olds * (value - self._guess)
            wealth = (self._wealth[index] + start) * factor
            self._wealth[index] = min(MAX_WEALTH, wealth)
        for value in old:
            self._learn(value)

    def _get_limit(self, olds: int, news: int) -> float:
        """Largest stake at which no outcome loses more than all."""
        target = self._guess - self._margin
        if self._direction is Direction.ABOVE:
            new_loss, old_loss = 1.0 - target, self._guess
        else:
            new_loss, old_loss = target, 1.0 - self._guess
        return min(
            news / max(new_loss, MIN_LOSS), olds / max(old_loss, MIN_LOSS)
        )

    def _learn(self, value: float) -> None:
        self._guessed += 1
        gain = max(GUESS_GAIN, 1.0 / self._guessed)
        self._guess += (value - self._guess) * gain

    def _get_start(self) -> float:
        if not self._restarts:
            return 1.0 if self.bets == 0 else 0.0
        if self.bets % START_EVERY:
            return 0.0
        return get_start_weight(self.bets // START_EVERY + 1)


class FailureTest:
    """Tests whether failures fall on the new version more than its share.

    Requests are assigned at random, so a failure belongs to the new version
    with at most the share's probability while it fails no more often than
    the old one. The test needs no failure rate: an upstream or zone that
    fails for both versions is no evidence, and three crashes at a share of
    5% are enough.

    Args:
        tolerated: Relative risk of the new version that is no fault.
    """

    def __init__(self, tolerated: float) -> None:
        self._tolerated = tolerated
        self._wealth = [0.0] * len(RELATIVE_RISKS)
        self._failures = 0

    def add(self, is_new: bool, share: float) -> None:
        """Takes one failure.

        Args:
            is_new: Whether the new version failed.
            share: Chance that the request had of going to the new version.
        """
        if not 0.0 < share < 1.0:
            return
        self._failures += 1
        start = get_start_weight(self._failures)
        null = _get_chance(share, self._tolerated)
        for index, risk in enumerate(RELATIVE_RISKS):
            chance = _get_chance(share, risk)
            if is_new:
                factor = chance / null
            else:
                factor = (1.0 - chance) / (1.0 - null)
            wealth = (self._wealth[index] + start) * factor
            self._wealth[index] = min(MAX_WEALTH, wealth)

    def get_wealth(self) -> float:
        """Wealth; 1 or less is no evidence."""
        if self._failures == 0:
            return 1.0
        return sum(self._wealth) / len(RELATIVE_RISKS)


def _get_chance(share: float, risk: float) -> float:
    """Chance that a failure is the new version's, at a relative risk."""
    return risk * share / (risk * share + 1.0 - share)
