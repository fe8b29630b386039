"""Applies records of the store to the gateway's state view."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable
from typing import Protocol

from lovagestage.decisions.positions import (
    START,
    format_position,
    is_overtaken,
)
from lovagestage.exceptions import CodecError
from lovagestage.gateway.clocks import get_elapsed_s
from lovagestage.gateway.deployment import Deployment
from lovagestage.gateway.rollouts import RolloutOrder
from lovagestage.gateway.upstream import UpstreamEntry
from lovagestage.platform.configuration import (
    CONFIG_KEY,
    decode_configuration,
    decode_order,
    decode_upstream,
    parse_evacuation_key,
    parse_order_key,
)
from lovagestage.platform.records import Page, Record
from lovagestage.types import InstanceId, Position, ZoneId

_log = logging.getLogger(__name__)

STORE_OUTAGE_MEMORY_S = 2.0
"""Time in seconds after an outage of the store during which the removal of an
entry is treated as an expiry: upstreams whose entries expired while the store
was unavailable write them again within about this time."""

MAX_REFUSED_KEYS = 256
"""Maximum number of keys whose refused entries are remembered, so that each
refusal is logged once."""


class OperatorStateView:
    """Applies configurations, roll-out orders and evacuations of zones.

    Args:
        deployment: The state that the records are applied to.
        on_order: Called with each new roll-out order and its position.
        on_configuration: Called with the version and the bytes of each
            configuration.
    """

    def __init__(
        self,
        deployment: Deployment,
        on_order: Callable[[RolloutOrder, Position], None],
        on_configuration: Callable[[int, bytes], None] = lambda *_: None,
    ) -> None:
        self._deployment = deployment
        self._on_order = on_order
        self._on_configuration = on_configuration

    def on_newest(self, page: Page) -> None:
        """Applies the newest record of each key.

        An evacuation without a record in the list has ended.
        """
        self.on_records(page)
        evacuated = {
            zone: record.position
            for record in page.records
            if (zone := parse_evacuation_key(record.key)) is not None
        }
        changes = self._deployment.evacuations.replace_all(evacuated, page.end)
        for zone, is_evacuated in changes.items():
            self._on_evacuation_changed(zone, is_evacuated, page.end)

    def on_copy(self, page: Page) -> None:
        """Applies what the store lists after it came back from a copy.

        An evacuation that it does not list stays in force, and a record that
        may be the predecessor of a known one is not applied.
        """
        self.on_records(
            Page(
                tuple(r for r in page.records if not self._is_overtaken(r)),
                page.end,
            )
        )

    def on_era_changed(self) -> None:
        """Does nothing: the store's list follows."""

    def on_records(self, page: Page) -> None:
        """Applies records in order; logs a record that cannot be decoded."""
        for record in page.records:
            try:
                self._apply(record)
            except CodecError as error:
                _log.error(
                    "operator_record_refused",
                    extra={"key": record.key, "error": error.message},
                )

    def on_freshness_confirmed(self, at_s: float) -> None:
        """Records a freshness check of the configuration.

        Args:
            at_s: Elapsed time in seconds at which no newer configuration
                existed.
        """
        self._deployment.freshness.record_confirmation(at_s)

    def on_update_available(self, at_s: float) -> None:
        """Records an update notification: a newer configuration exists.

        The configuration in force counts as superseded if the newer one takes
        too long to arrive.

        Args:
            at_s: Elapsed time in seconds of the notification.
        """
        self._deployment.freshness.record_update_notification(at_s)

    def _is_overtaken(self, record: Record) -> bool:
        known = START
        if (zone := parse_evacuation_key(record.key)) is not None:
            known = self._deployment.evacuations.get_position(zone)
        elif (service := parse_order_key(record.key)) is not None:
            rollout = self._deployment.rollouts.get(service)
            known = START if rollout is None else rollout.position
        return is_overtaken(record.position, known)

    def _apply(self, record: Record) -> None:
        zone = parse_evacuation_key(record.key)
        if zone is not None:
            self._apply_evacuation(zone, record)
            return
        if record.value is None:
            return
        if record.key == CONFIG_KEY:
            configuration = decode_configuration(record.value)
            self._deployment.apply_configuration(configuration)
            self._on_configuration(configuration.version, record.value)
        elif parse_order_key(record.key) is not None:
            self._apply_order(record)

    def _apply_evacuation(self, zone: ZoneId, record: Record) -> None:
        is_evacuated = record.value is not None
        if self._deployment.evacuations.apply_record(
            zone, record.position, is_evacuated
        ):
            self._on_evacuation_changed(zone, is_evacuated, record.position)

    def _on_evacuation_changed(
        self, zone: ZoneId, is_evacuated: bool, position: Position
    ) -> None:
        if is_evacuated:
            _log.info(
                "zone_evacuated",
                extra={"zone": zone, "position": format_position(position)},
            )
            return
        _log.info(
            "zone_given_back",
            extra={"zone": zone, "position": format_position(position)},
        )
        self._deployment.mark_zone_restored(zone, get_elapsed_s())

    def _apply_order(self, record: Record) -> None:
        assert record.value is not None
        order = decode_order(record.value)
        known = self._deployment.rollouts.get(order.service)
        if known is not None and known.position >= record.position:
            return
        if known is not None and known.is_repeated_by(
            order, record.position, get_elapsed_s()
        ):
            known.move(record.position, get_elapsed_s())
            return
        _log.info(
            "rollout_ordered",
            extra={
                "service": order.service,
                "version": order.version,
                "duration_s": order.duration_s,
                "position": format_position(record.position),
            },
        )
        self._on_order(order, record.position)


