"""Reads log lines back: key=value pairs or JSON, one event a line."""

from __future__ import annotations

import dataclasses
import json
import re
from collections.abc import Iterable, Iterator, Mapping

_PAIR = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')
_FIRST_KEYS = ("time=", '{"')


@dataclasses.dataclass(frozen=True)
class LogLine:
    """One event of one process.

    Attributes:
        time: Time of day as written; sorts as text within one day's format.
        event: Name of the event.
        vm: Process that wrote it.
        fields: All fields as text, with the above among them.
    """

    time: str
    event: str
    vm: str
    fields: Mapping[str, str]

    def get(self, key: str) -> str:
        """A field; empty where the line has none."""
        return self.fields.get(key, "")


def parse_lines(lines: Iterable[str]) -> Iterator[LogLine]:
    """Parses what can be parsed; other lines are passed over.

    Collectors put names and times of their own in front of a line.
    """
    for text in lines:
        fields = _parse_fields(text.strip())
        if "event" in fields:
            yield LogLine(
                fields.get("time", ""),
                fields["event"],
                fields.get("vm", ""),
                fields,
            )


def _parse_fields(text: str) -> dict[str, str]:
    starts = [text.find(key) for key in _FIRST_KEYS if key in text]
    if not starts:
        return {}
    text = text[min(starts) :]
    if text.startswith("{"):
        return _parse_json(text)
    return {key: _unquote(value) for key, value in _PAIR.findall(text)}


def _parse_json(text: str) -> dict[str, str]:
    try:
        fields = json.loads(text)
    except json.JSONDecodeError:
        return {}
    if not isinstance(fields, dict):
        return {}
    return {
        str(key): value if isinstance(value, str) else json.dumps(value)
        for key, value in fields.items()
    }


def _unquote(value: str) -> str:
    if not value.startswith('"'):
        return value
    try:
        return str(json.loads(value))
    except json.JSONDecodeError:
        return value
