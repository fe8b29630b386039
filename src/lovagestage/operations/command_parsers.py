"""Argument parsers of the operators' commands."""

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
    """Adds the parsers of the operators' commands to the command line.

    Args:
        commands: Subparsers of the `lovagestage` command.
    """
    service = commands.add_parser(
        "service", help="read and change the document of a service"
    ).add_subparsers(metavar="VERB", required=True)
    get = _add_command(
        service, "get", run_service_get, "print the document in force"
    )
    get.add_argument("service")
    put = _add_command(
        service, "put", run_service_put, "put a document in force"
    )
    put.add_argument("file", type=pathlib.Path)
    put.add_argument(
        "--base",
        type=int,
        required=True,
        metavar="REVISION",
        help="revision that the file was edited from; 0 for a new service",
    )
    put.add_argument(
        "--change-id",
        help="id of an earlier change, to repeat it after its result was lost",
    )
    diff = _add_command(
        service,
        "diff",
        run_service_diff,
        "compare a file with the document in force",
    )
    diff.add_argument("file", type=pathlib.Path)
    history = _add_command(
        service,
        "history",
        run_service_history,
        "list the changes of a document and their authors",
    )
    history.add_argument("service")
    result = _add_command(
        service, "result", run_service_result, "print the outcome of a change"
    )
    result.add_argument("change_id")
    validate = _add_command(
        service,
        "validate",
        run_service_validate,
        "check a document file for faults",
        False,
    )
    validate.add_argument("file", type=pathlib.Path)
    _add_command(
        service,
        "schema",
        run_service_schema,
        "print the JSON schema of documents",
        False,
    )
    _add_rollout_parsers(commands)
    _add_operators_parsers(commands)
    withdraw = _add_command(
        commands, "withdraw", run_withdraw, "stop sending requests to a version"
    )
    withdraw.add_argument("version", metavar="MODEL@VERSION")
    withdraw.add_argument("--service")
    _add_command(
        commands,
        "status",
        run_status,
        "print the revision in force at each process",
    )
    dump = _add_command(
        commands, "dump", run_dump, "print the state of a process as JSON"
    )
    dump.add_argument("address", metavar="HOST:PORT")


def _add_rollout_parsers(commands: Any) -> None:
    rollout = commands.add_parser(
        "rollout", help="start, pause and abort roll-outs"
    ).add_subparsers(metavar="VERB", required=True)
    _add_command(rollout, "status", run_rollout_status, "print all roll-outs")
    start = _add_command(
        rollout, "start", run_rollout_start, "start or resume a roll-out"
    )
    start.add_argument("old", metavar="MODEL@OLD")
    start.add_argument("new", metavar="MODEL@NEW")
    start.add_argument("--service")
    start.add_argument(
        "--steps",
        type=_parse_steps,
        default=[0.01, 0.1, 0.5, 1.0],
        help="share of the traffic at each step, such as 0.01,0.1,1",
    )
    start.add_argument(
        "--step-min-s",
        type=float,
        default=60.0,
        help="shortest time at each step, in seconds",
    )
    start.add_argument(
        "--exposure-budget",
        type=int,
        default=200,
        metavar="REQUESTS",
        help="maximum number of requests at a step without enough evidence",
    )
    start.add_argument(
        "--max-quality-drop",
        type=float,
        default=0.05,
        metavar="SCORE",
        help="drop of the mean rating that stops the roll-out",
    )
    for verb, state in (
        ("pause", RolloutState.PAUSED),
        ("abort", RolloutState.ABORTED),
    ):
        change = _add_command(
            rollout, verb, run_rollout_change, f"{verb} a roll-out"
        )
        change.add_argument("model")
        change.add_argument("--service")
        change.set_defaults(state=state)


def _add_operators_parsers(commands: Any) -> None:
    operators = commands.add_parser(
        "operators",
        help="manage which operators may edit the documents of a team",
    ).add_subparsers(metavar="VERB", required=True)
    put = _add_command(
        operators, "put", run_operators_put, "replace the list of operators"
    )
    put.add_argument("file", type=pathlib.Path)
    put.add_argument("--base", type=int, required=True, metavar="REVISION")
    put.add_argument("--next-root-key", default="", metavar="HEX")
    _add_command(
        operators, "keygen", run_operators_keygen, "generate a key pair", False
    )


def _parse_steps(text: str) -> list[float]:
    return [float(step) for step in text.split(",")]


def _add_command(
    commands: Any,
    name: str,
    run: Callable[[argparse.Namespace], int],
    description: str,
    requires_log: bool = True,
) -> argparse.ArgumentParser:
    parser: argparse.ArgumentParser = commands.add_parser(
        name, help=description, description=description
    )
    parser.add_argument("--json", action="store_true", help="print JSON")
    if requires_log:
        parser.add_argument(
            "--settings",
            type=pathlib.Path,
            required=True,
            metavar="FILE",
            help="settings file of the operator",
        )
    parser.set_defaults(run=run)
    return parser
