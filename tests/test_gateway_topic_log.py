"""Tests the log of a topic, filled from the store and from watchers."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from lovagestage.gateway.topic_log import MAX_RECENT_RECORDS, TopicLog
from lovagestage.platform.records import Record


def make_records(first, end):
    return [Record(n, "key", b"%d" % n) for n in range(first, end)]


@given(st.randoms(use_true_random=False), st.integers(1, 30))
def test_each_record_counts_once_and_in_order(rng, end):
    # The store answers a held read and a watcher sends the same records. Some
    # datagrams arrive out of order, arrive twice or are lost.
    log = TopicLog(0)
    counted = []
    for _ in range(40):
        first = rng.randrange(end)
        records = make_records(first, rng.randint(first, end))
        if rng.random() < 0.5 and first <= log.end:
            counted += log.add(records)
        else:
            rng.shuffle(records)
            counted += log.add_relayed(records)
    counted += log.add(make_records(log.end, end))
    assert counted == make_records(0, end)
    assert log.end == end


def test_a_follower_gets_all_it_lacks_or_nothing():
    # With a record missing, the follower would treat the later records as the
    # complete list.
    log = TopicLog(10)
    assert log.get_recent(10) == ()
    log.add(make_records(10, 20))
    assert log.get_recent(15) == make_records(15, 20)
    assert log.get_recent(9) == ()
    log.add(make_records(20, 20 + MAX_RECENT_RECORDS))
    assert log.get_recent(19) == ()
    assert len(log.get_recent(20)) == MAX_RECENT_RECORDS


def test_records_are_discarded_with_the_history():
    # The store has dropped its history, and the newest record of each key is
    # read again. Records from before must not be sent to followers as if they
    # were the complete list.
    log = TopicLog(0)
    log.add(make_records(0, 5))
    log.add_relayed(make_records(7, 9))
    log.restart(None)
    assert log.add_relayed(make_records(5, 7)) == ()
    log.restart(7)
    assert log.get_recent(4) == ()
    assert log.add_relayed(make_records(7, 8)) == tuple(make_records(7, 8))
