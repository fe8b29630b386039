"""Parses log lines: key=value pairs or JSON, one event on each line."""

from __future__ import annotations

import dataclasses
import json
import re
from collections.abc import Iterable, Iterator, Mapping

_FIELD_PATTERN = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')
_LINE_STARTS = ("time=", '{"')


@dataclasses.dataclass(frozen=True)
class LogLine:
    """One logged event of one process.

    Attributes:
        time: Time as written in the line. Times of the same format sort
            as text.
        event: Name of the event.
        vm: VM whose process wrote the line.
        fields: All fields as text, including those above.
    """

    time: str
    event: str
    vm: str
    fields: Mapping[str, str]

    def get(self, key: str) -> str:
        """Returns the text of a field; empty if the line has no such field."""
        return self.fields.get(key, "")


def parse_lines(lines: Iterable[str]) -> Iterator[LogLine]:
    """Parses log lines and skips lines that are not events.

    Text in front of the first field is ignored, because log collectors put
    their own names and times in front of a line.
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
    starts = [text.find(key) for key in _LINE_STARTS if key in text]
    if not starts:
        return {}
    text = text[min(starts) :]
    if text.startswith("{"):
        return _parse_json(text)
    return {key: _unquote(value) for key, value in _FIELD_PATTERN.findall(text)}


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
