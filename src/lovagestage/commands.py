"""The operators' commands: what they read, print and exit with."""

from __future__ import annotations

import argparse
import asyncio
import dataclasses
import difflib
import json
import pathlib
import sys
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec

from lovagestage.document import (
    RolloutSpec,
    RolloutState,
    ServiceDocument,
    VersionState,
)
from lovagestage.exceptions import (
    EXIT_CONFLICT,
    EXIT_FAILURE,
    EXIT_INVALID,
    EXIT_UNKNOWN,
    DocumentInvalidError,
    ServiceUnknownError,
)
from lovagestage.operator_client import (
    Edit,
    OperatorClient,
    PutResult,
    format_faults,
    get_services_of,
    open_client,
)
from lovagestage.outcomes import Outcome
from lovagestage.records import OperatorsChange, OperatorSpec
from lovagestage.settings import OperatorSettings, parse_file
from lovagestage.writer import make_change_id

_EXIT_CODES = {
    Outcome.ACCEPTED: 0,
    Outcome.CONFLICT: EXIT_CONFLICT,
    Outcome.INVALID: EXIT_INVALID,
    Outcome.FORBIDDEN: EXIT_INVALID,
}

Work = Callable[[OperatorClient], Awaitable[int]]


def run_with_client(options: argparse.Namespace, work: Work) -> int:
    """Runs a command that needs the log."""
    settings = parse_file(options.settings, OperatorSettings)

    async def run() -> int:
        async with open_client(settings) as client:
            return await work(client)

    return asyncio.run(run())


def run_service_get(options: argparse.Namespace) -> int:
    """Prints the document in force."""

    async def work(client: OperatorClient) -> int:
        revision, document = client.get_document(options.service)
        text = format_document(document)
        if options.json:
            print_json({"revision": revision, "document": json.loads(text)})
        else:
            print(text)
            print(f"revision {revision}", file=sys.stderr)
        return 0

    return run_with_client(options, work)


def run_service_put(options: argparse.Namespace) -> int:
    """Puts a document."""
    document = parse_file(options.file, ServiceDocument)

    async def work(client: OperatorClient) -> int:
        result = await client.put(document, options.base, options.change_id)
        return print_result(result, options.json)

    return run_with_client(options, work)


def run_service_diff(options: argparse.Namespace) -> int:
    """Compares a file with the document in force; exits 1 on a difference."""
    mine = format_document(parse_file(options.file, ServiceDocument))

    async def work(client: OperatorClient) -> int:
        service = json.loads(mine)["service"]
        revision, document = client.get_document(service)
        lines = list(
            difflib.unified_diff(
                format_document(document).splitlines(),
                mine.splitlines(),
                f"revision {revision}",
                str(options.file),
                lineterm="",
            )
        )
        if options.json:
            print_json({"revision": revision, "diff": lines})
        else:
            print("\n".join(lines))
        return EXIT_FAILURE if lines else 0

    return run_with_client(options, work)


def run_service_history(options: argparse.Namespace) -> int:
    """Prints who changed what."""

    async def work(client: OperatorClient) -> int:
        entries = await client.get_history(options.service)
        rows = [dataclasses.asdict(entry) for entry in entries]
        print_rows(rows, options.json)
        return 0

    return run_with_client(options, work)


def run_service_result(options: argparse.Namespace) -> int:
    """Prints what became of a change."""

    async def work(client: OperatorClient) -> int:
        result = client.get_result(options.change_id)
        if result is None:
            print_json({"change_id": options.change_id, "result": "unknown"})
            return EXIT_UNKNOWN
        put = PutResult(options.change_id, result.outcome, result.revision)
        return print_result(put, options.json)

    return run_with_client(options, work)


def run_service_validate(options: argparse.Namespace) -> int:
    """Checks a document without the log."""
    from lovagestage.checks import get_faults

    faults = get_faults(parse_file(options.file, ServiceDocument))
    if options.json:
        print_json({"faults": [msgspec.to_builtins(f) for f in faults]})
    elif faults:
        print(format_faults(faults))
    else:
        print(f"{options.file}: ok")
    return EXIT_INVALID if faults else 0


def run_service_schema(options: argparse.Namespace) -> int:
    """Prints the JSON Schema of documents."""
    del options
    print_json(msgspec.json.schema(ServiceDocument))
    return 0


def run_withdraw(options: argparse.Namespace) -> int:
    """Withdraws a version: no work at all from now on."""

    async def work(client: OperatorClient) -> int:
        service = resolve_service(client, options.service, options.version)
        result = await client.edit(service, make_withdrawal(options.version))
        return print_result(result, options.json)

    return run_with_client(options, work)


