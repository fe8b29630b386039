"""What is known of a bearer of blame for crashes: a request, or a part.

The records are pure: they read no clock and open no socket.
"""

from __future__ import annotations

import dataclasses

from lovagestage.types import Fingerprint, PartId

STRIKES_TO_PROBE = 2
"""Number of strikes from which a request or a part runs only as a probe."""
SUSPECT_RETENTION_S = 600.0
"""Seconds after its last report for which a suspect is retained."""
CONVICTION_RETENTION_S = 3_600.0
"""Seconds for which a conviction is retained."""
PROBE_TIMEOUT_S = 30.0
"""Seconds after which a new probe may start if the end of the last probe was
not reported, because the entry that made it has ended."""
CLAIM_SETTLE_S = 0.1
"""Seconds from the claim of a probe to its start. Claims of other entries that
are made at the same moment arrive within this time, and one of them wins."""
MAX_REMEMBERED = 64
"""Maximum number of ended runs, and of strikes that were taken back, which are
remembered of a suspect, so that late reports of them change nothing."""
MAX_REQUESTS_PER_STRIKE = 8
"""Maximum number of requests that are remembered of one crash of a part."""


@dataclasses.dataclass
class Suspect:
    """What is known of one request, or of one part of prompts.

    Attributes:
        strikes: The upstream processes that crashed with it in flight, in the
            order of the reports, and the requests that bore it there.
        parts: Suspected parts that a request held at such a crash, by upstream
            process; empty for a part.
        probe_strikes: Those that crashed while it ran as a probe.
        taken_back: Strikes that an answer has taken back.
        checks: Upstream process by run, for runs that were lost at this entry
            and of which it is not known yet whether the upstream has crashed.
        ended: Runs that have ended.
        probes: Runs that were its probe, and the parts that each one claimed.
        probe: The run that probes it; empty without one.
        probe_from_s: Monotonic time in seconds of the probe's claim.
        expires_s: Monotonic time in seconds until which this is retained.
    """

    strikes: dict[str, set[Fingerprint]] = dataclasses.field(
        default_factory=dict
    )
    parts: dict[str, tuple[PartId, ...]] = dataclasses.field(
        default_factory=dict
    )
    probe_strikes: set[str] = dataclasses.field(default_factory=set)
    taken_back: dict[str, None] = dataclasses.field(default_factory=dict)
    checks: dict[str, str] = dataclasses.field(default_factory=dict)
    ended: dict[str, None] = dataclasses.field(default_factory=dict)
    probes: dict[str, tuple[PartId, ...]] = dataclasses.field(
        default_factory=dict
    )
    probe: str = ""
    probe_from_s: float = 0.0
    expires_s: float = 0.0

    def has_probe(self, now_s: float) -> bool:
        """Returns whether a probe is running or claimed."""
        return bool(self.probe) and now_s < self.probe_from_s + PROBE_TIMEOUT_S

    def claim_probe(
        self, run: str, now_s: float, parts: tuple[PartId, ...] = ()
    ) -> None:
        """Records the claim of a probe, unless another one precedes it."""
        if run in self.ended or run == self.probe:
            return
        if self.has_probe(now_s):
            is_settled = now_s - self.probe_from_s >= CLAIM_SETTLE_S
            if is_settled or self.probe < run:
                return
            self.probes.pop(self.probe, None)
        self.probes[run] = parts
        _drop_oldest(self.probes)
        self.probe, self.probe_from_s = run, now_s

    def end_run(self, run: str) -> None:
        """Records that a run has ended."""
        _remember(self.ended, run)
        self.checks.pop(run, None)
        if self.probe == run:
            self.probe = ""

    def add_strike(
        self,
        upstream: str,
        request: Fingerprint,
        is_probe: bool = False,
        parts: tuple[PartId, ...] = (),
    ) -> None:
        """Adds a strike that was not taken back before.

        Args:
            upstream: The upstream process that crashed.
            request: The request that was in flight there.
            is_probe: Whether it ran as a probe.
            parts: Parts that the request held and that were not cleared.
        """
        if upstream in self.taken_back:
            return
        requests = self.strikes.setdefault(upstream, set())
        if len(requests) < MAX_REQUESTS_PER_STRIKE:
            requests.add(request)
        if len(parts) > len(self.parts.get(upstream, ())):
            self.parts[upstream] = parts
        if is_probe:
            self.probe_strikes.add(upstream)

    def take_back_strikes(self) -> None:
        """Takes back all strikes but the newest, or a single one.

        The newest is kept for a request that is answered between two crashes.
        """
        names = list(self.strikes)
        for upstream in names[:-1] or names:
            del self.strikes[upstream]
            self.parts.pop(upstream, None)
            self.probe_strikes.discard(upstream)
            _remember(self.taken_back, upstream)


def _remember(names: dict[str, None], name: str) -> None:
    names[name] = None
    _drop_oldest(names)


def _drop_oldest(
    names: dict[str, None] | dict[str, tuple[PartId, ...]],
) -> None:
    while len(names) > MAX_REMEMBERED:
        del names[next(iter(names))]
