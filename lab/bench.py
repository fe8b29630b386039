"""Runs every experiment with fixed seeds and writes JSON files and plots.

The results go to `build/bench/`: `NAME-SEED.json` for each run, `NAME.png`
with the ratio of lovagestage to the baseline by seed, and `summary.md`.
"""

from __future__ import annotations

import argparse
import dataclasses
import importlib
import json
import pathlib
import time

from lab.experiment import get_names
from lab.experiments import Result

OUTPUT = pathlib.Path("build/bench")
SEEDS = (1, 2, 3)


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the arguments for experiment names and seeds."""
    parser.add_argument("names", nargs="*", help="all if none is given")
    parser.add_argument("--seeds", type=int, nargs="+", default=list(SEEDS))


def run(args: argparse.Namespace) -> int:
    """Runs the experiments; returns 0 if every goal was met, else 1."""
    OUTPUT.mkdir(parents=True, exist_ok=True)
    results = [
        _run_experiment(name, seed)
        for name in args.names or get_names()
        for seed in args.seeds
    ]
    (OUTPUT / "summary.md").write_text(format_summary(results))
    for name in {result.name for result in results}:
        _plot(name, [result for result in results if result.name == name])
    return 0 if all(result.ok for result in results) else 1


def _run_experiment(name: str, seed: int) -> Result:
    start_s = time.monotonic()
    module = importlib.import_module(f"lab.experiments.{name}")
    result: Result = module.run(seed)
    elapsed_s = time.monotonic() - start_s
    (OUTPUT / f"{name}-{seed}.json").write_text(
        json.dumps(dataclasses.asdict(result), indent=2)
    )
    verdict = "ok" if result.ok else "GOAL MISSED"
    print(
        f"{name} seed={seed} ratio={result.ratio:.3f} {verdict}"
        f" {elapsed_s:.0f} s"
    )
    return result


def format_summary(results: list[Result]) -> str:
    """Formats a Markdown table with one row for each run."""
    rows = [
        f"| {r.name} | {r.seed} | {r.ratio:.3f} | {'yes' if r.ok else 'no'} |"
        for r in results
    ]
    return "\n".join(
        [
            "| experiment | seed | ratio | goals met |",
            "|---|---|---|---|",
            *rows,
        ]
    )


def _plot(name: str, results: list[Result]) -> None:
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(6, 3))
    seeds = [str(result.seed) for result in results]
    axes.bar(seeds, [result.ratio for result in results])
    axes.axhline(1.0, linewidth=1, color="grey")
    axes.set_xlabel("seed")
    axes.set_ylabel("lovagestage / baseline")
    axes.set_title(name)
    figure.tight_layout()
    figure.savefig(OUTPUT / f"{name}.png")
    pyplot.close(figure)
