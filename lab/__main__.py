"""Command line of the test bench: `python -m lab COMMAND`."""

from __future__ import annotations

import argparse
import importlib
import sys
from collections.abc import Sequence

# Maps each command to its module, which defines `add_arguments(parser)` and
# `run(args) -> int`.
COMMANDS: dict[str, str] = {
    "day": "lab.day.command",
    "engine": "lab.engine",
    "endless": "lab.endless_probe",
    "experiment": "lab.experiment",
    "load": "lab.load",
    "log": "lab.log",
    "vms": "lab.vms",
    "weights": "lab.weights",
    "rater": "lab.rater",
    "pages": "lab.pages",
    "plain": "lab.plain",
    "balancer": "lab.balancer",
    "naive_proxy": "lab.naive_proxy",
    "bench": "lab.bench",
    "demo": "lab.demo",
    "rollout_replay": "lab.rollout_replay",
    "soak": "lab.soak.command",
    "up": "lab.up",
    "stages": "lab.stages",
    "worth": "lab.worth",
}


def main(argv: Sequence[str] | None = None) -> int:
    """Runs one command and imports no module but that command's.

    Args:
        argv: Command line without the program name; `sys.argv` by default.

    Returns:
        The exit code.
    """
    command_parser = argparse.ArgumentParser(prog="lab", description=__doc__)
    command_parser.add_argument("command", choices=sorted(COMMANDS))
    command_parser.add_argument("rest", nargs=argparse.REMAINDER)
    options = command_parser.parse_args(argv)
    module = importlib.import_module(COMMANDS[options.command])
    parser = argparse.ArgumentParser(
        prog=f"lab {options.command}", description=module.__doc__
    )
    module.add_arguments(parser)
    status: int = module.run(parser.parse_args(options.rest))
    return status


if __name__ == "__main__":
    sys.exit(main())
