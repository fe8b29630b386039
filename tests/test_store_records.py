"""Tests the decoding of the store's records while an answer arrives."""

from __future__ import annotations

import struct

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lovagestage.exceptions import (
    StoreHistoryLostError,
    StoreUnavailableError,
)
from lovagestage.platform.records import PageReader, Record, encode_record

TOPIC = "keyed.op"
FIRST = 7


def make_body(values, first=0):
    records = [encode_record(TOPIC, f"k{n}", v) for n, v in enumerate(values)]
    head = struct.pack(">QQ", FIRST + len(values), first)
    return head + b"".join(records)


@given(
    st.lists(st.binary(min_size=1, max_size=60), max_size=6),
    st.lists(st.integers(0, 400), max_size=12),
)
def test_records_are_the_same_however_their_answer_is_split(values, cuts):
    body = make_body(values)
    pages = []
    reader = PageReader(TOPIC, FIRST, pages.append)
    start = 0
    for cut in [*sorted(min(cut, len(body)) for cut in cuts), len(body)]:
        reader.add_part(body[start:cut])
        start = cut
    expected = tuple(
        Record(FIRST + number, f"k{number}", value)
        for number, value in enumerate(values)
    )
    assert reader.get_page().records == expected
    assert tuple(r for page in pages for r in page.records) == expected
    assert {page.end for page in pages} == {FIRST + len(values)}


def test_dropped_records_are_reported_and_none_is_read():
    pages = []
    reader = PageReader(TOPIC, FIRST, pages.append)
    reader.add_part(make_body([b"x"], first=FIRST + 1))
    assert not pages
    with pytest.raises(StoreHistoryLostError):
        reader.get_page()


def test_answer_without_a_head_is_no_page():
    reader = PageReader(TOPIC, FIRST, lambda page: None)
    reader.add_part(b"short")
    with pytest.raises(StoreUnavailableError):
        reader.get_page()
