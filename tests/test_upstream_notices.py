"""Tests of what upstreams say of themselves in their answers."""

from __future__ import annotations

import logging

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lovagestage.decisions.upstream_notices import (
    MAX_REPORTED_CHARS,
    MAX_REQUESTS_PER_S,
    MAX_REST_S,
    AnswerNotices,
    Denial,
    NoticeKind,
    UpstreamNotices,
    parse_number,
)
from lovagestage.gateway.rotation import Rotation
from lovagestage.gateway.upstream import UpstreamEntry, UpstreamState
from tests.gateway_harness import make_guard

SILENT = AnswerNotices()


def state_limit(*texts):
    return AnswerNotices(request_limit=texts)


def make_rotation(start_ms=1):
    rotation = Rotation()
    apply_entry(rotation, start_ms)
    return rotation


def apply_entry(rotation, start_ms, offset=1, is_draining=False):
    entry = UpstreamEntry(
        "pool", "h:1", "a", "v1", 4, is_draining, start_ms=start_ms
    )
    rotation.apply("i-1", entry, offset, 0.0, False)
    return rotation.get_all()[-1]


@pytest.mark.parametrize(
    ("texts", "expected"),
    [
        (("2.3",), 2.3),
        (("0",), 0.0),
        ((" 4 ",), 4.0),
        (("5", "2"), 2.0),
        (("5, 2",), 2.0),
        (("x", "2"), 2.0),
        (("",), None),
        (("x",), None),
        (("-1",), None),
        (("1_0",), None),
        (("nan",), None),
        (("inf",), None),
        (("-inf",), None),
        (("2,3.4.5",), 2.0),
        ((), None),
    ],
)
def test_unusable_numbers_are_ignored_and_the_strictest_binds(texts, expected):
    assert parse_number(texts, min) == expected


@given(st.lists(st.text(max_size=40), max_size=3))
def test_no_text_of_a_limit_is_an_error(texts):
    notices = UpstreamNotices()
    notices.record_answer(state_limit(*texts), 0.0, 0.0)
    limit_per_s = notices.limit_per_s
    assert limit_per_s is None or 0.0 <= limit_per_s <= MAX_REQUESTS_PER_S


def test_absurd_limits_are_bounded():
    notices = UpstreamNotices()
    notices.record_answer(state_limit("1e300"), 0.0, 0.0)
    assert notices.limit_per_s == MAX_REQUESTS_PER_S


def test_malformed_limits_keep_the_last_one_and_are_reported_once():
    notices = UpstreamNotices()
    notices.record_answer(state_limit("2"), 0.0, 0.0)
    changes = notices.record_answer(state_limit("x" * 900), 1.0, 1.0)
    assert [len(change.malformed) for change in changes] == [MAX_REPORTED_CHARS]
    assert notices.record_answer(state_limit("-1"), 2.0, 2.0) == []
    assert notices.limit_per_s == 2.0


def test_an_answer_that_was_overtaken_does_not_end_a_limit():
    notices = UpstreamNotices()
    notices.record_answer(state_limit("2"), 0.0, 1.0)
    assert notices.record_answer(SILENT, 0.9, 1.1) == []
    assert notices.limit_per_s == 2.0
    (change,) = notices.record_answer(SILENT, 1.2, 1.3)
    assert (change.value, change.previous) == (None, 2.0)
    assert notices.limit_per_s is None


def test_another_process_under_the_same_id_starts_without_a_limit():
    rotation = make_rotation()
    (upstream,) = rotation.get_all()
    upstream.record_answer_notices(state_limit("2"), 0.0, 0.0)
    assert upstream.notices.limit_per_s == 2.0
    assert apply_entry(rotation, 2, 2).notices.limit_per_s is None


def test_a_change_of_a_limit_is_one_log_line(caplog):
    (upstream,) = make_rotation().get_all()
    with caplog.at_level(logging.INFO):
        for text in ("2", "2", "3", "x", "y"):
            upstream.record_answer_notices(state_limit(text), 0.0, 0.0)
        upstream.record_answer_notices(SILENT, 1.0, 1.0)
    lines = [r for r in caplog.records if "notice" in r.message]
    assert [getattr(r, "value", r.message) for r in lines] == [
        2.0,
        3.0,
        "upstream_notice_malformed",
        None,
    ]


