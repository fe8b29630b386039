"""Operators' commands: their input, their output and their exit codes."""

from __future__ import annotations

import argparse
import asyncio
import dataclasses
import difflib
import json
import sys
from collections.abc import Awaitable, Callable

import msgspec

from lovagestage.control.writer import make_change_id
from lovagestage.exceptions import (
    EXIT_FAILURE,
    EXIT_INVALID,
    EXIT_UNKNOWN,
)
from lovagestage.operations.edits import (
    make_rollout_edit,
    make_withdrawal_edit,
    resolve_service,
)
from lovagestage.operations.operator_client import (
    OperatorClient,
    PutResult,
    format_faults,
    open_client,
)
from lovagestage.operations.printing import (
    format_document,
    print_json,
    print_result,
    print_rows,
)
from lovagestage.settings import OperatorSettings, parse_json_file
from lovagestage.state.document import (
    RolloutSpec,
    RolloutState,
    ServiceDocument,
)
from lovagestage.state.records import OperatorsChange, OperatorSpec

ClientCommand = Callable[[OperatorClient], Awaitable[int]]


def run_with_client(
    options: argparse.Namespace, run_command: ClientCommand
) -> int:
    """Runs a command that needs a client of the log.

    Args:
        options: Parsed options; `settings` is the operator's settings file.
        run_command: Called with a client that has read the log to its end.

    Returns:
        The exit code that the command returned.
    """
    settings = parse_json_file(options.settings, OperatorSettings)

    async def run() -> int:
        async with open_client(settings) as client:
            return await run_command(client)

    return asyncio.run(run())


def run_service_get(options: argparse.Namespace) -> int:
    """Prints the document in force and its revision."""

    async def run_command(client: OperatorClient) -> int:
        revision, document = client.get_document(options.service)
        text = format_document(document)
        if options.json:
            print_json({"revision": revision, "document": json.loads(text)})
        else:
            print(text)
            print(f"revision {revision}", file=sys.stderr)
        return 0

    return run_with_client(options, run_command)


def run_service_put(options: argparse.Namespace) -> int:
    """Appends a document to the log and prints the outcome."""
    document = parse_json_file(options.file, ServiceDocument)

    async def run_command(client: OperatorClient) -> int:
        result = await client.put(document, options.base, options.change_id)
        return print_result(result, options.json)

    return run_with_client(options, run_command)


def run_service_diff(options: argparse.Namespace) -> int:
    """Compares a file with the document in force; exits 1 on a difference."""
    local_text = format_document(parse_json_file(options.file, ServiceDocument))

    async def run_command(client: OperatorClient) -> int:
        service = json.loads(local_text)["service"]
        revision, document = client.get_document(service)
        lines = list(
            difflib.unified_diff(
                format_document(document).splitlines(),
                local_text.splitlines(),
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

    return run_with_client(options, run_command)


def run_service_history(options: argparse.Namespace) -> int:
    """Prints the changes of a service and their authors."""

    async def run_command(client: OperatorClient) -> int:
        entries = await client.get_history(options.service)
        rows = [dataclasses.asdict(entry) for entry in entries]
        print_rows(rows, options.json)
        return 0

    return run_with_client(options, run_command)


def run_service_result(options: argparse.Namespace) -> int:
    """Prints the outcome of a change; returns EXIT_UNKNOWN if there is none."""

    async def run_command(client: OperatorClient) -> int:
        result = client.get_result(options.change_id)
        if result is None:
            print_json({"change_id": options.change_id, "result": "unknown"})
            return EXIT_UNKNOWN
        put_result = PutResult(
            options.change_id, result.outcome, result.revision
        )
        return print_result(put_result, options.json)

    return run_with_client(options, run_command)


def run_service_validate(options: argparse.Namespace) -> int:
    """Checks a document file without access to the log."""
    from lovagestage.operations.checks import find_faults

    faults = find_faults(parse_json_file(options.file, ServiceDocument))
    if options.json:
        print_json({"faults": [msgspec.to_builtins(f) for f in faults]})
    elif faults:
        print(format_faults(faults))
    else:
        print(f"{options.file}: ok")
    return EXIT_INVALID if faults else 0


def run_service_schema(options: argparse.Namespace) -> int:
    """Prints the JSON Schema of service documents."""
    del options
    print_json(msgspec.json.schema(ServiceDocument))
    return 0


def run_withdraw(options: argparse.Namespace) -> int:
    """Withdraws a version, so that no more requests are sent to it."""

    async def run_command(client: OperatorClient) -> int:
        service = resolve_service(client, options.service, options.version)
        result = await client.edit(
            service, make_withdrawal_edit(options.version)
        )
        return print_result(result, options.json)

    return run_with_client(options, run_command)


def run_rollout_status(options: argparse.Namespace) -> int:
    """Prints the roll-outs of all services and their progress."""

    async def run_command(client: OperatorClient) -> int:
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

    return run_with_client(options, run_command)


def run_rollout_start(options: argparse.Namespace) -> int:
    """Starts a roll-out, or resumes a paused one."""
    spec = RolloutSpec(
        options.old,
        options.new,
        options.steps,
        options.step_min_s,
        options.exposure_budget,
        options.max_quality_drop,
    )
    return _run_rollout_edit(options, options.new, spec)


def run_rollout_change(options: argparse.Namespace) -> int:
    """Pauses or aborts the roll-out of a model."""
    return _run_rollout_edit(options, options.model, options.state)


def _run_rollout_edit(
    options: argparse.Namespace, name: str, target: RolloutSpec | RolloutState
) -> int:
    model = name.partition("@")[0]

    async def run_command(client: OperatorClient) -> int:
        service = resolve_service(client, options.service, name)
        result = await client.edit(service, make_rollout_edit(model, target))
        return print_result(result, options.json)

    return run_with_client(options, run_command)


def run_operators_put(options: argparse.Namespace) -> int:
    """Replaces the list of operators; the settings must hold the root key."""
    specs = parse_json_file(options.file, list[OperatorSpec])

    async def run_command(client: OperatorClient) -> int:
        change = OperatorsChange(
            make_change_id(), options.base, specs, options.next_root_key
        )
        return print_result(await client.put_operators(change), options.json)

    return run_with_client(options, run_command)


def run_operators_keygen(options: argparse.Namespace) -> int:
    """Generates and prints a key pair for an operator or for the root key."""
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
    """Prints the configuration in force at each process.

    Returns:
        Exit code; 1 if a process did not answer or is behind.
    """

    async def run_command(client: OperatorClient) -> int:
        statuses = await client.get_status()
        folded = client.control.folded
        revisions = {
            service_name: in_force.revision
            for service_name, in_force in folded.services.items()
        }
        is_everywhere = all(s.heard and not s.behind for s in statuses)
        if options.json:
            print_json(
                {
                    "revisions": revisions,
                    "in_force_everywhere": is_everywhere,
                    "processes": [dataclasses.asdict(s) for s in statuses],
                }
            )
        else:
            for name, revision in revisions.items():
                print(f"service {name} revision {revision}")
            print_rows([dataclasses.asdict(s) for s in statuses], False)
        return 0 if is_everywhere else EXIT_FAILURE

    return run_with_client(options, run_command)


def run_dump(options: argparse.Namespace) -> int:
    """Prints the state of one process."""

    async def run_command(client: OperatorClient) -> int:
        print_json(json.loads(await client.get_dump(options.address)))
        return 0

    return run_with_client(options, run_command)
