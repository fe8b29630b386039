"""Sequential tests that stay valid under any number of looks at the data.

Each test has a wealth that no betting strategy can expect to increase while the
null hypothesis is true. By Ville's inequality, the wealth then ever reaches `1
/ alpha` with probability at most `alpha` (Howard, Ramdas, McAuliffe and Sekhon
2021; Johari et al. 2022 on peeking; Waudby-Smith and Ramdas 2024 on betting).

A version may also degrade late. The wealth is therefore a mixture over the time
at which betting starts (Shin, Ramdas and Rinaldo 2023). The part of the capital
that has not started to bet is unaffected by early good observations, so the
losses of these do not have to be recovered before later bad observations count.
"""

from __future__ import annotations

import collections
import enum
import math

MAX_WEALTH = 1e12
"""Upper limit that keeps wealth finite; reducing wealth never makes a test less
valid."""
FIRST_START_WEIGHT = 0.5
"""Fraction of the capital that bets from the first observation."""
LATE_START_NORM = 2.12
"""Upper bound of the sum over t >= 2 of 1 / (t ln(t)^2)."""
BETS = (0.1, 0.35, 0.9)
"""Fractions of the largest stake that are bet in parallel; a small bet detects
a small drop."""
MAX_UNPAIRED = 512
"""Maximum number of observations that wait for a bet; older ones are
dropped."""
MAX_IN_BET = 8
"""Maximum number of observations of one version in one bet."""
MIN_LOSS = 0.05
"""Lower limit of the assumed loss; it keeps stakes finite if scores are close
to 0 or 1."""
NEW_RATIO_GAIN = 0.02
"""Gain of the exponential average of the fraction of arrivals that are new."""
OLD_MEAN_INITIAL_COUNT = 10
"""Number of observations of the old version that only initialise the estimate
of its mean."""
OLD_MEAN_GAIN = 0.02
"""Gain of the exponential average of the old version's mean; it lets the
average follow the drift over a day."""
BETS_PER_START = 16
"""Number of bets between two late starts; with fewer starts each has a larger
weight."""
RELATIVE_RISKS = (3.0, 15.0, 200.0)
"""Alternative hypotheses: how many times as often the new version fails."""

_Queue = collections.deque[float]


def get_start_weight(count: int) -> float:
    """Returns the part of the capital that starts at one observation.

    Args:
        count: Number of the observation, from 1.
    """
    if count == 1:
        return FIRST_START_WEIGHT
    late = count * math.log(count) ** 2 * LATE_START_NORM
    return (1.0 - FIRST_START_WEIGHT) / late


class Direction(enum.Enum):
    """Side of the margin for which a test looks for evidence."""

    ABOVE = 1
    """The mean difference is above the margin."""
    BELOW = -1
    """The mean difference is below the margin."""


