"""Demo rows for operator changes, process failures and planned stops."""

from __future__ import annotations

import concurrent.futures
import time

import msgspec
import openai

from lab.clients import edit_document, run_command
from lab.demo_environment import (
    DemoEnvironment,
    Row,
    ask,
    read_stream,
    wait_until,
)
from lovagestage.state.document import ClassSpec, ServiceDocument, VersionState

APPLY_TIMEOUT_S = 8.0
"""Time limit in seconds until an accepted change applies everywhere."""
ROLLOUT_CALLERS = 16
"""Number of concurrent callers during the roll-out."""
ROLLOUT_REQUESTS = range(64)
ROLLOUT_OPTIONS = (
    *("--steps", "0.5,1"),
    *("--step-min-s", "0.5"),
    *("--exposure-budget", "2000"),
    *("--max-quality-drop", "0.6"),
)
ROLLOUT_TIMEOUT_S = 20.0
"""Time limit in seconds of the roll-out."""
BILLING_TIMEOUT_S = 10.0
"""Time limit in seconds until all requests that ran are billed."""
STREAMS = 6
STREAM_TOKENS = 100
STREAM_HEAD_START_S = 0.4
"""Time in seconds between the start of the streams and the planned stop."""


def check_session(environment: DemoEnvironment) -> str:
    """Checks that a session keeps its model version after it is retired."""
    session = ask(environment, "large").session
    _set_state(environment, "large@1", VersionState.RETIRED)
    wait_until(
        lambda: ask(environment, "large", 1).version == "large@2",
        APPLY_TIMEOUT_S,
        "retiring large@1",
    )
    session_versions = [
        ask(environment, "large", i % 2, headers={"X-Session": session}).version
        for i in range(4)
    ]
    _set_state(environment, "large@1", VersionState.ACTIVE)
    assert session_versions == ["large@1"] * 4, session_versions
    return "new ones on large@2, the session on large@1 through 2 entries"


def check_rollout(environment: DemoEnvironment) -> str:
    """Checks that a roll-out completes when the answers are rated well."""
    environment.fleet.set_fault("rater", delay_s=0.1, sample_ratio=1.0)
    start_s = time.monotonic()
    command = ("rollout", "start", "large@1", "large@2")
    run_command(environment.fleet, *command, *ROLLOUT_OPTIONS)
    with concurrent.futures.ThreadPoolExecutor(ROLLOUT_CALLERS) as pool:

        def is_done() -> bool:
            list(
                pool.map(
                    lambda i: ask(environment, "large", i % 2, 1),
                    ROLLOUT_REQUESTS,
                )
            )
            return _get_phase(environment) == "done"

        wait_until(is_done, ROLLOUT_TIMEOUT_S, "the roll-out")
    spent_s = time.monotonic() - start_s
    return f"large@1 to large@2 in steps of 50 % and 100 %, {spent_s:.1f} s"


def check_withdrawal(environment: DemoEnvironment) -> str:
    """Checks that a withdrawn version gets no work and others still answer."""
    run_command(environment.fleet, "withdraw", "large@1")
    for entry in range(len(environment.fleet.entries)):
        wait_until(
            lambda entry=entry: _is_refused(environment, entry),  # type: ignore[misc]
            APPLY_TIMEOUT_S,
            "withdrawing large@1",
        )
    before = _count_tokens(environment, "large@1")
    versions = {ask(environment, "large", i % 2).version for i in range(6)}
    assert versions == {"large@2"}, versions
    assert _count_tokens(environment, "large@1") == before
    return "large@1 refused at each entry, large answers with large@2"


def check_sidecar_kill(environment: DemoEnvironment) -> str:
    """Checks that requests that may be retried survive a killed sidecar."""
    environment.fleet.kill("sidecar-0")
    for index in range(8):
        ask(environment, "small@1", index % 2)
    return "8 answers after the kill of a sidecar"


