"""Log output: one line of key=value pairs or of JSON for each event."""

from __future__ import annotations

import json
import logging
import sys
from typing import TYPE_CHECKING, Any

from pythonjsonlogger.core import BaseJsonFormatter
from pythonjsonlogger.json import JsonFormatter

if TYPE_CHECKING:
    from lovagestage.settings import LogSettings

_RENAMED_FIELDS = {"levelname": "level", "asctime": "time", "message": "event"}
_FORMAT = "%(asctime)s %(levelname)s %(name)s %(message)s"


class KeyValueFormatter(BaseJsonFormatter):
    """Formats the fields that the JSON formatter collects as key=value."""

    def jsonify_log_record(self, log_data: dict[str, Any]) -> str:
        """Formats the fields of one event as one line."""
        return " ".join(
            f"{key}={_format_value(value)}"
            for key, value in log_data.items()
            if value is not None
        )


def _format_value(value: Any) -> str:
    text = value if isinstance(value, str) else json.dumps(value, default=str)
    if text and not any(char in text for char in ' "=\n\t'):
        return text
    return json.dumps(text, ensure_ascii=False)


def start_logging(settings: LogSettings, vm: str) -> None:
    """Configures the process to write all log lines to standard error.

    Args:
        settings: Format and level of the log lines.
        vm: VM of the process, written as a field of each line.
    """
    formatter_class = (
        JsonFormatter if settings.format == "json" else KeyValueFormatter
    )
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        formatter_class(
            _FORMAT, rename_fields=_RENAMED_FIELDS, static_fields={"vm": vm}
        )
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(settings.level)
    logging.getLogger("mode").setLevel(logging.WARNING)
