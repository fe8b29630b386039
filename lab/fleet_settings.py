"""Settings files of the processes that the lab starts."""

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


@dataclasses.dataclass(frozen=True)
class StandInUrls:
    """Where the stand-ins of the platform are.

    Attributes:
        log: The log.
        vms: The VM list.
        rater: The rater; empty where there is none.
    """

    log: str
    vms: str
    rater: str


class FleetSettings:
    """Makes settings with the keys of one fleet.

    Args:
        folder: Where the files go.
        bus_options: Further settings of each process's connections.
        statsd: Where each process sends its metrics.

    Attributes:
        keys: Public and secret key of the fleet's connections.
        root: Signs documents and operators.
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
        """Writes the settings of one of the product's processes."""
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
        """Writes the settings of the lab's operator."""
        settings = {
            "operator": OPERATOR,
            "signing_key": bytes(self.root).hex(),
            "platform": self._make_platform(urls),
            "bus": self._make_bus(f"{HOST}:1"),
        }
        return self._write("operator", settings)

    def make_bus_settings(self, port: int) -> BusSettings:
        """Settings of a listener that the fleet's processes connect to."""
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
