"""Freshness of the configuration: how long it counts as the current one."""

from __future__ import annotations

FRESHNESS_MARGIN_S = 0.25
"""Time in seconds by which freshness ends before its limit: a request that is
admitted at the last moment still has to be sent, on a VM that may be slow."""
NOTIFICATION_LIFETIME_S = 3.0
"""Time in seconds for which a newer configuration is assumed to be readable
after its last update notification: two reads that fail, with the pauses after
them."""


class ConfigurationFreshness:
    """Age of the last check that no newer configuration existed.

    A freshness check counts from a moment at which the store certainly had
    nothing newer: when a read was sent, or when the wait of an answered long
    poll was over. A poll without an answer is no such check, however recent it
    is.

    Args:
        limit_s: Longest time in seconds for which a revoked API key may still
            be accepted.
        apply_s: Time in seconds within which a new configuration must be in
            force.
    """

    def __init__(self, limit_s: float, apply_s: float) -> None:
        self.limit_s = limit_s
        self.apply_s = apply_s
        self._checked_s: float | None = None
        self._notified_s: float | None = None

    def record_confirmation(self, at_s: float) -> None:
        """Records a freshness check; it cancels earlier update notifications.

        Args:
            at_s: Elapsed time in seconds at which the configuration was
                current.
        """
        self._notified_s = None
        if self._checked_s is None or at_s > self._checked_s:
            self._checked_s = at_s

    def record_update_notification(self, at_s: float) -> None:
        """Records an update notification: a newer configuration exists.

        Args:
            at_s: Elapsed time in seconds of the notification.
        """
        self._notified_s = at_s

    def is_superseded(self, now_s: float) -> bool:
        """Returns whether a newer configuration must be in force by now.

        The newer configuration may be large and arrive slowly; with the old
        one in force, callers would use routes that have been removed. The
        newer one was written after the last freshness check, so no caller is
        refused before it must be in force. While the store is unavailable
        there are no update notifications, and requests to public routes are
        still served.
        """
        age_s = self.get_age_s(now_s)
        is_notified = (
            self._notified_s is not None
            and now_s - self._notified_s < NOTIFICATION_LIFETIME_S
        )
        return is_notified and (
            age_s is None or age_s >= self.apply_s - FRESHNESS_MARGIN_S
        )

    def get_age_s(self, now_s: float) -> float | None:
        """Returns the age of the last freshness check; None without one."""
        return None if self._checked_s is None else now_s - self._checked_s

    def is_fresh(self, now_s: float) -> bool:
        """Returns whether API keys of the configuration may be accepted."""
        age_s = self.get_age_s(now_s)
        return age_s is not None and age_s < self.limit_s - FRESHNESS_MARGIN_S
