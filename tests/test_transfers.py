"""Long answers over links that callers share."""

from __future__ import annotations

import asyncio

from hypothesis import given
from hypothesis import strategies as st

from lab.metadata_store import MetadataStore
from lab.server import start_app
from lovagestage.decisions.transfers import (
    FREE_BYTES,
    LINK_RATIO,
    MAX_PAUSE_S,
    TransferPace,
)
from lovagestage.platform.store import StoreClient

LINK_BYTES_PER_S = 625_000.0
TOPIC = "keyed.op"


def play(size, part, pace):
    """Reads parts as fast as the pace allows; returns the time it takes."""
    received, now_s = 0, 0.0
    while received < size:
        received = min(size, received + part)
        now_s += part / LINK_BYTES_PER_S
        now_s += pace.get_pause_s(received, size, now_s)
    return now_s


def test_a_large_configuration_leaves_half_of_the_link_to_callers():
    pace = TransferPace(LINK_BYTES_PER_S, 1.2)
    size = 300_000
    expected_s = (size - FREE_BYTES) / (LINK_RATIO * LINK_BYTES_PER_S)
    assert abs(play(size, 16_384, pace) - expected_s) < 0.1


def test_a_larger_one_is_read_as_fast_as_its_bound_asks():
    # Guards against a configuration that is overdue for the sake of callers.
    pace = TransferPace(LINK_BYTES_PER_S, 1.2)
    assert play(700_000, 16_384, pace) < 1.3


@given(
    size=st.integers(0, 5_000_000),
    part=st.integers(1_000, 300_000),
    longest_s=st.floats(0.1, 5.0),
)
def test_a_transfer_takes_no_longer_than_link_or_bound(size, part, longest_s):
    pace = TransferPace(LINK_BYTES_PER_S, longest_s)
    least_s = (size + part) / LINK_BYTES_PER_S
    assert play(size, part, pace) <= max(2 * least_s, longest_s) + MAX_PAUSE_S


def test_short_answers_are_read_at_once():
    pace = TransferPace(LINK_BYTES_PER_S, 1.2)
    assert pace.get_pause_s(FREE_BYTES, 2 * FREE_BYTES, 0.0) == 0.0


async def test_a_paced_read_is_whole_and_takes_its_time():
    store = MetadataStore()
    runner, port = await start_app(store.make_app(), "127.0.0.1", 0)
    value = b"x" * 1_200_000
    store.put(TOPIC, "config", value)
    client = StoreClient(
        f"127.0.0.1:{port}", pace=TransferPace(4_000_000.0, 5.0)
    )
    loop = asyncio.get_running_loop()
    began_s = loop.time()
    page = await client.read(TOPIC, 0, 0.0, 0.5)
    took_s = loop.time() - began_s
    assert page.records[0].value == value
    # All but the first and the last read, of 256 KiB at most, are paced.
    assert took_s > 0.4
    # A list that a starting gateway needs is not held back.
    began_s = loop.time()
    await client.read_newest(TOPIC, 0.5)
    assert loop.time() - began_s < 0.4
    client.close()
    await runner.cleanup()
