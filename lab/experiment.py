"""Runs one experiment and prints its result as one JSON object."""

from __future__ import annotations

import argparse
import dataclasses
import importlib
import json
import pkgutil

import lab.experiments


def get_names() -> list[str]:
    """Returns the names of all experiments, sorted."""
    return sorted(
        module.name for module in pkgutil.iter_modules(lab.experiments.__path__)
    )


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the arguments for the experiment's name, seed and output."""
    parser.add_argument("name", choices=get_names())
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json", action="store_true", help="one line of JSON")


def run(args: argparse.Namespace) -> int:
    """Runs the experiment; returns 0 if its goals were met, else 1."""
    module = importlib.import_module(f"lab.experiments.{args.name}")
    result = module.run(args.seed)
    indent = None if args.json else 2
    print(json.dumps(dataclasses.asdict(result), indent=indent))
    return 0 if result.ok else 1
