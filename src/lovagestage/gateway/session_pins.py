"""The versions by which this gateway's sessions were last answered."""

from __future__ import annotations

import collections

from lovagestage.types import ServiceId, VersionId

SESSION_MARGIN_S = 0.5
"""Time in seconds that is added to a session's timeout: the timeout counts
from the end of a request, while this gateway stores the request's start."""
MAX_SESSIONS = 20_000
"""Maximum number of stored sessions; the least recently used is evicted first.
"""

_SessionKey = tuple[ServiceId, str]


class SessionPins:
    """Stores the version of each session until the session expires.

    Args:
        session_s: Longest time in seconds between two requests of a session.
    """

    def __init__(self, session_s: float) -> None:
        self.session_s = session_s
        self._pins: collections.OrderedDict[
            _SessionKey, tuple[VersionId | None, float]
        ] = collections.OrderedDict()

    def __len__(self) -> int:
        return len(self._pins)

    def is_pinned_elsewhere(
        self,
        service: ServiceId,
        session: str,
        version: VersionId,
        now_s: float,
    ) -> bool:
        """Returns whether an active session was last on another version.

        Args:
            service: The service.
            session: The session.
            version: The version that the session's last one is compared with.
            now_s: Elapsed time in seconds.
        """
        pin = self._pins.get((service, session))
        if pin is None:
            return False
        last_version, started_s = pin
        return (
            last_version != version
            and now_s - started_s < self.session_s + SESSION_MARGIN_S
        )

    def record_request(
        self,
        service: ServiceId,
        session: str,
        version: VersionId | None,
        now_s: float,
    ) -> None:
        """Records that the session has a request on a version."""
        key = (service, session)
        self._pins[key] = (version, now_s)
        self._pins.move_to_end(key)
        while len(self._pins) > MAX_SESSIONS:
            self._pins.popitem(last=False)

    def get_active_elsewhere(
        self, service: ServiceId, version: VersionId, now_s: float
    ) -> list[str]:
        """Returns active sessions that were last on another version.

        Args:
            service: Service of the sessions.
            version: The version that each session's last one is compared with.
            now_s: Elapsed time in seconds.
        """
        return [
            session
            for pinned_service, session in self._pins
            if pinned_service == service
            and self.is_pinned_elsewhere(service, session, version, now_s)
        ]

    def expire(self, now_s: float) -> None:
        """Removes sessions that have expired."""
        limit_s = now_s - self.session_s - SESSION_MARGIN_S
        while self._pins:
            key, (_, started_s) = next(iter(self._pins.items()))
            if started_s >= limit_s:
                return
            del self._pins[key]
