"""Runs a gateway."""

from __future__ import annotations

import argparse
import os
import pathlib
import signal
import sys
from collections.abc import Sequence

from lovagestage.exceptions import LovagestageError, SettingsError
from lovagestage.gateway.listeners import open_listener
from lovagestage.platform.settings import SETTINGS_VARIABLE, read_settings


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the command's arguments to an argument parser."""
    parser.add_argument(
        "--settings",
        type=pathlib.Path,
        metavar="FILE",
        help=f"settings of the platform (default: ${SETTINGS_VARIABLE})",
    )
    parser.add_argument(
        "--metrics-port",
        type=int,
        default=9464,
        metavar="PORT",
        help="port of the metrics, 0 for none (default: %(default)s)",
    )
    parser.add_argument(
        "--check", action="store_true", help="check the settings and exit"
    )


def main(arguments: Sequence[str] | None = None) -> int:
    """Runs the command without the parent command line.

    Args:
        arguments: Command-line arguments; None for those of the process.

    Returns:
        The exit code of the process.
    """
    parser = argparse.ArgumentParser(
        prog="lovagestage gateway", description=__doc__
    )
    add_arguments(parser)
    try:
        return run(parser.parse_args(arguments))
    except LovagestageError as error:
        print(f"lovagestage: {error.format_message()}", file=sys.stderr)
        return error.exit_code


def run(options: argparse.Namespace) -> int:
    """Checks the settings and runs the gateway.

    Args:
        options: Parsed command-line arguments.

    Returns:
        The exit code of the process.

    Raises:
        SettingsError: The settings are missing or invalid.
        ListenError: The gateway can't listen on the callers' address.
    """
    # A request to reload ends no process that is still starting: the settings
    # are read again once it handles the signal.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    path = resolve_path(options.settings)
    settings = read_settings(path)
    if options.check:
        print(f"{path}: ok")
        return 0
    listener = open_listener(settings.client_address)
    # This import takes longer than all imports above, so the port is opened
    # before it.
    from lovagestage.gateway.process import run_gateway

    return run_gateway(settings, path, options.metrics_port, listener)


def resolve_path(given: pathlib.Path | None) -> pathlib.Path:
    """Returns the path of the settings file.

    Args:
        given: Path from the command line; None to use the environment variable.

    Raises:
        SettingsError: Neither the command line nor the environment names a
            file.
    """
    path = given or os.environ.get(SETTINGS_VARIABLE)
    if not path:
        raise SettingsError("", 0, SETTINGS_VARIABLE, "is not set.")
    return pathlib.Path(path)
