"""The operators' commands, run against a fleet of real processes."""

from __future__ import annotations

import json
import time

import openai
import pytest

from lab.demo import make_client
from lovagestage.cli import main
from lovagestage.exceptions import (
    EXIT_CONFLICT,
    EXIT_FAILURE,
    EXIT_INVALID,
    EXIT_UNKNOWN,
)
from tests.test_thin_path import MESSAGES


@pytest.fixture
def run(fleet, capsys):
    settings = str(fleet.make_operator_settings())

    def run_command(*arguments, with_log=True):
        extra = ["--settings", settings] if with_log else []
        code = main([*arguments, *extra])
        captured = capsys.readouterr()
        return code, captured.out, captured.err

    return run_command


@pytest.fixture
def document(run, tmp_path):
    _, out, _ = run("service", "get", "vault", "--json")
    answer = json.loads(out)
    path = tmp_path / "vault.json"

    def write_document(**changes):
        path.write_text(json.dumps({**answer["document"], **changes}))
        return str(path)

    return answer["revision"], write_document


def test_put_is_accepted_once_and_conflicts_for_the_loser(run, document):
    revision, write_document = document
    path = write_document(sessions={"idle_timeout_s": 1800.0})
    code, out, _ = run("service", "put", path, "--base", str(revision))
    assert (code, out.split()[:2]) == (
        0,
        ["accepted", f"revision={revision + 1}"],
    )
    code, out, _ = run("service", "put", path, "--base", str(revision))
    assert (code, out.split()[0]) == (EXIT_CONFLICT, "conflict")
    assert run("service", "diff", path)[0] == 0


def test_invalid_document_is_refused_with_path_and_reason(run, document):
    revision, write_document = document
    path = write_document(routes=[{"prefix": "/v1/x/", "pool": "p"}])
    code, _, err = run("service", "put", path, "--base", str(revision))
    assert code == EXIT_INVALID
    assert "routes[0].prefix" in err
    assert run("service", "validate", path, with_log=False)[0] == EXIT_INVALID


def test_change_is_in_the_history_with_its_author(run, document):
    revision, write_document = document
    arguments = ("--base", str(revision), "--change-id", f"id-{revision}")
    assert run("service", "put", write_document(), *arguments)[0] == 0
    _, out, _ = run("service", "history", "vault", "--json")
    last = json.loads(out)[-1]
    assert (last["author"], last["change_id"]) == ("lab", f"id-{revision}")
    assert run("service", "result", f"id-{revision}")[0] == 0
    assert run("service", "result", "never-made")[0] == EXIT_UNKNOWN


def test_rollout_is_started_paused_and_aborted(run):
    assert run("rollout", "start", "large@1", "large@2")[0] == 0
    assert run("rollout", "pause", "large@2")[0] == 0
    _, out, _ = run("rollout", "status", "--json")
    assert json.loads(out)[0]["state"] == "paused"
    assert run("rollout", "abort", "large@2")[0] == 0
    start = ("rollout", "start", "large@1", "large@9")
    code, _, err = run(*start, "--service", "vault")
    assert (code, "rollouts.large.new" in err) == (EXIT_INVALID, True)
    code, _, err = run(*start)
    assert (code, "unknown_service" in err) == (EXIT_FAILURE, True)


def test_status_says_when_a_change_is_in_force_everywhere(run, document):
    revision, write_document = document
    run("service", "put", write_document(), "--base", str(revision))
    end_s = time.monotonic() + 8
    while run("status")[0] != 0:
        assert time.monotonic() < end_s
    # Lease and member records continue to arrive while the processes are
    # queried, so state hashes are comparable only at equal offsets.
    hashes_by_offset, vms_by_offset = {}, {}
    while not any(len(vms) == 4 for vms in vms_by_offset.values()):
        assert time.monotonic() < end_s, vms_by_offset
        _, out, _ = run("status", "--json")
        processes = json.loads(out)["processes"]
        assert len(processes) == 4
        for process in processes:
            offset = process["offset"]
            hashes_by_offset.setdefault(offset, set()).add(
                process["state_hash"]
            )
            vms_by_offset.setdefault(offset, set()).add(process["vm"])
    assert all(len(hashes) == 1 for hashes in hashes_by_offset.values())


def test_dump_shows_state_and_no_secret(run, fleet):
    code, out, _ = run("dump", fleet.children["entry-0"].bus)
    dump = json.loads(out)
    assert (code, dump["role"]) == (0, "entry")
    assert {u["vm"] for u in dump["upstreams"]} == {"sidecar-0", "sidecar-1"}
    assert "secret" not in out
    assert "key-" not in out


def test_withdrawn_version_gets_no_new_work_within_seconds(run, fleet):
    # A caller requests a version by name after an operator has withdrawn it.
    # Once `status` reports that the withdrawal is in force everywhere, every
    # entry must refuse the request and no engine may run the version.
    assert run("withdraw", "large@2")[0] == 0
    end_s = time.monotonic() + 8
    while run("status")[0] != 0:
        assert time.monotonic() < end_s
    for entry in (0, 1):
        with pytest.raises(openai.PermissionDeniedError) as caught:
            make_client(fleet, entry=entry).chat.completions.create(
                model="large@2", messages=MESSAGES
            )
        assert caught.value.response.headers["X-Run-State"] == "not_run"


def test_completion_prints_a_shell_script(run):
    code, out, _ = run("completion", "bash", with_log=False)
    assert code == 0
    assert "rollout" in out
