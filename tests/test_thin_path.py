"""Full request path with real processes and the unmodified OpenAI client."""

from __future__ import annotations

import http.client
import json
import socket

import openai
import pytest

from lab.answers import generate_answer_tokens, join_messages
from lab.demo import make_client

MESSAGES = [{"role": "user", "content": "Explain the failed snapshot"}]


def get_expected_text(version: str, tokens: int) -> str:
    return "".join(
        generate_answer_tokens(join_messages(MESSAGES), version, tokens)
    )


def post(
    fleet, body: bytes, key: str = "key-audit", path="/v1/chat/completions"
):
    connection = http.client.HTTPConnection(
        "127.0.0.1", fleet.entries[0].port, timeout=30
    )
    connection.request("POST", path, body, {"Authorization": f"Bearer {key}"})
    response = connection.getresponse()
    return response, json.loads(response.read())


def test_plain_answer_is_whole(fleet):
    answer = make_client(fleet).chat.completions.create(
        model="large@1", messages=MESSAGES, max_tokens=24
    )
    assert answer.choices[0].message.content == get_expected_text("large@1", 24)
    assert answer.usage.completion_tokens == 24


@pytest.mark.parametrize("entry", [0, 1])
def test_streamed_answer_is_whole(fleet, entry):
    stream = make_client(fleet, entry=entry).chat.completions.create(
        model="large@2", messages=MESSAGES, max_tokens=40, stream=True
    )
    text = "".join(chunk.choices[0].delta.content or "" for chunk in stream)
    assert text == get_expected_text("large@2", 40)


def test_each_request_runs_once(fleet):
    raw_response = make_client(fleet).chat.completions.with_raw_response.create(
        model="small@1", messages=MESSAGES
    )
    request_id = raw_response.headers["X-Request-Id"]
    runs = [
        fleet.get_stats(engine.name)["runs"].get(request_id, 0)
        for engine in fleet.engines
    ]
    assert sum(runs) == 1


def test_models_lists_what_the_workspace_may_use(fleet):
    names = [model.id for model in make_client(fleet, "trial").models.list()]
    assert names == ["vault", "small@1"]


def make_body(model: str) -> bytes:
    return json.dumps({"model": model, "messages": MESSAGES}).encode()


@pytest.mark.parametrize(
    ("body", "key", "status", "code"),
    [
        (make_body("vault"), "key-nobody", 401, "invalid_api_key"),
        (make_body("missing"), "key-audit", 404, "model_not_found"),
        (make_body("large@1"), "key-trial", 403, "model_not_allowed"),
        (b'{"model": "vault",', "key-audit", 400, "malformed_request"),
        (b'{"model": 7}', "key-audit", 400, "malformed_request"),
        (b" " * 20_000_000, "key-audit", 413, "body_too_large"),
    ],
)
def test_bad_request_is_refused_with_its_code(fleet, body, key, status, code):
    response, answer = post(fleet, body, key)
    assert (response.status, answer["error"]["code"]) == (status, code)
    assert answer["error"]["run"] == "not_run"
    assert make_client(fleet).models.list().data


def test_half_sent_request_is_refused(fleet):
    with socket.create_connection(("127.0.0.1", fleet.entries[0].port)) as peer:
        peer.sendall(
            b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
            b"Authorization: Bearer key-audit\r\nContent-Length: 500\r\n\r\n{"
        )
        peer.settimeout(20)
        head = peer.recv(65536).decode()
    assert head.startswith("HTTP/1.1 408")
    assert "incomplete_body" in head
    assert make_client(fleet).models.list().data


def test_error_of_the_client_library_is_typed(fleet):
    with pytest.raises(openai.PermissionDeniedError) as caught:
        make_client(fleet, "trial").chat.completions.create(
            model="large@1", messages=MESSAGES
        )
    assert caught.value.code == "model_not_allowed"