def check_sidecar_stop(environment: DemoEnvironment) -> str:
    """Checks that the planned stop of a sidecar cuts off no stream."""
    return _stop_during_streams(environment, "sidecar-1", entry=0)


def check_entry_stop(environment: DemoEnvironment) -> str:
    """Checks that the planned stop of an entry cuts off no stream."""
    return _stop_during_streams(environment, "entry-1", entry=1)


def check_usage(environment: DemoEnvironment) -> str:
    """Checks that the number of billed requests equals those that ran."""
    run_ids = _get_request_ids(environment)
    wait_until(
        lambda: _count_billed(environment) >= len(run_ids),
        BILLING_TIMEOUT_S,
        "billing",
    )
    billed = _count_billed(environment)
    assert billed == len(run_ids), f"{billed} billed, {len(run_ids)} ran"
    return f"{billed} requests ran, {billed} billed"


def _set_state(
    environment: DemoEnvironment, name: str, state: VersionState
) -> None:
    def edit(document: ServiceDocument) -> ServiceDocument:
        versions = [
            msgspec.structs.replace(v, state=state) if v.name == name else v
            for v in document.versions
        ]
        # Every request class needs an active version, so the same change adds
        # large@2 to the classes of the version whose state is set.
        classes = {
            key: _add_version(spec, name, "large@2")
            for key, spec in document.classes.items()
        }
        return msgspec.structs.replace(
            document, versions=versions, classes=classes
        )

    edit_document(environment.fleet, edit)


def _add_version(spec: ClassSpec, existing: str, added: str) -> ClassSpec:
    if existing not in spec.cascade or added in spec.cascade:
        return spec
    return msgspec.structs.replace(spec, cascade=[*spec.cascade, added])


def _get_phase(environment: DemoEnvironment) -> str:
    rows = run_command(environment.fleet, "rollout", "status")
    return str(rows[0]["phase"]) if rows else ""


def _is_refused(environment: DemoEnvironment, entry: int) -> bool:
    try:
        ask(environment, "large@1", entry)
    except openai.PermissionDeniedError:
        return True
    except openai.InternalServerError:
        # The sidecar has applied the withdrawal, but this entry has not yet.
        return False
    return False


def _stop_during_streams(
    environment: DemoEnvironment, name: str, entry: int
) -> str:
    with concurrent.futures.ThreadPoolExecutor(STREAMS) as pool:
        open_streams = [
            pool.submit(
                read_stream, environment, "small@1", entry, STREAM_TOKENS
            )
            for _ in range(STREAMS)
        ]
        time.sleep(STREAM_HEAD_START_S)
        code = environment.fleet.stop(name)
        word_counts = [stream.result() for stream in open_streams]
    assert code == 0, f"exit code {code}"
    assert word_counts == [STREAM_TOKENS] * STREAMS, word_counts
    return f"{STREAMS} streams of {STREAM_TOKENS} tokens whole, exit code 0"


def _count_tokens(environment: DemoEnvironment, version: str) -> int:
    return sum(
        environment.fleet.get_stats(engine.name)["tokens_by_model"].get(
            version, 0
        )
        for engine in environment.fleet.engines
    )


def _get_request_ids(environment: DemoEnvironment) -> set[str]:
    return {
        request_id
        for engine in environment.fleet.engines
        for request_id in environment.fleet.get_stats(engine.name)["runs"]
    }


def _count_billed(environment: DemoEnvironment) -> int:
    sums = run_command(environment.fleet, "usage")["sums"]
    return sum(int(each["requests"]) for each in sums)


OPERATION_ROWS = (
    Row("session", check_session),
    Row("roll-out", check_rollout),
    Row("withdrawn version", check_withdrawal),
    Row("upstream killed", check_sidecar_kill),
    Row("planned stop of a sidecar", check_sidecar_stop),
    Row("planned stop of an entry", check_entry_stop),
    Row("usage", check_usage),
)
