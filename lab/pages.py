"""Writes the documentation pages that are generated from the code."""

from __future__ import annotations

import argparse
import ast
import dataclasses
import json
import pathlib
from collections.abc import Iterator

import msgspec

from lovagestage.gateway.exposition import PREFIX, Series
from lovagestage.state.document import ServiceDocument
from lovagestage.telemetry.metrics import SPECS

ROOT = pathlib.Path(__file__).parent.parent
SOURCE = ROOT / "src" / "lovagestage"
LEVELS = ("debug", "info", "warning", "error", "exception", "log")
_LEVEL_NAMES = {"exception": "error", "log": "info or warning"}


@dataclasses.dataclass(frozen=True, order=True)
class LogEvent:
    """An event name that the product logs, as written by one module.

    Attributes:
        name: Value of the field `event`.
        level: Level of the log line.
        module: Module that writes the log line.
        fields: Fields besides `time`, `level`, `name`, `event` and `vm`.
    """

    name: str
    level: str
    module: str
    fields: tuple[str, ...]


def get_log_events() -> list[LogEvent]:
    """Finds the log events in the product's source, sorted by name."""
    return sorted(
        {
            event
            for path in SOURCE.rglob("*.py")
            for event in _find_events(
                path.relative_to(SOURCE).with_suffix("").as_posix(),
                ast.parse(path.read_text()),
            )
        }
    )


def _find_events(module: str, tree: ast.AST) -> Iterator[LogEvent]:
    for node in ast.walk(tree):
        if not isinstance(node, ast.Call):
            continue
        function = node.func
        if not (
            isinstance(function, ast.Attribute)
            and isinstance(function.value, ast.Name)
            and function.value.id == "_log"
            and function.attr in LEVELS
        ):
            continue
        name = node.args[1 if function.attr == "log" else 0]
        if isinstance(name, ast.Constant):
            fields = _find_fields(node)
            level = _LEVEL_NAMES.get(function.attr, function.attr)
            yield LogEvent(str(name.value), level, module, fields)


def _find_fields(call: ast.Call) -> tuple[str, ...]:
    return tuple(
        str(key.value)
        for keyword in call.keywords
        if keyword.arg == "extra" and isinstance(keyword.value, ast.Dict)
        for key in keyword.value.keys
        if isinstance(key, ast.Constant)
    )


def format_log_page() -> str:
    """Formats the page docs/LOGS.md."""
    rows = [
        f"| `{event.name}` | {event.level} | {event.module} |"
        f" {', '.join(event.fields)} |"
        for event in get_log_events()
    ]
    return "\n".join(
        [
            "# Log events",
            "",
            "Generated from the source. Every line also has `time`, `level`,"
            " `name`, `event` and `vm`;",
            'the setting `log.format` is `"text"` (key=value) or `"json"`.'
            " A gateway (`gateway/`) always writes key=value, to standard"
            " output, and no `name`.",
            "",
            "| event | level | module | fields |",
            "|---|---|---|---|",
            *rows,
            "",
        ]
    )


def format_schema() -> str:
    """Formats the JSON Schema of service documents."""
    schema = msgspec.json.schema(ServiceDocument)
    return json.dumps(schema, indent=2) + "\n"


def format_metrics_page() -> str:
    """Formats the page docs/METRICS.md."""
    sent = [
        f"| `{metric.value}` | {spec.kind.value} | {spec.unit} | {spec.text} |"
        for metric, spec in SPECS.items()
    ]
    served = [
        f"| `{PREFIX}{spec.name}` | {spec.kind.value} |"
        f" {', '.join(spec.labels)} | {spec.help_text} |"
        for spec in (series.value for series in Series)
    ]
    return "\n".join(
        [
            "# Metrics",
            "",
            "## Entries and sidecars",
            "",
            "Generated from `lovagestage.telemetry.metrics`; sent to statsd"
            " once a second.",
            "",
            "| name | kind | unit | meaning |",
            "|---|---|---|---|",
            *sent,
            "",
            "## Gateways",
            "",
            "Generated from `lovagestage.gateway.exposition`; served at"
            " `/metrics` in the Prometheus text format.",
            "",
            "| name | kind | labels | meaning |",
            "|---|---|---|---|",
            *served,
            "",
        ]
    )


PAGES = {
    "docs/LOGS.md": format_log_page,
    "docs/METRICS.md": format_metrics_page,
    "docs/service-document.schema.json": format_schema,
}


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds no arguments; the command has none."""
    del parser


def run(args: argparse.Namespace) -> int:
    """Writes all generated pages and returns 0."""
    del args
    for path, make in PAGES.items():
        (ROOT / path).write_text(make(), encoding="utf-8")
        print(path)
    return 0
