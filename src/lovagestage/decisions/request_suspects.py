"""Keeps what is known of requests that were in flight at a crash.

The decisions are pure: they read no clock and open no socket.
"""

from __future__ import annotations

from collections.abc import Collection, Iterator

from lovagestage.decisions.crash_records import SUSPECT_RETENTION_S, Suspect
from lovagestage.types import Fingerprint

MAX_SUSPECTS = 10_000
"""Maximum number of suspected requests in the table of one entry."""


class RequestSuspects:
    """Suspected requests of one entry.

    It is bounded. At the limit it drops the suspect that expires first, and
    those that crashed a probe's upstream only if there are no others.

    Attributes:
        probe_crashers: Requests that crashed the upstream of a probe.
    """

    def __init__(self) -> None:
        self._suspects: dict[Fingerprint, Suspect] = {}
        self.probe_crashers: set[Fingerprint] = set()

    def __len__(self) -> int:
        return len(self._suspects)

    def __iter__(self) -> Iterator[Fingerprint]:
        return iter(self._suspects)

    def peek(self, fingerprint: Fingerprint) -> Suspect | None:
        """Returns what is known of a request, even if it has expired."""
        return self._suspects.get(fingerprint)

    def get(self, fingerprint: Fingerprint, now_s: float) -> Suspect | None:
        """Returns what is known of a request; None if it is no suspect."""
        suspect = self._suspects.get(fingerprint)
        if suspect is not None and suspect.expires_s <= now_s:
            self._drop(fingerprint)
            return None
        return suspect

    def get_or_add(self, fingerprint: Fingerprint, now_s: float) -> Suspect:
        """Returns what is known of a request, which is a suspect from now."""
        suspect = self.get(fingerprint, now_s)
        if suspect is not None:
            return suspect
        if len(self._suspects) >= MAX_SUSPECTS:
            self._drop(
                min(
                    self._suspects,
                    key=lambda candidate: (
                        candidate in self.probe_crashers,
                        self._suspects[candidate].expires_s,
                    ),
                )
            )
        self._suspects[fingerprint] = Suspect(
            expires_s=now_s + SUSPECT_RETENTION_S
        )
        return self._suspects[fingerprint]

    def get_upstreams(self, fingerprint: Fingerprint) -> Collection[str]:
        """Returns the upstreams that crashed with a request in flight."""
        suspect = self._suspects.get(fingerprint)
        return () if suspect is None else suspect.strikes.keys()

    def get_explained(self, suspect: Suspect) -> set[str]:
        """Returns the strikes that other, convicted requests explain."""
        explained: set[str] = set()
        if not suspect.probe_strikes:
            return explained
        for fingerprint in self.probe_crashers:
            other = self._suspects[fingerprint]
            # With as many strikes either may be guilty. The request that causes
            # the crashes is in flight at each of them.
            if len(other.strikes) > len(suspect.strikes):
                explained |= suspect.strikes.keys() & other.strikes.keys()
        return explained

    def _drop(self, fingerprint: Fingerprint) -> None:
        del self._suspects[fingerprint]
        self.probe_crashers.discard(fingerprint)
