"""Options with which a feed reads a topic of the metadata store."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True)
class TopicReadOptions:
    """Options for reading a topic.

    Attributes:
        topic: The topic.
        wait_s: Time in seconds for which the store holds a read while there
            is no record (long polling).
        pause_s: Time in seconds from a read that returned records to the next
            read, so that records appended in bursts share a read.
        is_keyed: Whether to begin with the newest record of each key.
        watch_wait_s: Time in seconds for which the store holds a watcher's
            read; None for the time that the relay computes from the time
            limit for applying a change.
        is_relayed: Whether a watcher sends the topic's records to its
            followers. Callers' keys are never sent: each gateway reads them
            from the store.
        requires_freshness: Whether a change must be in force within a time
            limit, so that followers rely on recent freshness confirmations
            only.
        trust_delay_s: Time in seconds after the store has come back from a
            copy for which no read confirms that the records are current.
    """

    topic: str
    wait_s: float
    pause_s: float
    is_keyed: bool = True
    watch_wait_s: float | None = None
    is_relayed: bool = False
    requires_freshness: bool = True
    trust_delay_s: float = 0.0
