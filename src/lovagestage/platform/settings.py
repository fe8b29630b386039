"""Reads the settings file that the platform writes for each process."""

from __future__ import annotations

import math
import pathlib
from collections.abc import Mapping

from lovagestage.exceptions import SettingsError
from lovagestage.gateway.settings import (
    DEFAULT_HEARTBEAT_S,
    Bounds,
    GatewaySettings,
)
from lovagestage.types import RegionId, VmId, ZoneId

SETTINGS_VARIABLE = "LOVAGESTAGE_NODE_FILE"
_ZONES_PREFIX = "Zones."


def read_settings(path: pathlib.Path) -> GatewaySettings:
    """Reads and validates a settings file.

    Args:
        path: Path of the file.

    Raises:
        SettingsError: The file can't be read or its content is invalid.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as error:
        reason = f"can't be read: {error.strerror}."
        raise SettingsError(str(path), 0, "", reason) from error
    except UnicodeDecodeError as error:
        raise SettingsError(str(path), 0, "", f"{error.reason}.") from error
    return decode_settings(text, str(path))


def decode_settings(text: str, path: str) -> GatewaySettings:
    """Decodes settings from lines of `a.b=value`; ignores unknown fields.

    Args:
        text: Content of the settings file.
        path: Path of the file, for error messages.

    Raises:
        SettingsError: A field is missing or has the wrong form.
    """
    fields: dict[str, str] = {}
    lines: dict[str, int] = {}
    for number, line in enumerate(text.splitlines(), 1):
        key, separator, value = line.partition("=")
        if separator:
            fields[key.strip()] = value.strip()
            lines[key.strip()] = number
    reader = _FieldReader(fields, lines, path)
    return GatewaySettings(
        vm=VmId(reader.get_text("NodeName")),
        zone=ZoneId(reader.get_text("Zone")),
        regions=_decode_regions(fields),
        client_address=reader.get_address("Listen.Frontend"),
        readiness_address=reader.get_address("Listen.Readiness"),
        peer_address=_decode_peer_address(reader),
        store_address=reader.get_address("Platform.Address"),
        bounds=_decode_bounds(reader),
        heartbeat_s=reader.get_number("HeartbeatMs", DEFAULT_HEARTBEAT_S * 1000)
        / 1000,
    )


def _decode_regions(fields: Mapping[str, str]) -> dict[ZoneId, RegionId]:
    return {
        ZoneId(key.removeprefix(_ZONES_PREFIX)): RegionId(region)
        for key, region in fields.items()
        if key.startswith(_ZONES_PREFIX)
    }


def _decode_peer_address(reader: _FieldReader) -> str | None:
    """Returns the address for datagrams between gateways.

    The port is the first of the range that the platform reserves for traffic
    between nodes. Without a node address or a range the result is None, and
    the gateway exchanges no datagrams.
    """
    first = reader.get_text("PortRange", "").partition(",")[0]
    host = reader.get_text("Ip", "")
    return f"{host}:{first}" if host and first.isdigit() else None


def _decode_bounds(reader: _FieldReader) -> Bounds:
    return Bounds(
        revoke_s=reader.get_number("Bounds.RevokeMs") / 1000,
        apply_s=reader.get_number("Bounds.ConfigApplyMs") / 1000,
        drain_s=reader.get_number("Bounds.DrainMs") / 1000,
        # Deployments that never evacuate a zone don't set this bound.
        evacuate_s=reader.get_number("Bounds.EvacuationMs", math.inf) / 1000,
        stop_s=reader.get_number("Bounds.GraceS"),
        retry_ratio=reader.get_number("Bounds.RetryBudgetRatio"),
        exposure_ratio=reader.get_number("Bounds.ExposureShare"),
        exposure_slack=reader.get_number("Bounds.ExposureSlack"),
        # Deployments without model sessions don't set this bound.
        session_s=reader.get_number("Bounds.SessionS", 5.0),
        retry_window_s=max(0.1, reader.get_number("Bounds.RetryWindowS", 10.0)),
        retry_slack=reader.get_number("Bounds.RetrySlack", 0.0),
    )


class _FieldReader:
    def __init__(
        self,
        fields: Mapping[str, str],
        lines: Mapping[str, int],
        path: str,
    ) -> None:
        self._fields = fields
        self._lines = lines
        self._path = path

    def get_text(self, key: str, default: str | None = None) -> str:
        value = self._fields.get(key, "")
        if not value and default is not None:
            return default
        if not value:
            raise self._make_error(key, "expected a value, found none.")
        return value

    def get_address(self, key: str) -> str:
        value = self.get_text(key)
        host, _, port = value.rpartition(":")
        if not host or not port.isdigit() or not 0 < int(port) < 65536:
            raise self._make_error(key, f"{value!r} is not IP:PORT.")
        return value

    def get_number(self, key: str, default: float | None = None) -> float:
        if default is not None and not self._fields.get(key):
            return default
        value = self.get_text(key)
        try:
            number = float(value)
        except ValueError:
            raise self._make_error(key, f"{value!r} is not a number.") from None
        if not 0.0 <= number < 1e9:
            raise self._make_error(key, f"{value!r} is out of range.")
        return number

    def _make_error(self, key: str, reason: str) -> SettingsError:
        return SettingsError(self._path, self._lines.get(key, 0), key, reason)
