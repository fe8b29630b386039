"""Baseline fleet with naive proxies: equal engines, but no sidecars."""

from __future__ import annotations

import json

from lab.fleet import Child, Fleet
from lab.ports import get_free_port
from lab.relay import Relay
from lab.shapes import EXAMPLES


class NaiveFleet(Fleet):
    """A fleet that runs naive proxies instead of entries.

    Engines 0 and 1 are reached through relays, as are the sidecars 0 and 1 of
    the product's fleet, so that the same faults can be injected.
    """

    relays: dict[str, Relay]

    def start(self) -> None:
        """Starts all processes and waits until every proxy is ready."""
        for name in ("log", "vms", "rater", "weights"):
            self._start_stand_in(name, name)
        self._wait_for_stand_ins()
        for index in range(self.shape.engines):
            self.start_engine(index)
        self._wait_for_stand_ins()
        self.relays = {}
        for index in (0, 1):
            port = self.children[f"engine-{index}"].port
            relay = Relay(f"127.0.0.1:{port}")
            self.relays[f"sidecar-{index}"] = relay.__enter__()
        for index in range(self.shape.entries):
            self.start_entry(index)
        self._publish_operators()
        self.publish(EXAMPLES / f"{self.shape.service}.jsonc")
        for entry in self.entries:
            self.wait_until_ready(entry)

    def start_entry(self, index: int) -> Child:
        """Starts a naive proxy under the name of an entry."""
        urls = [
            f"http://{self.relays[name].address}"
            for name in sorted(self.relays)
        ]
        urls += [engine.url for engine in self.engines[len(urls) :]]
        port = get_free_port()
        child = self._start_stand_in(
            f"entry-{index}",
            "naive_proxy",
            "--port",
            str(port),
            "--engines",
            json.dumps(urls),
            "--log",
            self.children["log"].url,
        )
        self._wait_for_stand_ins()
        return child
