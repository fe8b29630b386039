"""Which version the sessions of this gateway were last answered by."""

from __future__ import annotations

import collections

from lovagestage.types import ServiceId, VersionId

MARGIN_S = 0.5
"""Added to the time within which a session's requests follow each other: it
counts from one request's end, and is kept here from its start."""
MAX_SESSIONS = 20_000
"""Sessions kept; the one used longest ago goes first."""

_Key = tuple[ServiceId, str]


class SessionPins:
    """Remembers sessions for as long as they last.

    Args:
        session_s: Requests of a session follow each other within this.
    """

    def __init__(self, session_s: float) -> None:
        self.session_s = session_s
        self._pins: collections.OrderedDict[
            _Key, tuple[VersionId | None, float]
        ] = collections.OrderedDict()

    def __len__(self) -> int:
        return len(self._pins)

    def is_pinned_off(
        self,
        service: ServiceId,
        session: str,
        version: VersionId,
        now_s: float,
    ) -> bool:
        """Whether the session is going on and not on a version."""
        pin = self._pins.get((service, session))
        if pin is None:
            return False
        last, at_s = pin
        return last != version and now_s - at_s < self.session_s + MARGIN_S

    def note(
        self,
        service: ServiceId,
        session: str,
        version: VersionId | None,
        now_s: float,
    ) -> None:
        """Takes that the session has a request on a version."""
        key = (service, session)
        self._pins[key] = (version, now_s)
        self._pins.move_to_end(key)
        while len(self._pins) > MAX_SESSIONS:
            self._pins.popitem(last=False)

    def get_going_on(
        self, service: ServiceId, version: VersionId, now_s: float
    ) -> list[str]:
        """Sessions of a service that are going on and not on a version."""
        return [
            session
            for known, session in self._pins
            if known == service
            and self.is_pinned_off(service, session, version, now_s)
        ]

    def expire(self, now_s: float) -> None:
        """Forgets sessions that are over."""
        limit_s = now_s - self.session_s - MARGIN_S
        while self._pins:
            key, (_, at_s) = next(iter(self._pins.items()))
            if at_s >= limit_s:
                return
            del self._pins[key]
