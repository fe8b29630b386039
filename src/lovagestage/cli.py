"""The `lovagestage` command line."""

from __future__ import annotations

import argparse
import os
import pathlib
import sys
from collections.abc import Sequence

from lovagestage import __version__
from lovagestage.exceptions import (
    EXIT_FAILURE,
    LovagestageError,
    SettingsError,
)
from lovagestage.gateway.command import add_arguments as add_gateway_arguments
from lovagestage.gateway.command import run as run_gateway_command
from lovagestage.operations import explain, usage
from lovagestage.operations.command_parsers import add_service_parsers


def main(arguments: Sequence[str] | None = None) -> int:
    """Runs the command that the arguments name; returns its exit code."""
    options = make_parser().parse_args(arguments)
    try:
        return int(options.run(options))
    except LovagestageError as error:
        print(f"lovagestage: {error.format_message()}", file=sys.stderr)
        return error.exit_code
    except BrokenPipeError:
        # The reader of the output, such as `head`, has closed the pipe. The
        # output that is still buffered goes to the null device; otherwise the
        # interpreter would fail when it flushes the buffer at exit.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return EXIT_FAILURE


def make_parser() -> argparse.ArgumentParser:
    """Builds the argument parser with all commands."""
    parser = argparse.ArgumentParser(
        prog="lovagestage",
        description="Model-aware router for versions and cascades.",
    )
    parser.add_argument(
        "--version", action="version", version=f"lovagestage {__version__}"
    )
    commands = parser.add_subparsers(metavar="COMMAND", required=True)
    for role, summary in (
        ("entry", "run the entry process, which callers reach"),
        ("sidecar", "run the sidecar process beside an upstream on its VM"),
    ):
        command = commands.add_parser(role, help=summary, description=summary)
        command.add_argument(
            "--settings", type=pathlib.Path, required=True, metavar="FILE"
        )
        command.add_argument(
            "--check", action="store_true", help="check the settings and exit"
        )
        command.set_defaults(run=_run_daemon, role=role)
    summary = "run the gateway, the front end on the users' platform"
    gateway = commands.add_parser("gateway", help=summary, description=summary)
    add_gateway_arguments(gateway)
    gateway.set_defaults(run=run_gateway_command)
    add_service_parsers(commands)
    completion = commands.add_parser(
        "completion", help="print a completion script for a shell"
    )
    completion.add_argument("shell", choices=("bash", "zsh", "tcsh"))
    completion.set_defaults(run=_run_completion)
    usage.add_command(commands)
    explain.add_command(commands)
    return parser


def _run_completion(options: argparse.Namespace) -> int:
    import shtab

    print(shtab.complete(make_parser(), options.shell))
    return 0


def _run_daemon(options: argparse.Namespace) -> int:
    from lovagestage.settings import read_settings

    settings = read_settings(options.settings)
    if getattr(settings, options.role) is None:
        raise SettingsError(
            str(options.settings), 1, options.role, "expected this key."
        )
    if options.check:
        print(f"{options.settings}: ok")
        return 0
    from lovagestage.wiring import run_process

    return run_process(settings)
