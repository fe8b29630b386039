"""Requests that crash their upstreams, over all their tries."""

from __future__ import annotations

from lab import worker as lab
from tests.gateway_stage import run_stage

BAD = b"crash me"


async def test_a_request_that_crashes_upstreams_is_stopped_after_three():
    # A request's body crashes each upstream that runs it, and its caller
    # sends it again and again under new ids. After the third crash no
    # upstream may get it, while other requests go on being served.
    async with run_stage(workers=0) as stage:

        async def run(arrival, writer):
            if arrival.body != BAD:
                await lab.answer_plain(arrival, writer)
                return
            for worker in list(stage.workers.values()):
                if arrival in worker.arrivals:
                    await worker.stop()

        for number in range(6):
            await stage.add_worker(f"w{number}", run)
        await stage.wait_until(
            lambda: len(stage.gateway.deployment.rotation) == 6
        )
        replies = [
            await stage.call("/safe/x", body=BAD, request_id=f"b{number}")
            for number in range(4)
        ]
        crashes = sum(
            arrival.body == BAD
            for worker in stage.workers.values()
            for arrival in worker.arrivals
        )
        assert crashes == 3
        assert replies[-1].status == 503
        assert "retry-after" not in replies[-1].headers
        good = await stage.call("/safe/x", body=b"fine", request_id="g")
        assert good.status == 200


async def test_a_lost_connection_alone_is_no_crash():
    # The upstream resets each connection but takes new ones: links break.
    # The request is not suspected and may be sent again.
    async with run_stage(script=lab.reset) as stage:
        for number in range(4):
            reply = await stage.call("/safe/x", request_id=f"a{number}")
            assert reply.status == 502
        arrivals = sum(len(w.arrivals) for w in stage.workers.values())
        assert arrivals == 8