@pytest.mark.parametrize(
    ("texts", "expected"),
    [
        (("1",), True),
        ((" 1 ",), True),
        (("1", "1"), True),
        (("0", "1"), True),
        (("yes, 1",), True),
        (("0",), False),
        (("yes",), False),
        (("-1",), False),
        (("",), False),
        ((), False),
    ],
)
def test_only_a_clear_statement_means_that_an_upstream_leaves(texts, expected):
    notices = UpstreamNotices()
    notices.record_answer(AnswerNotices(leaving=texts), 0.0, 0.0)
    assert notices.is_leaving is expected


def test_an_upstream_that_has_said_that_it_leaves_does_not_return():
    rotation = make_rotation()
    (upstream,) = rotation.get_all()
    upstream.record_answer_notices(AnswerNotices(leaving=("1",)), 0.0, 0.0)
    for notices in (SILENT, AnswerNotices(leaving=("0",))):
        upstream.record_answer_notices(notices, 1.0, 1.0)
        assert upstream.notices.is_leaving
    assert not apply_entry(rotation, 2, 2).notices.is_leaving


def test_a_leaving_upstream_is_not_ready_whatever_its_entry_says():
    rotation = make_rotation()
    (upstream,) = rotation.get_all()
    guard = make_guard(rotation)
    guard.record_answer(upstream, AnswerNotices(leaving=("1",)), 0.0, 0.0)
    assert rotation.get_ready("pool") == []
    apply_entry(rotation, 1, 2)
    assert rotation.get_ready("pool") == []
    # A removal is final, though the store was away.
    rotation.apply("i-1", None, 3, 1.0, True)
    assert upstream.state is UpstreamState.GONE
    successor = apply_entry(rotation, 2, 4)
    assert rotation.get_ready("pool") == [successor]


def test_a_request_placed_before_an_upstream_said_it_leaves_is_not_sent():
    rotation = make_rotation()
    (upstream,) = rotation.get_all()
    guard = make_guard(rotation)
    assert guard.check(upstream, 0.0, is_placed=True).denial is None
    guard.record_answer(upstream, AnswerNotices(leaving=("1",)), 0.0, 0.0)
    denied = guard.check(upstream, 0.0, is_placed=True)
    assert (denied.denial, denied.wait_s) == (Denial.LEAVING, None)


def ask_for_rest(*texts, is_refusal=True):
    return AnswerNotices(rest=texts, is_refusal=is_refusal)


@pytest.mark.parametrize(
    ("texts", "expected_s"),
    [
        (("3",), 3.0),
        (("0.5",), 0.5),
        (("1", "3"), 3.0),
        (("1e300",), MAX_REST_S),
        (("0",), 0.0),
        (("-3",), 0.0),
        (("inf",), 0.0),
        (("nan",), 0.0),
        (("Wed, 21 Oct 2026 07:28:00 GMT",), 0.0),
        ((), 0.0),
    ],
)
def test_a_rest_lasts_as_long_as_was_asked_for(texts, expected_s):
    notices = UpstreamNotices()
    notices.record_answer(ask_for_rest(*texts), 0.0, 10.0)
    if expected_s:
        last_s = 10.0 + expected_s - 0.01
        assert notices.get_kinds(last_s) == [NoticeKind.REST]
    assert notices.get_kinds(10.0 + expected_s) == []


def test_only_a_refusal_asks_for_a_rest():
    notices = UpstreamNotices()
    notices.record_answer(ask_for_rest("3", is_refusal=False), 0.0, 0.0)
    assert notices.get_kinds(1.0) == []


def test_a_shorter_rest_does_not_end_a_longer_one():
    notices = UpstreamNotices()
    (change,) = notices.record_answer(ask_for_rest("3"), 0.0, 0.0)
    assert (change.kind, change.value) == (NoticeKind.REST, 3.0)
    assert notices.record_answer(ask_for_rest("1"), 0.0, 0.5) == []
    assert notices.get_kinds(2.9) == [NoticeKind.REST]


def test_another_process_under_the_same_id_starts_rested():
    rotation = make_rotation()
    (upstream,) = rotation.get_all()
    upstream.record_answer_notices(ask_for_rest("30"), 0.0, 0.0)
    assert upstream.notices.get_kinds(1.0) == [NoticeKind.REST]
    assert apply_entry(rotation, 2, 2).notices.get_kinds(1.0) == []