def run_rollout_status(options: argparse.Namespace) -> int:
    """Prints the roll-outs of all services."""

    async def work(client: OperatorClient) -> int:
        rows = [
            {
                "service": rollout.progress.key.service,
                "model": rollout.progress.key.model,
                "old": rollout.spec.old,
                "new": rollout.spec.new,
                "state": rollout.spec.state.value,
                "phase": rollout.progress.phase.value,
                "step": rollout.progress.step,
                "share": rollout.get_share(),
                "stop_reason": rollout.progress.stop_reason,
            }
            for rollout in client.control.folded.rollouts.get_all()
        ]
        print_rows(rows, options.json)
        return 0

    return run_with_client(options, work)


def run_rollout_start(options: argparse.Namespace) -> int:
    """Starts or resumes a roll-out."""
    spec = RolloutSpec(
        options.old, options.new, options.steps, options.step_min_s
    )
    return _run_rollout_edit(options, options.new, spec)


def run_rollout_change(options: argparse.Namespace) -> int:
    """Pauses or aborts a roll-out."""
    return _run_rollout_edit(options, options.model, options.state)


def _run_rollout_edit(
    options: argparse.Namespace, name: str, wanted: RolloutSpec | RolloutState
) -> int:
    model = name.partition("@")[0]

    async def work(client: OperatorClient) -> int:
        service = resolve_service(client, options.service, name)
        result = await client.edit(service, make_rollout_edit(model, wanted))
        return print_result(result, options.json)

    return run_with_client(options, work)


def run_operators_put(options: argparse.Namespace) -> int:
    """Replaces the list of operators; the settings hold the root key."""
    specs = parse_file(options.file, list[OperatorSpec])

    async def work(client: OperatorClient) -> int:
        change = OperatorsChange(
            make_change_id(), options.base, specs, options.next_root_key
        )
        return print_result(await client.put_operators(change), options.json)

    return run_with_client(options, work)


def run_operators_keygen(options: argparse.Namespace) -> int:
    """Prints a new key pair of an operator or of the root."""
    import nacl.signing

    del options
    key = nacl.signing.SigningKey.generate()
    print_json(
        {
            "signing_key": bytes(key).hex(),
            "public_key": bytes(key.verify_key).hex(),
        }
    )
    return 0


def run_status(options: argparse.Namespace) -> int:
    """Prints what is in force where; exits 1 where a process is behind."""

    async def work(client: OperatorClient) -> int:
        statuses = await client.get_status()
        folded = client.control.folded
        revisions = {n: h.revision for n, h in folded.services.items()}
        everywhere = all(s.heard and not s.behind for s in statuses)
        if options.json:
            print_json(
                {
                    "revisions": revisions,
                    "in_force_everywhere": everywhere,
                    "processes": [dataclasses.asdict(s) for s in statuses],
                }
            )
        else:
            for name, revision in revisions.items():
                print(f"service {name} revision {revision}")
            print_rows([dataclasses.asdict(s) for s in statuses], False)
        return 0 if everywhere else EXIT_FAILURE

    return run_with_client(options, work)


def run_dump(options: argparse.Namespace) -> int:
    """Prints one process's state."""

    async def work(client: OperatorClient) -> int:
        print_json(json.loads(await client.get_dump(options.address)))
        return 0

    return run_with_client(options, work)


def make_withdrawal(version: str) -> Edit:
    """An edit that withdraws a version and aborts roll-outs to it."""

    def edit(document: ServiceDocument) -> ServiceDocument:
        versions = [
            msgspec.structs.replace(v, state=VersionState.WITHDRAWN)
            if v.name == version
            else v
            for v in document.versions
        ]
        rollouts = {
            model: spec
            for model, spec in document.rollouts.items()
            if version not in (spec.old, spec.new)
        }
        return msgspec.structs.replace(
            document, versions=versions, rollouts=rollouts
        )

    return edit


def make_rollout_edit(model: str, wanted: RolloutSpec | RolloutState) -> Edit:
    """An edit that sets a model's roll-out, or only its state."""

    def edit(document: ServiceDocument) -> ServiceDocument:
        if isinstance(wanted, RolloutSpec):
            spec = wanted
        elif model in document.rollouts:
            spec = msgspec.structs.replace(
                document.rollouts[model], state=wanted
            )
        else:
            raise DocumentInvalidError(
                f"rollouts.{model}: There is no roll-out of this model."
            )
        rollouts = {**document.rollouts, model: spec}
        return msgspec.structs.replace(document, rollouts=rollouts)

    return edit


def resolve_service(
    client: OperatorClient, service: str | None, version: str
) -> str:
    """The service meant: the named one, or the only one with the version.

    Raises:
        ServiceUnknownError: None or several have it.
    """
    if service is not None:
        return service
    documents = {n: h.document for n, h in client.control.services.items()}
    names = get_services_of(documents, version)
    if len(names) != 1:
        raise ServiceUnknownError(
            f"Services with {version!r}: {sorted(names)}; expected one, or"
            " name it with --service."
        )
    return names[0]


def format_document(document: ServiceDocument) -> str:
    """A document as indented JSON."""
    return msgspec.json.format(msgspec.json.encode(document), indent=2).decode()


