"""Output of the operators' commands: JSON, and columns for a terminal."""

from __future__ import annotations

import json
from typing import Any

import msgspec

from lovagestage.exceptions import EXIT_CONFLICT, EXIT_INVALID
from lovagestage.operations.operator_client import PutResult
from lovagestage.state.document import ServiceDocument
from lovagestage.state.outcomes import Outcome

_EXIT_CODES = {
    Outcome.ACCEPTED: 0,
    Outcome.CONFLICT: EXIT_CONFLICT,
    Outcome.INVALID: EXIT_INVALID,
    Outcome.FORBIDDEN: EXIT_INVALID,
}


def format_document(document: ServiceDocument) -> str:
    """Formats a service document as indented JSON."""
    return msgspec.json.format(msgspec.json.encode(document), indent=2).decode()


def print_result(result: PutResult, as_json: bool) -> int:
    """Prints the outcome of a change and returns the exit code for it."""
    if as_json:
        print_json(msgspec.to_builtins(result))
    else:
        print(
            f"{result.outcome.value} revision={result.revision}"
            f" change_id={result.change_id}"
        )
    return _EXIT_CODES[result.outcome]


def print_json(value: Any) -> None:
    """Prints a value as indented JSON."""
    print(json.dumps(value, indent=2))


def print_rows(rows: list[dict[str, Any]], as_json: bool) -> None:
    """Prints rows as JSON, or as aligned columns for a terminal."""
    if as_json:
        print_json(rows)
        return
    if not rows:
        return
    cells = [list(rows[0])] + [[str(v) for v in r.values()] for r in rows]
    widths = [max(len(row[i]) for row in cells) for i in range(len(cells[0]))]
    for row in cells:
        line = "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        )
        print(line.rstrip())
