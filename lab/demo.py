"""Shows each thing that the product does, on a fleet of real processes."""

from __future__ import annotations

import argparse
import dataclasses
import pathlib
import time
from collections.abc import Callable

import openai

from lab.fleet import SHAPES, Fleet

MESSAGE = "Explain the failed snapshot of Tuesday night"
ROW = "{:<28} {:<6} {:>7} ms  {}"


@dataclasses.dataclass(frozen=True)
class Row:
    """One line of the table."""

    name: str
    check: Callable[[Fleet], str]


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds `--binary`."""
    parser.add_argument(
        "--binary",
        type=pathlib.Path,
        help="run the daemons from this file instead of the source",
    )


def run(args: argparse.Namespace) -> int:
    """Runs all rows; 0 only where every row held."""
    failures = 0
    with Fleet(SHAPES["lahore"], binary=args.binary) as fleet:
        for row in ROWS:
            failures += not _run_row(row, fleet)
    print("all rows held" if not failures else f"{failures} rows failed")
    return 1 if failures else 0


def _run_row(row: Row, fleet: Fleet) -> bool:
    start_s = time.monotonic()
    try:
        shown, held = row.check(fleet), True
    except (AssertionError, openai.OpenAIError, OSError) as error:
        shown, held = f"{type(error).__name__}: {error}", False
    spent_ms = round((time.monotonic() - start_s) * 1000)
    print(ROW.format(row.name, "held" if held else "FAILED", spent_ms, shown))
    return held


def make_client(
    fleet: Fleet, workspace: str = "audit", entry: int = 0
) -> openai.OpenAI:
    """An unmodified OpenAI client for one workspace."""
    return openai.OpenAI(
        base_url=f"{fleet.entries[entry].url}/v1", api_key=f"key-{workspace}"
    )


def check_plain(fleet: Fleet) -> str:
    """A plain answer by service name."""
    answer = make_client(fleet).chat.completions.create(
        model="vault", messages=[{"role": "user", "content": MESSAGE}]
    )
    text = answer.choices[0].message.content or ""
    assert answer.usage is not None
    assert len(text.split()) == answer.usage.completion_tokens
    return f"{answer.model}, {answer.usage.completion_tokens} tokens"


def check_streamed(fleet: Fleet) -> str:
    """A streamed answer has the same text as a plain one."""
    client = make_client(fleet, entry=1)
    stream = client.chat.completions.create(
        model="large@1",
        messages=[{"role": "user", "content": MESSAGE}],
        stream=True,
        stream_options={"include_usage": True},
    )
    text, usage = "", None
    for chunk in stream:
        usage = chunk.usage or usage
        if chunk.choices:
            text += chunk.choices[0].delta.content or ""
    assert usage is not None
    assert len(text.split()) == usage.completion_tokens
    return f"{usage.completion_tokens} tokens, usage in the last chunk"


def check_models(fleet: Fleet) -> str:
    """A workspace sees only what it may use."""
    names = [m.id for m in make_client(fleet, "trial").models.list()]
    assert names == ["vault", "small@1"], names
    return ", ".join(names)


def check_refused(fleet: Fleet) -> str:
    """A model that the workspace may not use is refused, and not run."""
    try:
        make_client(fleet, "trial").chat.completions.create(
            model="large@1", messages=[{"role": "user", "content": MESSAGE}]
        )
    except openai.PermissionDeniedError as error:
        assert error.response.headers["X-Run-State"] == "not_run"
        return f"{error.status_code} {error.code}, not_run"
    raise AssertionError("The request was not refused.")


def check_killed(fleet: Fleet) -> str:
    """A repeatable request outlives the kill of an upstream's sidecar."""
    fleet.kill("sidecar-0")
    client = make_client(fleet)
    for _ in range(8):
        client.chat.completions.create(
            model="small@1", messages=[{"role": "user", "content": MESSAGE}]
        )
    return "8 answers after the kill of a sidecar"


ROWS = (
    Row("plain", check_plain),
    Row("streamed", check_streamed),
    Row("models of a workspace", check_models),
    Row("refused", check_refused),
    Row("upstream killed", check_killed),
)