def print_result(result: PutResult, as_json: bool) -> int:
    """Prints what became of a change; returns the exit code."""
    if as_json:
        print_json(msgspec.to_builtins(result))
    else:
        print(
            f"{result.outcome.value} revision={result.revision}"
            f" change_id={result.change_id}"
        )
    return _EXIT_CODES[result.outcome]


def print_json(value: Any) -> None:
    """Prints one JSON value."""
    print(json.dumps(value, indent=2))


def print_rows(rows: list[dict[str, Any]], as_json: bool) -> None:
    """Prints rows as JSON, or as columns for a terminal."""
    if as_json:
        print_json(rows)
        return
    if not rows:
        return
    cells = [list(rows[0])] + [[str(v) for v in r.values()] for r in rows]
    widths = [max(len(row[i]) for row in cells) for i in range(len(cells[0]))]
    for row in cells:
        line = "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        )
        print(line.rstrip())


def add_service_parsers(commands: Any) -> None:
    """Adds the operators' commands to the command line."""
    service = commands.add_parser(
        "service", help="read and change a service's document"
    ).add_subparsers(metavar="VERB", required=True)
    get = _add(service, "get", run_service_get, "print the document in force")
    get.add_argument("service")
    put = _add(service, "put", run_service_put, "put a document in force")
    put.add_argument("file", type=pathlib.Path)
    put.add_argument(
        "--base",
        type=int,
        required=True,
        metavar="REVISION",
        help="revision that was edited; 0 for a new service",
    )
    put.add_argument("--change-id", help="repeat a change whose result is lost")
    diff = _add(service, "diff", run_service_diff, "compare a file with it")
    diff.add_argument("file", type=pathlib.Path)
    history = _add(
        service, "history", run_service_history, "who changed it, and when"
    )
    history.add_argument("service")
    result = _add(
        service, "result", run_service_result, "what became of a change"
    )
    result.add_argument("change_id")
    validate = _add(
        service, "validate", run_service_validate, "check a file", False
    )
    validate.add_argument("file", type=pathlib.Path)
    _add(service, "schema", run_service_schema, "print the schema", False)
    _add_rollout_parsers(commands)
    _add_operators_parsers(commands)
    withdraw = _add(
        commands, "withdraw", run_withdraw, "give a version no more work"
    )
    withdraw.add_argument("version", metavar="MODEL@VERSION")
    withdraw.add_argument("--service")
    _add(commands, "status", run_status, "what is in force everywhere")
    dump = _add(commands, "dump", run_dump, "one process's state as JSON")
    dump.add_argument("address", metavar="HOST:PORT")


def _add_rollout_parsers(commands: Any) -> None:
    rollout = commands.add_parser(
        "rollout", help="start and steer roll-outs"
    ).add_subparsers(metavar="VERB", required=True)
    _add(rollout, "status", run_rollout_status, "print all roll-outs")
    start = _add(rollout, "start", run_rollout_start, "start or resume one")
    start.add_argument("old", metavar="MODEL@OLD")
    start.add_argument("new", metavar="MODEL@NEW")
    start.add_argument("--service")
    start.add_argument(
        "--steps",
        type=_parse_steps,
        default=[0.01, 0.1, 0.5, 1.0],
        help="shares of traffic, such as 0.01,0.1,1",
    )
    start.add_argument(
        "--step-min-s",
        type=float,
        default=60.0,
        help="shortest time at a step, in seconds",
    )
    for verb, state in (
        ("pause", RolloutState.PAUSED),
        ("abort", RolloutState.ABORTED),
    ):
        change = _add(rollout, verb, run_rollout_change, f"{verb} one")
        change.add_argument("model")
        change.add_argument("--service")
        change.set_defaults(state=state)


def _add_operators_parsers(commands: Any) -> None:
    operators = commands.add_parser(
        "operators", help="who may edit which team's documents"
    ).add_subparsers(metavar="VERB", required=True)
    put = _add(operators, "put", run_operators_put, "replace the list")
    put.add_argument("file", type=pathlib.Path)
    put.add_argument("--base", type=int, required=True, metavar="REVISION")
    put.add_argument("--next-root-key", default="", metavar="HEX")
    _add(operators, "keygen", run_operators_keygen, "make a key pair", False)


def _parse_steps(text: str) -> list[float]:
    return [float(step) for step in text.split(",")]


def _add(
    commands: Any,
    name: str,
    run: Callable[[argparse.Namespace], int],
    text: str,
    needs_log: bool = True,
) -> argparse.ArgumentParser:
    parser: argparse.ArgumentParser = commands.add_parser(
        name, help=text, description=text
    )
    parser.add_argument("--json", action="store_true", help="print JSON")
    if needs_log:
        parser.add_argument(
            "--settings",
            type=pathlib.Path,
            required=True,
            metavar="FILE",
            help="the operator's settings",
        )
    parser.set_defaults(run=run)
    return parser
