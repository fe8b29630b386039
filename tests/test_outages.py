"""Tests which lost or silent runs count as outages of their own."""

from __future__ import annotations

from lovagestage.gateway.outages import OutageTable, RunSpan
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
