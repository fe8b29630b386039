"""The run state of a refusal before the claim, with a key that has run."""

from __future__ import annotations

import json
import time
import urllib.error
import urllib.request

import msgspec
import pytest

from lab.fleet import Fleet
from lab.shapes import EXAMPLES, SHAPES
from lovagestage.settings import parse_json_file
from lovagestage.state.document import ServiceDocument

LIMIT_BYTES = 50_000
IN_FORCE_S = 8.0
LARGE_BODY = "x" * LIMIT_BYTES


@pytest.fixture(scope="module")
def fleet():
    """`used` has run; then the workspace loses the model and its route."""
    with Fleet(
        SHAPES["thin"], entry_options={"max_body_bytes": LIMIT_BYTES}
    ) as running_fleet:
        assert send_request(running_fleet, "used", entry=0)[0] == 200
        document = parse_json_file(EXAMPLES / "vault.jsonc", ServiceDocument)
        audit = msgspec.structs.replace(
            document.workspaces["audit"], allowed=["small"]
        )
        workspaces = {**document.workspaces, "audit": audit}
        changed = msgspec.structs.replace(
            document, workspaces=workspaces, routes=[]
        )
        running_fleet.publish_document(changed, 1)
        end_s = time.monotonic() + IN_FORCE_S
        while (
            send_request(running_fleet, "probe", "other")[1]
            != "model_not_allowed"
        ):
            assert time.monotonic() < end_s
        yield running_fleet


def send_request(fleet, key, prompt="draft", entry=1, path="chat", **headers):
    body = {
        "model": "large@1",
        "max_tokens": 4,
        "messages": [{"role": "user", "content": prompt}],
    }
    url = f"{fleet.entries[entry].url}/v1/chat/completions"
    request = urllib.request.Request(
        url if path == "chat" else f"{fleet.entries[entry].url}{path}",
        json.dumps(body).encode(),
        {
            "Authorization": "Bearer key-audit",
            "Idempotency-Key": key,
            **{name.replace("_", "-"): v for name, v in headers.items()},
        },
    )
    try:
        with urllib.request.urlopen(request, timeout=20) as response:
            return response.status, "", ""
    except urllib.error.HTTPError as http_error:
        error = json.loads(http_error.read())["error"]
        return http_error.code, error["code"], error["run"]


@pytest.mark.parametrize(
    ("key", "more", "code", "run"),
    [
        ("used", {}, "model_not_allowed", "unknown"),
        ("used", {"X_Session": "wrong"}, "session_invalid", "unknown"),
        ("used", {"Authorization": "Bearer x"}, "invalid_api_key", "unknown"),
        ("used", {"prompt": LARGE_BODY}, "body_too_large", "unknown"),
        ("used", {"path": "/portal/x"}, "route_not_found", "unknown"),
        ("used", {"prompt": "other"}, "model_not_allowed", "not_run"),
        ("new", {}, "model_not_allowed", "not_run"),
        ("new", {"prompt": LARGE_BODY}, "body_too_large", "not_run"),
        ("k" * 300, {}, "model_not_allowed", "not_run"),
    ],
)
def test_refusal_before_the_claim_reports_an_earlier_run(
    fleet, key, more, code, run
):
    # The caller's first request ran, but the caller lost its answer. Before
    # the caller retries through another entry, the workspace loses the model.
    # If the refusal said `not_run`, the caller would conclude that the first
    # request was not run either, and send it elsewhere with another key.
    assert send_request(fleet, key, **more)[1:] == (code, run)
