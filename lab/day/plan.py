"""Reads the plan of a day from a file of the users' bench."""

from __future__ import annotations

import dataclasses
import enum
import pathlib
import tomllib
from collections.abc import Mapping
from typing import Any

DEFAULT_FOR_S = 5.0
DEFAULT_GAP_S = 1.0
DEFAULT_SLOW_SHARE = 0.5
DEFAULT_HUP_SHARE = 0.3
DEFAULT_KILL_SHARE = 0.1
DEFAULT_SKEW_SHARE = 0.9
DEFAULT_SLOW_FACTOR = 8.0
FIRST_SERVICE = "@s0"


class DayError(Exception):
    """A day can't be read, or holds what this player does not play."""


class Kind(enum.Enum):
    """Kinds of trouble that can be played."""

    ROLLOUT_BAD = "rollout_bad"
    ROLLOUT_GOOD = "rollout_good"
    HUP = "hup"
    ROLL_TERM = "roll_term"
    CONFIG_CHANGE = "config_change"
    CONFIG_STORM = "config_storm"
    NODE_FREEZE = "node_freeze"
    NODE_KILL = "node_kill"
    SKEW_CONNECTIONS = "skew_connections"
    """Most new connections go to one gateway; the bench has no such kind."""


@dataclasses.dataclass(frozen=True)
class Trouble:
    """One entry of a day.

    Attributes:
        kind: What happens.
        at_s: Time in seconds from the start of traffic.
        for_s: How long it lasts, in seconds.
        gap_s: Time in seconds between its steps.
        share: Share of the gateways, of a bad version's requests, or of the
            new connections.
        factor: How strong it is: how many times as slow, or how many gateways
            at a time.
    """

    kind: Kind
    at_s: float
    for_s: float
    gap_s: float
    share: float
    factor: float


@dataclasses.dataclass(frozen=True)
class Day:
    """A day to play.

    Attributes:
        name: Its label.
        length_s: Length of the traffic in seconds.
        troubles: What happens, in the order of their times.
    """

    name: str
    length_s: float
    troubles: tuple[Trouble, ...]


def read_day(path: pathlib.Path) -> Day:
    """Reads the first day of a file.

    Raises:
        DayError: It can't be read or holds an entry that can't be played.
    """
    try:
        text = path.read_text(encoding="utf-8")
        return decode_day(tomllib.loads(text))
    except (OSError, tomllib.TOMLDecodeError, KeyError) as error:
        raise DayError(f"{path}: {error!r}") from error


def decode_day(fields: Mapping[str, Any]) -> Day:
    """Decodes the first day of a file.

    Raises:
        DayError: It holds an entry that can't be played.
    """
    first = fields.get("day", [fields])[0]
    entries = [*first.get("plan", []), *first.get("faults", [])]
    troubles = sorted(map(_decode_trouble, entries), key=lambda t: t.at_s)
    return Day(first["name"], float(first["length_s"]), tuple(troubles))


def _decode_trouble(entry: Mapping[str, Any]) -> Trouble:
    known = {kind.value: kind for kind in Kind}
    kind = known.get(entry["kind"])
    if kind is None:
        raise DayError(f"{entry['kind']!r} is not played; {sorted(known)} are.")
    how = entry.get("how", "slow")
    if kind is Kind.ROLLOUT_BAD and how != "slow":
        raise DayError(f"a version that is bad by {how!r} is not played.")
    shares = {
        Kind.ROLLOUT_BAD: DEFAULT_SLOW_SHARE,
        Kind.HUP: DEFAULT_HUP_SHARE,
        Kind.NODE_KILL: DEFAULT_KILL_SHARE,
        Kind.SKEW_CONNECTIONS: DEFAULT_SKEW_SHARE,
    }
    is_slow = kind is Kind.ROLLOUT_BAD
    return Trouble(
        kind,
        float(entry["at"]),
        float(entry.get("for_s", DEFAULT_FOR_S)),
        float(entry.get("gap_s", DEFAULT_GAP_S)),
        float(entry.get("share", shares.get(kind, 1.0))),
        float(entry.get("x", DEFAULT_SLOW_FACTOR if is_slow else 1.0)),
    )
