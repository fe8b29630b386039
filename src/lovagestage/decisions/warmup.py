"""How many requests a gateway sends to an upstream that is cold: pure.

The load that this answers: upstreams start, or come back after an outage, and
have nothing waiting, so every gateway prefers them. For some seconds they
bear few requests, and a crowd fells them again. What they bear is a rate over
all gateways, which cannot ask each other for every request: those who deal
for an upstream are chosen by hash and each has a part of its rate.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Collection
from typing import Protocol

import xxhash

from lovagestage.types import InstanceId, ZoneId

DEALERS = 3
"""Gateways that send to one cold upstream: one that is down or idle leaves
most of the rate to use. Each has a third of it, so that the rule, which allows
over half as much again, still holds while twice as many take themselves for
one of them."""
UNKNOWN_GATEWAYS = 32
"""Gateways that are reckoned with where they can't hear of each other."""
SECOND_S = 1.0
"""The rate counts over any second."""
KEEP_S = 100.0
"""What was sent is remembered for so long: any span of a pace."""
MAX_SENT = 256
"""And so much of it: more than any pace lets one gateway send in its span."""


@dataclasses.dataclass(frozen=True)
class Warmup:
    """What a service's upstreams bear after their start.

    Attributes:
        duration_s: Time for which one is cold.
        per_s: Requests in a second that a cold one bears, of all gateways.
    """

    duration_s: float
    per_s: float


@dataclasses.dataclass(frozen=True)
class Pace:
    """Most requests in any span of a length.

    Attributes:
        requests: The requests; 0 for none at any time.
        span_s: The length.
    """

    requests: int
    span_s: float = SECOND_S


NOTHING = Pace(0)


@dataclasses.dataclass(frozen=True)
class Gateways:
    """The gateways as one of them knows them.

    Attributes:
        own: Its name.
        zone: Its availability zone.
        neighbours: Names of the others in that zone; None where gateways
            can't hear of each other.
        is_settled: Whether it has been there for long enough to have heard
            of the others, and they of it.
    """

    own: str
    zone: ZoneId
    neighbours: Collection[str] | None
    is_settled: bool


class WarmupPolicy(Protocol):
    """How gateways share the rate of a cold upstream."""

    def get_pace(
        self,
        gateways: Gateways,
        upstream: InstanceId,
        zone: ZoneId,
        per_s: float,
    ) -> Pace:
        """What the gateway may send to a cold upstream.

        Args:
            gateways: The gateways as it knows them.
            upstream: The upstream.
            zone: The upstream's availability zone.
            per_s: What the upstream bears of all gateways.
        """


class ZoneDealers:
    """A few gateways of the upstream's availability zone send to it.

    Gateways of a zone hear of each other several times a second, those of
    different zones once a minute: within a zone they agree on who deals.
    """

    def get_pace(
        self,
        gateways: Gateways,
        upstream: InstanceId,
        zone: ZoneId,
        per_s: float,
    ) -> Pace:
        """What the gateway may send to a cold upstream."""
        if gateways.neighbours is None:
            return make_pace(per_s / UNKNOWN_GATEWAYS)
        if zone != gateways.zone or not gateways.is_settled:
            return NOTHING
        ranked = sorted(
            (gateways.own, *gateways.neighbours),
            key=lambda name: xxhash.xxh3_64_intdigest(
                f"{upstream}/{name}".encode()
            ),
        )
        dealers = ranked[: min(DEALERS, max(1, int(per_s)))]
        if gateways.own not in dealers:
            return NOTHING
        return make_pace(per_s / len(dealers))


def make_pace(per_s: float) -> Pace:
    """What a rate allows, in whole requests."""
    if per_s <= 0.0:
        return NOTHING
    if per_s < 1.0:
        return Pace(1, SECOND_S / per_s)
    return Pace(int(per_s))


class WarmupLog:
    """How cold an upstream may be, and what this gateway sent to it lately.

    All that was sent counts, also before it was known to be cold. A request
    counts from the time at which it is placed until so long after it was sent.
    """

    def __init__(self) -> None:
        self._until_s = 0.0
        self._placed = 0
        self._sent_s: list[float] = []

    def note_left(self, left_s: float, now_s: float) -> bool:
        """Takes that the upstream stays cold for so long.

        An earlier word that it stays cold for longer holds: what is told
        late may be of before it became cold.

        Returns:
            Whether it was not known to be cold.
        """
        was_cold = self.is_cold(now_s)
        self._until_s = max(self._until_s, now_s + left_s)
        return not was_cold and self.is_cold(now_s)

    def is_cold(self, now_s: float) -> bool:
        """Whether it may be cold."""
        return now_s < self._until_s

    def has_room(self, pace: Pace, now_s: float) -> bool:
        """Whether one more request keeps within a pace."""
        first_s = now_s - pace.span_s
        recent = sum(sent_s > first_s for sent_s in self._sent_s)
        return self._placed + recent < pace.requests

    def note_placed(self) -> None:
        """Counts a request that will be sent, or is withdrawn."""
        self._placed += 1

    def note_withdrawn(self) -> None:
        """Uncounts one that was placed and not sent."""
        self._placed -= 1

    def note_sent(self, now_s: float) -> None:
        """Counts a request that is being sent."""
        self._placed -= 1
        self._sent_s.append(now_s)
        if (
            self._sent_s[0] < now_s - KEEP_S
            or len(self._sent_s) >= 2 * MAX_SENT
        ):
            first_s = now_s - KEEP_S
            kept = [sent_s for sent_s in self._sent_s if sent_s >= first_s]
            self._sent_s = kept[-MAX_SENT:]
