"""Tests of roll-outs in real processes: interrupted, aborted and resumed."""

from __future__ import annotations

import base64
import dataclasses
import json
import time

import msgspec
import pytest

from lab.calls import call
from lab.fleet import Fleet
from lab.shapes import EXAMPLES, SHAPES
from lovagestage.cli import main
from lovagestage.settings import parse_json_file
from lovagestage.state.document import (
    RolloutSpec,
    RolloutState,
    ServiceDocument,
)
from lovagestage.state.records import RolloutProgress, decode_record

SHAPE = dataclasses.replace(SHAPES["thin"], models="small@1,large@1")
DOCUMENT = parse_json_file(EXAMPLES / "vault.jsonc", ServiceDocument)
SPEC = RolloutSpec("large@1", "large@2", [0.2, 1.0], step_min_s=1.0)
TIMEOUT_S = 25.0


@pytest.fixture
def rollout_fleet():
    fleet = Fleet(SHAPE, ("--load-ms", "400"))
    fleet.entry_options["lease_ttl_s"] = 2.0
    # These tests send no requests, so there would be no ratings. Without a
    # rater, a roll-out advances by time alone.
    fleet.has_rater = False
    with fleet:
        yield fleet


def publish(fleet, base: int, **changes) -> None:
    rollouts = {"large": msgspec.structs.replace(SPEC, **changes)}
    document = msgspec.structs.replace(DOCUMENT, rollouts=rollouts)
    fleet.publish_document(document, base)


def get_progress(fleet, capsys) -> tuple[str, int]:
    settings = str(fleet.make_operator_settings())
    capsys.readouterr()
    main(["rollout", "status", "--json", "--settings", settings])
    row = json.loads(capsys.readouterr().out)[0]
    return row["phase"], row["step"]


def wait_for_phase(fleet, capsys, *phases: str) -> None:
    end_s = time.monotonic() + TIMEOUT_S
    while (seen := get_progress(fleet, capsys))[0] not in phases:
        assert time.monotonic() < end_s, seen


def get_accepted_loads(fleet) -> dict[str, int]:
    return {
        engine.name: sum(
            order["status"] == 202
            for order in fleet.get_stats(engine.name)["orders"]
        )
        for engine in fleet.engines
    }


def read_moves(fleet) -> list[tuple[str, int]]:
    """Reads the phase and step of each recorded move, in the log's order."""
    url = f"{fleet.children['log'].url}/v1/streams/control/records"
    page = json.loads(call("GET", f"{url}?from=0&limit=1000"))
    records = [
        decode_record(base64.b64decode(each["data"]))
        for each in page["records"]
    ]
    return [
        (record.phase.value, record.step)
        for record in records
        if isinstance(record, RolloutProgress)
    ]


def get_holder(fleet) -> str:
    from lovagestage.operations.operator_client import open_client
    from lovagestage.settings import OperatorSettings

    import asyncio  # isort: skip

    path = fleet.make_operator_settings()

    async def read() -> str:
        async with open_client(
            parse_json_file(path, OperatorSettings)
        ) as client:
            return client.control.folded.leases.by_id["rollout"].holder

    return asyncio.run(read())


def test_rollout_completes_after_its_driver_is_killed(rollout_fleet, capsys):
    # The entry that drives a roll-out is killed while engines load. Another
    # entry takes the lease, reads the progress from the log and continues.
    # Each engine loads the version exactly once, and the roll-out completes.
    fleet = rollout_fleet
    publish(fleet, 1)
    wait_for_phase(fleet, capsys, "loading", "stepping")
    fleet.kill(get_holder(fleet))
    wait_for_phase(fleet, capsys, "done")
    assert get_accepted_loads(fleet) == {"engine-0": 1, "engine-1": 1}


def test_rollout_resumes_after_a_log_outage(rollout_fleet, capsys):
    # The log is unavailable during a roll-out, for longer than a step takes.
    # No move is recorded meanwhile, since the lease can't be renewed. After
    # the log recovers, the roll-out continues from the recorded step and
    # neither skips nor repeats a step.
    fleet = rollout_fleet
    publish(fleet, 1, step_min_s=3.0)
    wait_for_phase(fleet, capsys, "stepping")
    fleet.set_fault("log", outage=True)
    before = fleet.get_stats("log")["appends"]["control"]
    time.sleep(5.0)
    assert fleet.get_stats("log")["appends"]["control"] == before
    fleet.set_fault("log", outage=False)
    wait_for_phase(fleet, capsys, "done")
    assert read_moves(fleet) == [
        ("stepping", 0),
        ("stepping", 1),
        ("done", 1),
    ]


def test_aborted_rollout_rolls_back(rollout_fleet, capsys):
    fleet = rollout_fleet
    publish(fleet, 1, step_min_s=60.0)
    wait_for_phase(fleet, capsys, "stepping")
    publish(fleet, 2, step_min_s=60.0, state=RolloutState.ABORTED)
    wait_for_phase(fleet, capsys, "rolled_back")


def test_throttled_weight_store_delays_the_rollout_only(rollout_fleet, capsys):
    # The weight store refuses loads while other users exhaust its rate limit.
    # Engines reject the order without starting a load. The driver orders the
    # load again later, and no engine stays without the version.
    fleet = rollout_fleet
    fleet.set_fault("weights", throttle=True)
    publish(fleet, 1)
    time.sleep(3.0)
    assert get_progress(fleet, capsys)[0] == "loading"
    fleet.set_fault("weights", throttle=False)
    wait_for_phase(fleet, capsys, "done")
