"""Reports of how far a gateway is behind a topic of the store."""

from __future__ import annotations

import logging

from lovagestage.gateway.exposition import Exposition, Series
from lovagestage.gateway.topic_lag import TopicLag
from tests.test_gateway_feeds import TOPIC, run_feed, run_store, wait_until


def test_lag_counts_from_first_known_unread_record():
    lag = TopicLag()
    lag.record_end(3, 3, 10.0)
    assert lag.get_age_s(11.0) == 0.0
    lag.record_end(4, 3, 12.0)
    lag.record_end(6, 3, 13.0)
    assert lag.get_age_s(14.0) == 2.0
    # Reading a part of the missing records does not end the lag.
    assert lag.record_known_end(5, 14.5) is None
    assert lag.get_age_s(15.0) == 3.0
    lag.record_known_end(6, 15.0)
    assert lag.get_age_s(16.0) == 0.0


def test_lag_is_reported_each_time_that_it_has_doubled():
    lag = TopicLag()
    lag.record_end(4, 3, 0.0)
    times_s = [step / 10 for step in range(100)]
    reported = [t for t in times_s if lag.check_report_due(t) is not None]
    assert reported == [1.0, 2.0, 4.0, 8.0]
    assert lag.record_known_end(4, 10.0) == 10.0


def test_short_lag_is_not_reported():
    lag = TopicLag()
    lag.record_end(4, 3, 0.0)
    assert lag.check_report_due(0.5) is None
    assert lag.record_known_end(4, 0.6) is None


async def test_log_line_of_a_lost_read_states_received_bytes(caplog):
    async with run_store() as (store, client):
        async with run_feed(client) as (_, listener):
            await wait_until(lambda: listener.confirmations)
            with caplog.at_level(logging.WARNING):
                store.faults.break_after_bytes = 5000
                store.append_keyed(TOPIC, "config", b"x" * 9000)
                await wait_until(
                    lambda: len(get_lost_records(caplog)) >= 3, 6.0
                )
    lost_records = get_lost_records(caplog)
    assert [line.failures for line in lost_records[:3]] == [1, 2, 4]
    assert lost_records[0].received_bytes == 5000
    assert lost_records[0].expected_bytes > 9000


def get_lost_records(caplog):
    return [r for r in caplog.records if r.message == "store_lost"]


def test_metrics_page_lists_histograms_last():
    exposition = Exposition()
    exposition.observe(Series.ANSWER_S, 'kind="safe"', 0.1)
    exposition.add_gauge(Series.FRESHNESS_CHECK_AGE_S, lambda: 1.0)
    text = exposition.format_text()
    assert text.index("proof_age_seconds 1") < text.index("answer_seconds_")