class EntrySource(Protocol):
    """The feed from which the upstreams' entries are read."""

    def get_last_failure_age_s(self, now_s: float) -> float | None:
        """Returns the seconds since the store last failed to answer, or None.

        None means that the store has never failed.
        """


class UpstreamStateView:
    """Applies the upstreams' entries to the rotation.

    Args:
        deployment: The state that the entries are applied to.
    """

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self._source: EntrySource | None = None
        self._refused: dict[InstanceId, str] = {}

    def set_source(self, source: EntrySource) -> None:
        """Sets the feed that reads the entries; called once."""
        self._source = source

    def on_newest(self, page: Page) -> None:
        """Applies the newest entry of each upstream; others were removed."""
        now_s = get_elapsed_s()
        entries = [
            (name, entry, position)
            for name, entry, position in self._decode(page.records)
            if entry is not None
        ]
        self._deployment.rotation.replace_all(
            entries, page.end, now_s, self._was_store_unavailable(now_s)
        )

    def on_copy(self, page: Page) -> None:
        """Applies the entries that the store lists after it came back.

        Upstreams that it does not list are used until they have had time to
        write their entries again.
        """
        self.on_records(page)

    def on_era_changed(self) -> None:
        """Does nothing: the store's list follows."""

    def on_records(self, page: Page) -> None:
        """Applies entries and removals in order."""
        now_s = get_elapsed_s()
        rotation, was_store_unavailable = (
            self._deployment.rotation,
            self._was_store_unavailable(now_s),
        )
        for name, entry, position in self._decode(page.records):
            rotation.apply(name, entry, position, now_s, was_store_unavailable)

    def on_freshness_confirmed(self, at_s: float) -> None:
        """Ignores freshness checks, which matter only to configurations."""

    def on_update_available(self, at_s: float) -> None:
        """Ignores update notifications, which matter only to configurations."""

    def _was_store_unavailable(self, now_s: float) -> bool:
        assert self._source is not None
        age_s = self._source.get_last_failure_age_s(now_s)
        return age_s is not None and age_s < STORE_OUTAGE_MEMORY_S

    def _decode(
        self, records: Iterable[Record]
    ) -> Iterable[tuple[InstanceId, UpstreamEntry | None, Position]]:
        for record in records:
            name = InstanceId(record.key)
            entry = None
            if record.value is not None:
                try:
                    entry = decode_upstream(record.value)
                except CodecError as error:
                    self._log_refused_entry(
                        name, error.message, record.position
                    )
            yield name, entry, record.position

    def _log_refused_entry(
        self, name: InstanceId, reason: str, position: Position
    ) -> None:
        """Logs an entry that cannot be decoded, once for each key and reason.

        The upstream counts as removed: its previous entry has been
        overwritten, and an upstream that is running writes a valid entry with
        its next heartbeat.
        """
        if self._refused.get(name) == reason:
            return
        while len(self._refused) >= MAX_REFUSED_KEYS:
            del self._refused[next(iter(self._refused))]
        self._refused[name] = reason
        _log.error(
            "upstream_record_refused",
            extra={
                "upstream": name,
                "error": reason,
                "position": format_position(position),
            },
        )
