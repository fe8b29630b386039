"""Writes the settings files of the processes that the lab starts."""

from __future__ import annotations

import dataclasses
import json
import pathlib
from collections.abc import Mapping
from typing import Any

import nacl.signing
import zmq

from lab.ports import HOST
from lovagestage.settings import BusSettings

OPERATOR = "lab"
"""Name of the operator that signs the fleet's service documents."""


@dataclasses.dataclass(frozen=True)
class StandInUrls:
    """Base URLs of the stand-ins for platform services.

    Attributes:
        log: URL of the log service.
        vms: URL of the VM list.
        rater: URL of the rater; empty if the fleet has none.
    """

    log: str
    vms: str
    rater: str


class FleetSettings:
    """Writes settings that share the generated keys of one fleet.

    Args:
        folder: Folder that the settings files are written to.
        bus_options: Additional settings of each process's message connections.
        statsd: Settings of the statsd server that processes send metrics to.

    Attributes:
        keys: Public and secret key of the fleet's message connections.
        root: Key that signs service documents and the list of operators.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        bus_options: Mapping[str, Any],
        statsd: Mapping[str, Any],
    ) -> None:
        public, secret = zmq.curve_keypair()
        self.keys = (public.decode(), secret.decode())
        self.root = nacl.signing.SigningKey.generate()
        self._folder = folder
        self._bus_options = dict(bus_options)
        self._statsd = dict(statsd)

    def write_daemon(
        self,
        name: str,
        zone: str,
        bus: str,
        role: Mapping[str, Any],
        urls: StandInUrls,
    ) -> pathlib.Path:
        """Writes the settings file of one of the product's processes.

        Args:
            name: Name of the VM and of the file.
            zone: Availability zone.
            bus: `HOST:PORT` that its message listener binds to.
            role: Settings of its role, under the name of the role.
            urls: URLs of the platform services.

        Returns:
            The path of the file.
        """
        settings = {
            "vm": name,
            "zone": zone,
            "platform": self._make_platform(urls),
            "bus": {**self._make_bus(bus), **self._bus_options},
            "statsd": self._statsd,
            **role,
        }
        return self._write(name, settings)

    def write_operator(self, urls: StandInUrls) -> pathlib.Path:
        """Writes the settings file of the lab's operator; returns its path."""
        settings = {
            "operator": OPERATOR,
            "signing_key": bytes(self.root).hex(),
            "platform": self._make_platform(urls),
            "bus": self._make_bus(f"{HOST}:1"),
        }
        return self._write("operator", settings)

    def make_bus_settings(self, port: int) -> BusSettings:
        """Returns settings of a listener that accepts the fleet's processes."""
        public, secret = self.keys
        return BusSettings(f"{HOST}:{port}", public, secret, [public])

    def _make_bus(self, bind: str) -> dict[str, Any]:
        public, secret = self.keys
        return {
            "bind": bind,
            "public_key": public,
            "secret_key": secret,
            "accepted_keys": [public],
        }

    def _make_platform(self, urls: StandInUrls) -> dict[str, Any]:
        return {
            "log_url": urls.log,
            "vms_url": urls.vms,
            "rater_url": urls.rater,
            "operators_root_key": bytes(self.root.verify_key).hex(),
            "log_keys": ["lab-log-key"],
        }

    def _write(self, name: str, settings: Mapping[str, Any]) -> pathlib.Path:
        path = self._folder / f"{name}.json"
        path.write_text(json.dumps(settings, indent=2))
        return path
