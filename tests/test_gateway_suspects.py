"""Requests that crash their upstreams, over all their attempts."""

from __future__ import annotations

from lab import worker as lab
from tests.gateway_harness import run_gateway_harness

CRASHING_BODY = b"crash me"


async def test_a_request_that_crashes_upstreams_is_stopped_after_three():
    # A request's body crashes each upstream that runs it, and its caller sends
    # it repeatedly under new ids. After the third crash no upstream may
    # receive it, while other requests are still served.
    async with run_gateway_harness(workers=0) as harness:

        async def run(arrival, writer):
            if arrival.body != CRASHING_BODY:
                await lab.answer_plain(arrival, writer)
                return
            for worker in list(harness.workers.values()):
                if arrival in worker.arrivals:
                    await worker.stop()

        for number in range(6):
            await harness.add_worker(f"w{number}", run)
        await harness.wait_until(
            lambda: len(harness.gateway.deployment.rotation) == 6
        )
        replies = [
            await harness.call(
                "/safe/x", body=CRASHING_BODY, request_id=f"b{number}"
            )
            for number in range(4)
        ]
        crashes = sum(
            arrival.body == CRASHING_BODY
            for worker in harness.workers.values()
            for arrival in worker.arrivals
        )
        assert crashes == 3
        assert replies[-1].status == 503
        assert "retry-after" not in replies[-1].headers
        good = await harness.call("/safe/x", body=b"fine", request_id="g")
        assert good.status == 200


async def test_a_lost_connection_alone_is_no_crash():
    # The upstream resets each connection but accepts new ones, as after a
    # failure of a network link. The request is not suspected and may be sent
    # again.
    async with run_gateway_harness(script=lab.reset) as harness:
        for number in range(4):
            reply = await harness.call("/safe/x", request_id=f"a{number}")
            assert reply.status == 502
        arrivals = sum(len(w.arrivals) for w in harness.workers.values())
        assert arrivals == 8
