"""Tests the conversion of the platform's formats to this project's types."""

from __future__ import annotations

import json

import h11
import pytest
from hypothesis import given
from hypothesis import strategies as st

from lovagestage.decisions.upstream_notices import AnswerNotices
from lovagestage.decisions.warmup import Warmup
from lovagestage.exceptions import CallerMessageError, CodecError, SettingsError
from lovagestage.gateway.configuration import RouteKind
from lovagestage.gateway.messages import OutgoingCall
from lovagestage.gateway.rollouts import OutcomeRecord, RolloutOutcome
from lovagestage.platform.configuration import (
    decode_configuration,
    decode_order,
    decode_outcome,
    decode_upstream,
    encode_outcome,
    parse_evacuation_key,
    parse_order_key,
)
from lovagestage.platform.headers import (
    decode_answer,
    decode_event_id,
    decode_request,
    encode_request,
)
from lovagestage.platform.settings import decode_settings
from tests.gateway_harness import (
    KEY,
    make_configuration,
    make_route,
    make_settings_text,
)

REQUEST = [
    (b"Host", b"ficu95.example"),
    (b"Attempt-Id", b"a1"),
    (b"Model-Name", b"*"),
    (b"Token-Usage", b"1460,80"),
    (b"Prefix-Hash", b"5c1e07a2:800,91bd3f06:410,e4402b7d:250"),
    (b"Deadline-Ms", b"8000"),
    (b"Session", b"s1"),
    (b"Authorization", f"Token {KEY}".encode()),
]


def decode(headers):
    event = h11.Request(method=b"POST", target=b"/a/b?c=1", headers=headers)
    return decode_request(event)


def test_decodes_a_request():
    request = decode(REQUEST)
    assert (request.id, request.key, request.model) == ("a1", KEY, "*")
    assert (request.path, request.target) == ("/a/b", b"/a/b?c=1")
    assert request.budget_s == 8.0
    assert [part.tokens for part in request.prompt_segments] == [800, 410, 250]
    assert request.prefix_key == "91bd3f06"
    assert request.prompt_tokens == 1460
    assert request.session == "s1"


def test_passes_prompt_headers_on_and_sets_its_own():
    call = OutgoingCall(decode(REQUEST), "i-1", 7.5, "clinic", "small", "12", 3)
    headers = {n.lower(): v for n, v in encode_request(call)}
    assert headers[b"model-name"] == b"small"
    assert headers[b"token-usage"] == b"1460,80"
    assert headers[b"prefix-hash"].startswith(b"5c1e07a2:800")
    assert headers[b"deadline-ms"] == b"7500"
    assert headers[b"last-event-id"] == b"12"
    assert headers[b"tenant-id"] == b"clinic"
    assert headers[b"expected-instance"] == b"i-1"
    assert b"authorization" not in headers


@pytest.mark.parametrize(
    "key", [b"Bearer x", b"Token", b"", b"token", b"Basic Token x"]
)
def test_other_forms_of_a_key_are_no_key(key):
    headers = [*REQUEST[:-1], (b"Authorization", key)]
    assert not decode(headers).key


@pytest.mark.parametrize("name", [b"Attempt-Id", b"Deadline-Ms"])
def test_headers_that_decide_may_stand_once(name):
    with pytest.raises(CallerMessageError):
        decode([*REQUEST, (name, b"1")])


def test_an_answer_that_says_it_did_not_run():
    event = h11.Response(status_code=503, headers=[(b"Not-Executed", b"1")])
    assert decode_answer(event).is_not_run
    event = h11.Response(status_code=503, headers=[])
    assert not decode_answer(event).is_not_run
    event = h11.Response(status_code=421, headers=[])
    assert decode_answer(event).is_not_run


def test_decodes_an_answers_connection_headers():
    event = h11.Response(
        status_code=200,
        headers=[
            (b"Keep-Alive", b"timeout=3, max=9"),
            (b"Confidence", b"42"),
            (b"Response-Signature", b"s"),
            (b"Connection", b"Close"),
        ],
    )
    head = decode_answer(event)
    assert (head.idle_timeout_s, head.confidence) == (3.0, 42.0)
    assert head.is_signed
    assert head.closes_connection
    assert dict(head.headers) == {
        b"Confidence": b"42",
        b"Response-Signature": b"s",
    }


