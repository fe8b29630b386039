"""Tests the limits of what is read of an upstream's answer."""

from __future__ import annotations

import h11
import pytest
from hypothesis import given
from hypothesis import strategies as st

from lovagestage.decisions.read_limits import (
    FRAMING_RATIO,
    MAX_DROPPED_BYTES,
    MAX_DROPPED_S,
    MAX_FRAMING_BYTES,
    MAX_HEAD_BYTES,
    MAX_HEAD_S,
    MAX_INTERIM_HEADS,
    AnswerMeter,
    AnswerPart,
)
from lovagestage.exceptions import AttemptFailedError
from lovagestage.gateway import streams
from lovagestage.gateway.streams import (
    MAX_EMPTY_EVENTS,
    MAX_EVENT_PARTS,
    EventSplitter,
)
from lovagestage.platform.headers import decode_answer


def test_a_head_has_a_limit_in_bytes_and_in_time():
    meter = AnswerMeter(0.0)
    assert meter.find_excess(100.0) is None
    meter.add_received(MAX_HEAD_BYTES, 100.0)
    assert meter.find_excess(100.0 + MAX_HEAD_S) is None
    assert meter.find_excess(100.1 + MAX_HEAD_S) == "head_time"
    meter.add_received(1, 100.0)
    assert meter.find_excess(100.0) == "head_bytes"


def test_interim_heads_are_few_and_may_be_followed_by_a_long_wait():
    meter = AnswerMeter(0.0)
    for _ in range(MAX_INTERIM_HEADS):
        meter.add_received(20, 0.0)
        meter.add_interim_head()
    assert meter.find_excess(100.0) is None
    meter.add_interim_head()
    assert meter.find_excess(100.0) == "interim_heads"


@given(st.lists(st.integers(3, 4096), max_size=200))
def test_a_body_in_chunks_of_three_bytes_and_more_is_no_excess(sizes):
    meter = AnswerMeter(0.0)
    meter.begin(AnswerPart.BODY, 0.0)
    for size in sizes:
        meter.add_received(size + len(b"%x\r\n\r\n" % size), 0.0)
        meter.add_content(size)
    assert meter.find_excess(1000.0) is None


def test_framing_of_a_body_has_a_limit():
    meter = AnswerMeter(0.0)
    meter.begin(AnswerPart.BODY, 0.0)
    meter.add_received(MAX_FRAMING_BYTES + int(FRAMING_RATIO) + 1, 0.0)
    meter.add_content(1)
    assert meter.find_excess(0.0) is None
    meter.add_received(1, 0.0)
    assert meter.find_excess(0.0) == "framing_bytes"


def test_what_is_dropped_has_a_limit_in_bytes_and_in_time():
    meter = AnswerMeter(0.0)
    meter.begin(AnswerPart.DROPPED, 10.0)
    meter.add_received(MAX_DROPPED_BYTES, 10.0)
    assert meter.find_excess(10.0 + MAX_DROPPED_S) is None
    assert meter.find_excess(10.1 + MAX_DROPPED_S) == "dropped_time"
    meter.add_received(1, 10.0)
    assert meter.find_excess(10.0) == "dropped_bytes"


def test_an_event_in_too_many_parts_is_a_failure():
    splitter = EventSplitter()
    for _ in range(MAX_EVENT_PARTS):
        assert splitter.split(b"x") == []
    with pytest.raises(AttemptFailedError):
        splitter.split(b"x")


def test_a_long_event_may_come_in_packets():
    splitter = EventSplitter()
    for _ in range(2 * MAX_EVENT_PARTS):
        assert splitter.split(b"x" * 1400) == []
    assert len(splitter.split(b"\n\n")) == 1


@pytest.mark.parametrize("event", [b"\n\n", b": still here\n\n"])
def test_events_that_hold_nothing_are_few(event):
    splitter = EventSplitter()
    assert len(splitter.split(event * MAX_EMPTY_EVENTS)) == MAX_EMPTY_EVENTS
    with pytest.raises(AttemptFailedError):
        splitter.split(event * 2)


@given(
    st.lists(
        st.sampled_from([b"id: 1\n", b"data: x\n", b"\n", b"\r\n", b"data: y"]),
        max_size=30,
    ),
    st.integers(1, 9),
)
def test_events_are_the_same_however_they_are_cut(pieces, size):
    data = b"".join(pieces)
    parts = [data[i : i + size] for i in range(0, len(data), size)]
    splitter = EventSplitter()
    try:
        events = [event for part in parts for event in splitter.split(part)]
    except AttemptFailedError:
        return
    assert events == EventSplitter().split(data)


@pytest.mark.parametrize("since_s", [30.0, 0.0])
def test_comments_that_waited_for_a_slow_caller_are_no_excess(
    monkeypatch, since_s
):
    # Those of half a minute are read at once when the caller reads again.
    now_s = 100.0
    monkeypatch.setattr(streams, "get_elapsed_s", lambda: now_s)
    splitter = EventSplitter()
    now_s += since_s
    comments = b": still here\n\n" * (2 * MAX_EMPTY_EVENTS)
    if since_s:
        assert len(splitter.split(comments)) == 2 * MAX_EMPTY_EVENTS
        return
    with pytest.raises(AttemptFailedError):
        splitter.split(comments)


def decode_head(*headers):
    fields = [(b"Attempt-Id", b"a1"), *headers]
    return decode_answer(h11.Response(status_code=200, headers=fields))


def test_a_length_beside_chunks_is_none():
    # Such an answer may have no end, and had the limit of a stated length.
    chunked = (b"Transfer-Encoding", b"chunked")
    assert decode_head((b"Content-Length", b"5")).length_bytes == 5
    assert decode_head((b"Content-Length", b"5"), chunked).length_bytes is None
