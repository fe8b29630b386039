"""Deferrable requests that an entry promises to answer by a deadline."""

from __future__ import annotations

import heapq
import time

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lab.experiments import deadline as experiment
from lovagestage.decisions.deadlines import (
    DeferralQueue,
    DeferredRequest,
    SlotSpec,
)
from lovagestage.entry.deferral_service import (
    DeferralService,
    resolve_deadline_s,
)
from lovagestage.exceptions import MalformedRequestError, NoCapacityError
from lovagestage.execution.request import Request
from lovagestage.state.document import ClassSpec
from lovagestage.types import (
    ModelId,
    ModelVersion,
    RequestId,
    ServiceId,
    VersionId,
    WorkspaceId,
)

SPEC = SlotSpec(2, 10.0, 0.0)

jobs = st.lists(
    st.tuples(
        st.floats(0, 30),
        st.integers(1, 100),
        st.floats(0.5, 60),
        st.floats(0.1, 1.0),
    ),
    max_size=30,
)


def simulate(arrivals, spec=SPEC):
    """Simulates the runs; returns ends and deadlines of admitted requests."""
    queue = DeferralQueue(spec, 100)
    ends: list[tuple[float, str, float]] = []
    actual: dict[str, float] = {}
    done = []

    def start_runs(now_s):
        while (job := queue.start_next(now_s)) is not None:
            run_s = spec.get_run_s(job.tokens) * actual[job.request_id]
            end = (now_s + run_s, job.request_id, job.deadline_s)
            heapq.heappush(ends, end)

    def run_until(limit_s):
        while ends and ends[0][0] <= limit_s:
            end_s, name, deadline_s = heapq.heappop(ends)
            done.append((end_s, deadline_s))
            queue.remove(RequestId(name))
            start_runs(end_s)

    for index, (at_s, tokens, wait_s, duration_ratio) in enumerate(
        sorted(arrivals)
    ):
        run_until(at_s)
        name = RequestId(str(index))
        actual[name] = duration_ratio
        queue.try_enqueue(DeferredRequest(at_s + wait_s, name, tokens), at_s)
        start_runs(at_s)
    run_until(float("inf"))
    return done


@settings(max_examples=150, deadline=None)
@given(jobs)
def test_all_that_is_admitted_is_done_in_time(arrivals):
    # Requests arrive with deadlines in any order, and some can't finish in
    # time. An admitted request may not become late because a later one was
    # admitted as well.
    assert all(end_s <= deadline_s for end_s, deadline_s in simulate(arrivals))


def test_new_request_may_not_displace_an_admitted_one():
    # With the safety ratio, the slot is booked until 10 s. A request with an
    # earlier deadline would finish in time itself, but would delay an admitted
    # one beyond its deadline.
    queue = DeferralQueue(SlotSpec(1, 10.0, 0.0), 10)
    assert queue.try_enqueue(DeferredRequest(10.0, RequestId("a"), 40), 0.0)
    assert queue.try_enqueue(DeferredRequest(12.0, RequestId("b"), 40), 0.0)
    assert not queue.try_enqueue(DeferredRequest(9.0, RequestId("c"), 20), 0.0)


def test_work_that_can_be_done_is_admitted():
    # Both slots are free and no deadline is close.
    queue = DeferralQueue(SPEC, 10)
    admitted = [
        queue.try_enqueue(DeferredRequest(100.0, RequestId(str(i)), 40), 0.0)
        for i in range(10)
    ]
    assert all(admitted)


def test_earliest_deadline_starts_first():
    # Ten requests with a late deadline are queued before one with an early
    # deadline.
    queue = DeferralQueue(SPEC, 20)
    for index in range(10):
        queue.try_enqueue(
            DeferredRequest(100.0, RequestId(str(index)), 40), 0.0
        )
    assert queue.try_enqueue(DeferredRequest(6.0, RequestId("urgent"), 40), 0.0)
    assert queue.start_next(0.0).request_id == "urgent"


def test_running_requests_keep_to_the_slots():
    queue = DeferralQueue(SPEC, 10)
    for index in range(5):
        queue.try_enqueue(
            DeferredRequest(100.0, RequestId(str(index)), 10), 0.0
        )
    started = [queue.start_next(0.0) for _ in range(3)]
    assert [request is not None for request in started] == [True, True, False]
    queue.remove(RequestId("0"))
    assert queue.start_next(1.0) is not None


def test_abandoned_request_frees_its_slot():
    # A caller disconnects while its request waits. The capacity that was booked
    # for the request has to become available to the next one.
    queue = DeferralQueue(SlotSpec(1, 10.0, 0.0), 10)
    assert queue.try_enqueue(DeferredRequest(13.0, RequestId("a"), 100), 0.0)
    later_request = DeferredRequest(14.0, RequestId("b"), 100)
    assert not queue.try_enqueue(later_request, 0.0)
    queue.remove(RequestId("a"))
    assert queue.try_enqueue(later_request, 0.0)


def test_full_queue_refuses():
    queue = DeferralQueue(SPEC, 1)
    assert queue.try_enqueue(DeferredRequest(100.0, RequestId("a"), 1), 0.0)
    assert not queue.try_enqueue(DeferredRequest(100.0, RequestId("b"), 1), 0.0)


def test_jobs_are_done_in_time_beside_till_lookups():
    # Nightly batch jobs arrive together while till lookups are served, and a
    # rush of lookups follows. All admitted jobs finish in time and the lookups
    # become at most 10% slower.
    result = experiment.run(11)
    assert result.ok, result
    assert result.lovagestage["jobs_done"] > experiment.JOBS / 3


async def test_promised_request_outlasts_a_full_pool():
    # The slot becomes free while urgent requests fill all upstreams, so the run
    # is refused as not run. Forwarding the refusal to the caller would break
    # the promise; the run is retried and answered instead.
    request = Request(
        RequestId("r"),
        WorkspaceId("w"),
        ServiceId("s"),
        ModelVersion(ModelId("m"), VersionId("1")),
        3,
        True,
        time.monotonic() + 30,
        False,
        b"",
        deferrable=True,
    )
    refusals = [NoCapacityError("full", retry_after_s=1)]

    async def stream_chunks():
        if refusals:
            raise refusals.pop()
        yield b"whole"

    service = DeferralService(DeferralQueue(SPEC, 1))
    chunks = service.run(request, 10, False, stream_chunks)
    assert [chunk async for chunk in chunks] == [b"whole"]
    assert service.get_sizes() == {"waiting": 0, "open": 0}


def test_deadline_comes_from_the_caller_before_the_class():
    spec = ClassSpec(["m@1"], deadline_s=60.0)
    assert resolve_deadline_s("5", {"deadline_s": "9"}, spec) == 5
    assert resolve_deadline_s(None, {"deadline_s": "9"}, spec) == 9
    assert resolve_deadline_s(None, None, spec) == 60


@pytest.mark.parametrize("text", ["soon", "-1", "0", "nan", "inf"])
def test_wrong_deadline_is_malformed(text):
    with pytest.raises(MalformedRequestError):
        resolve_deadline_s(text, None, ClassSpec(["m@1"]))
