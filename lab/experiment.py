"""Runs one experiment and prints one JSON object."""

from __future__ import annotations

import argparse
import dataclasses
import importlib
import json
import pkgutil

import lab.experiments


def get_names() -> list[str]:
    """Names of all experiments."""
    return sorted(
        module.name for module in pkgutil.iter_modules(lab.experiments.__path__)
    )


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the experiment's name and seed."""
    parser.add_argument("name", choices=get_names())
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json", action="store_true", help="one line of JSON")


def run(args: argparse.Namespace) -> int:
    """Runs the experiment; 0 where its goals were met."""
    module = importlib.import_module(f"lab.experiments.{args.name}")
    result = module.run(args.seed)
    indent = None if args.json else 2
    print(json.dumps(dataclasses.asdict(result), indent=indent))
    return 0 if result.ok else 1