class PairedTest:
    """Tests the mean of old minus new observations against a margin.

    One bet uses p new and k old observations that no earlier bet has used and
    that are of about the same time: an hour of harder requests lowers the
    scores of both versions and is no evidence. With m the margin, g an estimate
    of the old mean made before the bet and s the stake, the capital is
    multiplied by each 1 + s/p (g - m - new) and each 1 + s/k (old - g). If the
    new mean is at least the old mean less m, the expectation is at most (1 +
    sa/p)^p (1 - sa/k)^k <= exp(sa - sa) = 1, where a is the error of the
    estimate: a wrong estimate reduces the power of the test, never its
    validity. Unlike a bet on the plain difference, this lets the stake grow
    until a single perfect score would lose all of the capital, which is a far
    larger stake if scores are high.

    The number of observations in a bet depends on the order of their arrival
    alone, never on their values.

    Args:
        margin: Difference of means that separates the two hypotheses.
        direction: Side of the margin for which the test looks for evidence.
        restarts: Whether betting may also start late.
    """

    def __init__(
        self, margin: float, direction: Direction, restarts: bool
    ) -> None:
        self._margin = margin
        self._direction = direction
        self._may_restart = restarts
        self._wealth = [0.0] * len(BETS)
        self._old: _Queue = collections.deque(maxlen=MAX_UNPAIRED)
        self._new: _Queue = collections.deque(maxlen=MAX_UNPAIRED)
        self._new_ratio = 0.5
        self._old_mean = 0.0
        self._old_mean_count = 0
        self.bets = 0

    def add(self, is_new: bool, value: float) -> None:
        """Adds one observation between 0 and 1."""
        self._new_ratio += (is_new - self._new_ratio) * NEW_RATIO_GAIN
        if not is_new and self._old_mean_count < OLD_MEAN_INITIAL_COUNT:
            self._update_old_mean(value)
            return
        (self._new if is_new else self._old).append(value)
        old_size, new_size = self._get_bet_sizes()
        if len(self._old) >= old_size and len(self._new) >= new_size:
            self._place_bet(old_size, new_size)

    def get_wealth(self) -> float:
        """Returns the wealth; a wealth of 1 or less is no evidence."""
        if self.bets == 0:
            return 1.0
        return sum(self._wealth) / len(BETS)

    def _get_bet_sizes(self) -> tuple[int, int]:
        odds = self._new_ratio / max(1.0 - self._new_ratio, 1e-6)
        old_size = min(MAX_IN_BET, max(1, int(1.0 / max(odds, 1e-6))))
        new_size = min(MAX_IN_BET, max(1, int(odds)))
        return old_size, new_size

    def _place_bet(self, old_size: int, new_size: int) -> None:
        old = [self._old.popleft() for _ in range(old_size)]
        new = [self._new.popleft() for _ in range(new_size)]
        sign = self._direction.value
        max_stake = self._get_max_stake(old_size, new_size)
        starting_capital = self._get_starting_capital()
        self.bets += 1
        for index, bet in enumerate(BETS):
            stake = sign * bet * max_stake
            factor = 1.0
            for value in new:
                gain = self._old_mean - self._margin - value
                factor *= 1.0 + stake / new_size * gain
            for value in old:
                factor *= 1.0 + stake / old_size * (value - self._old_mean)
            wealth = (self._wealth[index] + starting_capital) * factor
            self._wealth[index] = min(MAX_WEALTH, wealth)
        for value in old:
            self._update_old_mean(value)

    def _get_max_stake(self, old_size: int, new_size: int) -> float:
        """Returns the largest stake that loses no more than the capital."""
        expected_new = self._old_mean - self._margin
        if self._direction is Direction.ABOVE:
            new_loss, old_loss = 1.0 - expected_new, self._old_mean
        else:
            new_loss, old_loss = expected_new, 1.0 - self._old_mean
        return min(
            new_size / max(new_loss, MIN_LOSS),
            old_size / max(old_loss, MIN_LOSS),
        )

    def _update_old_mean(self, value: float) -> None:
        self._old_mean_count += 1
        gain = max(OLD_MEAN_GAIN, 1.0 / self._old_mean_count)
        self._old_mean += (value - self._old_mean) * gain

    def _get_starting_capital(self) -> float:
        if not self._may_restart:
            return 1.0 if self.bets == 0 else 0.0
        if self.bets % BETS_PER_START:
            return 0.0
        return get_start_weight(self.bets // BETS_PER_START + 1)


class FailureTest:
    """Tests whether the new version has more than its share of the failures.

    Requests are assigned at random. While the new version fails no more often
    than the old one, a failure therefore belongs to the new version with at
    most the probability of the share. The test needs no failure rate: an
    upstream or zone that fails for both versions is no evidence, and three
    crashes at a share of 5% are enough.

    Args:
        tolerated_risk: Relative risk of the new version that counts as no
            fault.
    """

    def __init__(self, tolerated_risk: float) -> None:
        self._tolerated_risk = tolerated_risk
        self._wealth = [0.0] * len(RELATIVE_RISKS)
        self._failure_count = 0

    def add(self, is_new: bool, share: float) -> None:
        """Adds one failure.

        Args:
            is_new: Whether the new version failed.
            share: Probability with which the request was assigned to the new
                version.
        """
        if not 0.0 < share < 1.0:
            return
        self._failure_count += 1
        starting_capital = get_start_weight(self._failure_count)
        null_probability = _get_new_probability(share, self._tolerated_risk)
        for index, risk in enumerate(RELATIVE_RISKS):
            probability = _get_new_probability(share, risk)
            if is_new:
                factor = probability / null_probability
            else:
                factor = (1.0 - probability) / (1.0 - null_probability)
            wealth = (self._wealth[index] + starting_capital) * factor
            self._wealth[index] = min(MAX_WEALTH, wealth)

    def get_wealth(self) -> float:
        """Returns the wealth; a wealth of 1 or less is no evidence."""
        if self._failure_count == 0:
            return 1.0
        return sum(self._wealth) / len(RELATIVE_RISKS)


def _get_new_probability(share: float, risk: float) -> float:
    """Returns the probability that a failure is of the new version.

    Args:
        share: Probability of assignment to the new version.
        risk: Relative risk of failure of the new version.
    """
    return risk * share / (risk * share + 1.0 - share)
