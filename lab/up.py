"""Runs a fleet in the foreground until Ctrl-C or SIGTERM."""

from __future__ import annotations

import argparse
import signal

from lab.fleet import Fleet
from lab.shapes import SHAPES
from lovagestage.settings import parse_json_file
from lovagestage.state.document import ServiceDocument


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the argument `--fleet`."""
    parser.add_argument("--fleet", choices=sorted(SHAPES), default="lahore")


def run(args: argparse.Namespace) -> int:
    """Starts the fleet, prints its addresses and waits for a signal to stop."""
    from lab.shapes import EXAMPLES

    shape = SHAPES[args.fleet]
    document = parse_json_file(
        EXAMPLES / f"{shape.service}.jsonc", ServiceDocument
    )
    with Fleet(shape) as fleet:
        for entry in fleet.entries:
            print(f"entry={entry.url}")
        print(f"balancer={fleet.start_balancer().url}")
        print(f"log={fleet.children['log'].url}")
        for workspace in document.workspaces:
            print(f"workspace={workspace} key=key-{workspace}")
        print(f"service={document.service}")
        print("ready", flush=True)
        # A shell starts background commands with SIGINT ignored, and an
        # ignored signal does not end `sigwait`. Without this handler, SIGINT
        # would never stop such a fleet.
        signal.signal(signal.SIGINT, signal.default_int_handler)
        signal.sigwait({signal.SIGINT, signal.SIGTERM})
    return 0
