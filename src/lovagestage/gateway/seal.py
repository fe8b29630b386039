"""Keeps datagrams from others than gateways out.

Whoever reaches a gateway's port could else tell it of upstreams and routes
that do not exist. All gateways read the configuration from the store, and with
it every caller's key: its bytes are a secret that they share without asking
for one. Each datagram names the configuration whose bytes it is sealed with.
"""

from __future__ import annotations

import hashlib
import hmac
import struct

from lovagestage.exceptions import SealError

MAX_KEYS = 16
"""Configurations whose keys are kept: they come a few a second in a storm, and
a gateway is behind by a second or two."""
TAG_BYTES = 16
NO_VERSION = 0
"""Named before a configuration is known; refused by those who know one."""
_HEAD = struct.Struct(f">Q{TAG_BYTES}s")


class Seal:
    """Seals and opens datagrams."""

    def __init__(self) -> None:
        self._keys: dict[int, bytes] = {}
        self.newest = NO_VERSION

    def add_key(self, version: int, configuration: bytes) -> None:
        """Takes a configuration as it stands in the store."""
        self._keys[version] = hashlib.blake2b(configuration).digest()
        self.newest = max(self._keys)
        while len(self._keys) > MAX_KEYS:
            del self._keys[min(self._keys)]

    def close(self, data: bytes, version: int) -> bytes:
        """Seals a datagram.

        Args:
            data: What it says.
            version: Newest configuration that its receiver is known to have;
                one that is not known here is replaced by the newest.
        """
        if version not in self._keys:
            version = self.newest
        return _HEAD.pack(version, self._make_tag(version, data)) + data

    def open(self, datagram: bytes) -> tuple[int, bytes]:
        """Opens a datagram; returns its configuration and what it says.

        Raises:
            SealError: It is not sealed, or by a configuration that is not
                known here.
        """
        if len(datagram) < _HEAD.size:
            raise SealError("Datagram without a seal.")
        version, tag = _HEAD.unpack_from(datagram)
        if self._keys and version not in self._keys:
            raise SealError("Sealed by a configuration that is not known.")
        data = datagram[_HEAD.size :]
        if not hmac.compare_digest(tag, self._make_tag(version, data)):
            raise SealError("Datagram with a wrong seal.")
        return version, data

    def _make_tag(self, version: int, data: bytes) -> bytes:
        key = self._keys.get(version, b"")
        return hashlib.blake2b(data, digest_size=TAG_BYTES, key=key).digest()
