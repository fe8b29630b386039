"""Tests which lost or silent runs count as outages of their own."""

from __future__ import annotations

from lovagestage.gateway.outages import REPEAT_S, OutageTable, RunSpan
from lovagestage.gateway.rollout_evidence import AnswerQuality

LOST, SILENT = AnswerQuality.LOST, AnswerQuality.SILENT
GOOD, SLOW = AnswerQuality.GOOD, AnswerQuality.SLOW


def record(table, quality, begun_s, age_s, has_answered=False):
    return table.record("n1", quality, RunSpan(begun_s, has_answered), age_s)


def test_requests_lost_together_count_once():
    # One by one, those that a crash ends would stop a good version, also where
    # their streams had begun or an answer from before the crash is read late.
    table = OutageTable()
    assert record(table, LOST, 4.0, 5.0, True)
    assert not record(table, LOST, 4.9, 5.1, True)
    assert record(table, GOOD, 4.8, 5.2)
    assert not record(table, LOST, 4.9, 6.0, True)
    assert not record(table, LOST, 5.1, 6.0)


def test_an_outage_after_an_answer_counts_anew():
    # A version that breaks off most of its streams was counted once for each
    # upstream.
    for quality in (GOOD, SLOW):
        table = OutageTable()
        assert record(table, LOST, 4.0, 5.0)
        assert record(table, quality, 5.5, 5.6)
        assert record(table, LOST, 5.7, 5.8)
        assert record(table, LOST, 5.9, 6.0, True)


def test_a_version_of_which_nothing_answers_counts_again():
    # Two upstreams are on trial, and their silence counted once for each: too
    # little to stop a version that answers nothing.
    table = OutageTable()
    assert record(table, SILENT, 4.0, 5.0)
    assert not record(table, SILENT, 5.0 + 0.5 * REPEAT_S, 7.0)
    assert record(table, SILENT, 5.1 + REPEAT_S, 7.0)
    assert not record(table, SILENT, 5.2 + REPEAT_S, 7.1)


def test_a_crash_beside_upstreams_that_answer_counts_once():
    # The crash of two upstreams would end the roll-out of a good version if
    # each request that is sent there counted.
    table = OutageTable()
    assert record(table, SILENT, 4.0, 5.0)
    table.record_data(5.5)
    assert not record(table, SILENT, 9.0, 9.5)
