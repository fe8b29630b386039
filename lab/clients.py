"""Clients of a fleet: the OpenAI library, plain HTTP and operator commands."""

from __future__ import annotations

import functools
import json
import os
import pathlib
import subprocess
import sys
import urllib.error
import urllib.request
from collections.abc import Callable
from typing import Any

import msgspec
import openai

from lab.fleet import Fleet
from lovagestage.state.document import ServiceDocument

TIMEOUT_S = 30.0
"""Time limit in seconds of an operator command and of a plain call's waits."""
_ROOT = pathlib.Path(__file__).parent.parent


class CommandError(Exception):
    """An operator command ended with a non-zero exit code."""


class Answer(msgspec.Struct, frozen=True):
    """The response to a call of a plain service.

    Attributes:
        status: HTTP status.
        run: Run state reported with a refusal; empty for an answer.
        body: Response body.
    """

    status: int
    run: str
    body: bytes


def make_client(
    fleet: Fleet, workspace: str = "audit", entry: int = 0
) -> openai.OpenAI:
    """Returns an unmodified OpenAI client for one workspace and one entry."""
    return _open_client(f"{fleet.entries[entry].url}/v1", f"key-{workspace}")


@functools.lru_cache(maxsize=64)
def _open_client(url: str, key: str) -> openai.OpenAI:
    # Clients are cached: creating one takes some 40 ms of CPU time.
    return openai.OpenAI(base_url=url, api_key=key)


def call_plain(
    url: str, workspace: str, key: str = "", body: bytes = b""
) -> Answer:
    """Sends a POST request to a plain service through an entry.

    Args:
        url: URL of the service at the entry.
        workspace: Workspace whose API key is used.
        key: Idempotency key; none is sent if empty.
        body: Request body.
    """
    headers = {"Authorization": f"Bearer key-{workspace}"}
    if key:
        headers["Idempotency-Key"] = key
    request = urllib.request.Request(url, body, headers, method="POST")
    try:
        with urllib.request.urlopen(request, timeout=TIMEOUT_S) as response:
            return Answer(response.status, "", response.read())
    except urllib.error.HTTPError as error:
        run = error.headers.get("X-Run-State", "")
        return Answer(error.code, run, error.read())


def run_command(fleet: Fleet, *arguments: str) -> Any:
    """Runs an operator command as a process and returns its JSON output.

    Raises:
        CommandError: The command's exit code is not 0.
    """
    settings = fleet.make_operator_settings()
    if arguments[0] == "usage":
        target_options = ("--log", fleet.children["log"].url)
    else:
        target_options = ("--settings", str(settings))
    completed = subprocess.run(
        [
            sys.executable,
            "-m",
            "lovagestage",
            *arguments,
            "--json",
            *target_options,
        ],
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
        check=False,
        env={**os.environ, "PYTHONPATH": f"{_ROOT / 'src'}"},
    )
    if completed.returncode != 0:
        raise CommandError(
            f"{' '.join(arguments)}: {completed.stderr or completed.stdout}"
        )
    return json.loads(completed.stdout)


Edit = Callable[[ServiceDocument], ServiceDocument]


def edit_document(fleet: Fleet, edit: Edit) -> None:
    """Edits the fleet's service document with the operator commands."""
    service = fleet.shape.service
    output = run_command(fleet, "service", "get", service)
    document = msgspec.convert(output["document"], ServiceDocument)
    path = fleet.folder / "edited.json"
    path.write_bytes(msgspec.json.encode(edit(document)))
    base = str(output["revision"])
    run_command(fleet, "service", "put", str(path), "--base", base)
