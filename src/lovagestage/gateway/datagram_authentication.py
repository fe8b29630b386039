"""Authenticates datagrams between gateways.

Without authentication, anyone who can reach a gateway's port could send it
upstreams and routes that do not exist. All gateways read the configuration from
the store, and it contains every caller's key: its bytes are a secret that the
gateways share without a further setting. Each datagram carries a keyed hash of
its content and the version of the configuration that the hash's key is made
from.
"""

from __future__ import annotations

import hashlib
import hmac
import struct

from lovagestage.exceptions import DatagramAuthenticationError

MAX_KEYS = 16
"""Number of configurations whose keys are retained. In a burst there are a few
configurations a second, and a gateway may be behind by a second or two."""
TAG_BYTES = 16
NO_VERSION = 0
"""Version that a datagram states before its sender has a configuration.
Gateways that have a configuration reject such datagrams."""
_HEAD = struct.Struct(f">Q{TAG_BYTES}s")


class DatagramAuthenticator:
    """Signs and verifies datagrams with keys made from configurations."""

    def __init__(self) -> None:
        self._keys: dict[int, bytes] = {}
        self.newest_version = NO_VERSION

    def add_key(self, version: int, configuration: bytes) -> None:
        """Adds the key of a configuration, made from its bytes as stored."""
        self._keys[version] = hashlib.blake2b(configuration).digest()
        self.newest_version = max(self._keys)
        while len(self._keys) > MAX_KEYS:
            del self._keys[min(self._keys)]

    def sign(self, data: bytes, version: int) -> bytes:
        """Returns the datagram with the data and its authentication tag.

        Args:
            data: Content of the datagram.
            version: Newest version that the receiver is known to have. A
                version that is not known here is replaced by the newest one.
        """
        if version not in self._keys:
            version = self.newest_version
        return _HEAD.pack(version, self._make_tag(version, data)) + data

    def verify(self, datagram: bytes) -> tuple[int, bytes]:
        """Verifies a datagram's authentication tag.

        Until a configuration is known here, a tag with an empty key is accepted
        for any version.

        Args:
            datagram: The datagram as received.

        Returns:
            The version of the configuration, and the datagram's content.

        Raises:
            DatagramAuthenticationError: The tag is missing or wrong, or was
                made with a configuration that is not known here.
        """
        if len(datagram) < _HEAD.size:
            raise DatagramAuthenticationError(
                "Datagram too short for an authentication tag."
            )
        version, tag = _HEAD.unpack_from(datagram)
        if self._keys and version not in self._keys:
            raise DatagramAuthenticationError(
                "Datagram authenticated with a configuration that is not known."
            )
        data = datagram[_HEAD.size :]
        if not hmac.compare_digest(tag, self._make_tag(version, data)):
            raise DatagramAuthenticationError(
                "Datagram with a wrong authentication tag."
            )
        return version, data

    def _make_tag(self, version: int, data: bytes) -> bytes:
        key = self._keys.get(version, b"")
        return hashlib.blake2b(data, digest_size=TAG_BYTES, key=key).digest()
