"""The operators' commands on the command line."""

from __future__ import annotations

import argparse
import pathlib
from collections.abc import Callable
from typing import Any

from lovagestage.operations.commands import (
    run_dump,
    run_operators_keygen,
    run_operators_put,
    run_rollout_change,
    run_rollout_start,
    run_rollout_status,
    run_service_diff,
    run_service_get,
    run_service_history,
    run_service_put,
    run_service_result,
    run_service_schema,
    run_service_validate,
    run_status,
    run_withdraw,
)
from lovagestage.state.document import RolloutState


def add_service_parsers(commands: Any) -> None:
    """Adds the operators' commands to the command line."""
    service = commands.add_parser(
        "service", help="read and change a service's document"
    ).add_subparsers(metavar="VERB", required=True)
    get = _add(service, "get", run_service_get, "print the document in force")
    get.add_argument("service")
    put = _add(service, "put", run_service_put, "put a document in force")
    put.add_argument("file", type=pathlib.Path)
    put.add_argument(
        "--base",
        type=int,
        required=True,
        metavar="REVISION",
        help="revision that was edited; 0 for a new service",
    )
    put.add_argument("--change-id", help="repeat a change whose result is lost")
    diff = _add(service, "diff", run_service_diff, "compare a file with it")
    diff.add_argument("file", type=pathlib.Path)
    history = _add(
        service, "history", run_service_history, "who changed it, and when"
    )
    history.add_argument("service")
    result = _add(
        service, "result", run_service_result, "what became of a change"
    )
    result.add_argument("change_id")
    validate = _add(
        service, "validate", run_service_validate, "check a file", False
    )
    validate.add_argument("file", type=pathlib.Path)
    _add(service, "schema", run_service_schema, "print the schema", False)
    _add_rollout_parsers(commands)
    _add_operators_parsers(commands)
    withdraw = _add(
        commands, "withdraw", run_withdraw, "give a version no more work"
    )
    withdraw.add_argument("version", metavar="MODEL@VERSION")
    withdraw.add_argument("--service")
    _add(commands, "status", run_status, "what is in force everywhere")
    dump = _add(commands, "dump", run_dump, "one process's state as JSON")
    dump.add_argument("address", metavar="HOST:PORT")


def _add_rollout_parsers(commands: Any) -> None:
    rollout = commands.add_parser(
        "rollout", help="start and steer roll-outs"
    ).add_subparsers(metavar="VERB", required=True)
    _add(rollout, "status", run_rollout_status, "print all roll-outs")
    start = _add(rollout, "start", run_rollout_start, "start or resume one")
    start.add_argument("old", metavar="MODEL@OLD")
    start.add_argument("new", metavar="MODEL@NEW")
    start.add_argument("--service")
    start.add_argument(
        "--steps",
        type=_parse_steps,
        default=[0.01, 0.1, 0.5, 1.0],
        help="shares of traffic, such as 0.01,0.1,1",
    )
    start.add_argument(
        "--step-min-s",
        type=float,
        default=60.0,
        help="shortest time at a step, in seconds",
    )
    start.add_argument(
        "--exposure-budget",
        type=int,
        default=200,
        metavar="REQUESTS",
        help="most requests at a step before there is evidence",
    )
    start.add_argument(
        "--max-quality-drop",
        type=float,
        default=0.05,
        metavar="SCORE",
        help="drop of the mean rating that stops it",
    )
    for verb, state in (
        ("pause", RolloutState.PAUSED),
        ("abort", RolloutState.ABORTED),
    ):
        change = _add(rollout, verb, run_rollout_change, f"{verb} one")
        change.add_argument("model")
        change.add_argument("--service")
        change.set_defaults(state=state)


def _add_operators_parsers(commands: Any) -> None:
    operators = commands.add_parser(
        "operators", help="who may edit which team's documents"
    ).add_subparsers(metavar="VERB", required=True)
    put = _add(operators, "put", run_operators_put, "replace the list")
    put.add_argument("file", type=pathlib.Path)
    put.add_argument("--base", type=int, required=True, metavar="REVISION")
    put.add_argument("--next-root-key", default="", metavar="HEX")
    _add(operators, "keygen", run_operators_keygen, "make a key pair", False)


def _parse_steps(text: str) -> list[float]:
    return [float(step) for step in text.split(",")]


def _add(
    commands: Any,
    name: str,
    run: Callable[[argparse.Namespace], int],
    text: str,
    needs_log: bool = True,
) -> argparse.ArgumentParser:
    parser: argparse.ArgumentParser = commands.add_parser(
        name, help=text, description=text
    )
    parser.add_argument("--json", action="store_true", help="print JSON")
    if needs_log:
        parser.add_argument(
            "--settings",
            type=pathlib.Path,
            required=True,
            metavar="FILE",
            help="the operator's settings",
        )
    parser.set_defaults(run=run)
    return parser