@pytest.mark.parametrize(
    ("status", "is_refusal"), [(503, True), (429, False), (200, False)]
)
def test_decodes_what_an_upstream_says_of_itself(status, is_refusal):
    headers = [
        (b"Server-Limit", b"2.5"),
        (b"server-limit", b"3"),
        (b"Server-Leaving", b"1"),
        (b"Retry-After", b"0.5"),
    ]
    event = h11.Response(status_code=status, headers=headers)
    expected = AnswerNotices(("2.5", "3"), ("1",), ("0.5",), is_refusal)
    assert decode_answer(event).notices == expected


def test_decodes_event_ids():
    assert decode_event_id(b"weight-versions: 3\nid: 12\ndata: x\n\n") == "12"
    assert decode_event_id(b"id:7\r\ndata: x\r\n\r\n") == "7"
    assert decode_event_id(b"data: x\n\n") is None


def test_decodes_a_configuration():
    backends = [
        {"Service": "a", "Weight": 90},
        {"Service": "b", "Weight": 10},
    ]
    routes = [
        make_route("s", "streaming", Resumable=True, Sizes=["m0", "m1"]),
        make_route("w", Backends=backends),
        make_route("n", "something-new"),
    ]
    fields = make_configuration(7, routes)
    found = decode_configuration(json.dumps(fields).encode())
    stream = found.get_route("ficu95.example", "/s/x")
    split = found.get_route("ficu95.example", "/w/x")
    assert found.version == 7
    assert (stream.kind, stream.may_run_again) == (RouteKind.STREAM, True)
    assert stream.models == ("m0", "m1")
    assert [b.weight for b in split.backends] == [90.0, 10.0]
    assert found.keys[KEY].name == "clinic"
    assert found.limits.head_timeout_s == 0.5
    # Requests of an unknown kind of route must not run twice, which is the safe
    # assumption.
    other = found.get_route("ficu95.example", "/n/x")
    assert (other.kind, other.may_run_again) == (RouteKind.UNSAFE, False)


@given(st.binary(max_size=60) | st.just(b'{"Version":1,"Routes":[{}]}'))
def test_records_that_cannot_be_read_have_one_error(data):
    for decode_record in (
        decode_configuration,
        decode_upstream,
        decode_order,
        decode_outcome,
    ):
        with pytest.raises(CodecError):
            decode_record(data)


def test_outcomes_can_be_read_again():
    for outcome in RolloutOutcome:
        record = OutcomeRecord("v2", outcome, 9, 0.1)
        assert decode_outcome(encode_outcome(record)) == record
    assert parse_order_key("rollout/pool") == "pool"
    assert parse_order_key("config") is None


def test_decodes_settings_and_names_the_line_at_fault():
    text = make_settings_text(1, 2, 3)
    found = decode_settings(text, "boot.conf")
    assert found.store_address == "127.0.0.1:3"
    assert found.bounds.revoke_s == 1.5
    with pytest.raises(SettingsError, match=r"boot.conf:3: .*Frontend"):
        decode_settings(text.replace(":1\n", ":x\n"), "boot.conf")
    with pytest.raises(SettingsError, match="RevokeMs"):
        decode_settings(text.replace("RevokeMs=1500", "RevokeMs=-1"), "f")


def test_decodes_warmup_rates_and_allowed_regions():
    services = [
        {"Name": "pool", "WarmupS": 3.0, "WarmupPerS": 14.0},
        {"Name": "plain", "WarmupS": 0.0, "WarmupPerS": 0.0},
        {"Name": "older", "HealthPath": "/healthz"},
    ]
    route = {
        "Hostname": "h",
        "PathPrefix": "/p/",
        "Service": "pool",
        "AllowedRegions": ["east"],
    }
    tenants = [
        {"Name": "one", "ApiKeys": ["k1"], "AllowedRegions": ["west"]},
        {"Name": "two", "ApiKeys": ["k2"], "AllowedRegions": []},
    ]
    data = json.dumps(
        {
            "Version": 1,
            "Services": services,
            "Routes": [route],
            "Tenants": tenants,
        }
    )
    configuration = decode_configuration(data.encode())
    assert configuration.warmups == {"pool": Warmup(3.0, 14.0)}
    assert configuration.get_route("h", "/p/x").allowed_regions == {"east"}
    assert configuration.keys["k1"].allowed_regions == {"west"}
    assert configuration.keys["k2"].allowed_regions is None


def test_only_orders_for_zones_name_one():
    assert parse_evacuation_key("evacuate/lhr-johar") == "lhr-johar"
    assert parse_evacuation_key("rollout/pool") is None
    assert parse_evacuation_key("config") is None
