"""The lab's substitute for the platform's log service."""

from __future__ import annotations

import asyncio
import base64
import contextlib

from aiohttp.test_utils import TestClient, TestServer

from lab.log import LogService

RECORDS = "/v1/streams/control/records"
DEADLINE_S = 10.0


@contextlib.asynccontextmanager
async def serve_log(rate_per_s=1000.0, burst=1000.0, retain_records=100):
    service = LogService(rate_per_s, burst, retain_records)
    async with TestClient(TestServer(service.app())) as client:
        yield client


async def append_record(client, data, path=RECORDS):
    response = await client.post(path, data=data)
    return response.status, await response.json()


async def read_log(client, query):
    response = await client.get(f"{RECORDS}?{query}")
    return response.status, await response.json()


def decode_records(body):
    return [
        (record["offset"], base64.b64decode(record["data"]))
        for record in body["records"]
    ]


async def test_append_whose_answer_is_lost_took_effect():
    async with serve_log() as client:
        assert await append_record(client, b"a") == (200, {"offset": 0})
        await client.post("/_faults", json={"lose_answer": 1})
        status, body = await append_record(client, b"\x00\xff")
        assert (status, body["error"]["code"]) == (500, "lost")
        assert await append_record(client, b"c") == (200, {"offset": 2})
        _, body = await read_log(client, "from=0")
        stats = await (await client.get("/_stats")).json()
    assert decode_records(body) == [(0, b"a"), (1, b"\x00\xff"), (2, b"c")]
    assert (body["first_offset"], body["next_offset"]) == (0, 3)
    assert stats["appends"] == {"control": 3}
    assert stats["lost"] == 1


async def test_read_below_the_horizon_answers_410_with_the_first_offset():
    async with serve_log(retain_records=4) as client:
        for number in range(11):
            await append_record(client, str(number).encode())
        status, body = await read_log(client, "from=6")
        assert (status, body["error"]["code"]) == (410, "below_horizon")
        assert body["first_offset"] == 7
        status, body = await read_log(client, "from=7&limit=2")
    assert status == 200
    assert decode_records(body) == [(7, b"7"), (8, b"8")]
    assert (body["first_offset"], body["next_offset"]) == (7, 11)


async def test_waiting_read_gets_the_record_when_it_comes():
    async with serve_log() as client:
        assert (await read_log(client, "from=0&wait_ms=20"))[1]["records"] == []
        read_task = asyncio.create_task(
            read_log(client, "from=0&wait_ms=10000")
        )
        await asyncio.sleep(0.05)
        assert not read_task.done()
        await append_record(client, b"other", "/v1/streams/billing/records")
        await append_record(client, b"a")
        async with asyncio.timeout(DEADLINE_S / 2):
            _, body = await read_task
    assert decode_records(body) == [(0, b"a")]


async def test_append_rate_holds_for_all_streams_together():
    async with serve_log(rate_per_s=0.001, burst=2) as client:
        billing = "/v1/streams/billing/records"
        assert (await append_record(client, b"a"))[0] == 200
        assert (await append_record(client, b"b", billing))[0] == 200
        status, body = await append_record(client, b"c")
        assert (status, body["error"]["code"]) == (429, "append_rate")
        assert body["retry_after_ms"] > 0
        _, body = await read_log(client, "from=0")
        stats = await (await client.get("/_stats")).json()
    assert decode_records(body) == [(0, b"a")]
    assert stats["appends"] == {"control": 1, "billing": 1}
    assert stats["rejected"] == 1


async def test_outage_refuses_all_calls_without_effect():
    async with serve_log() as client:
        await client.post("/_faults", json={"outage": True})
        assert (await append_record(client, b"a"))[0] == 503
        assert (await read_log(client, "from=0"))[0] == 503
        await client.post("/_faults", json={"outage": None})
        assert await append_record(client, b"b") == (200, {"offset": 0})


async def test_stalled_log_neither_answers_nor_takes_effect():
    async with serve_log() as client:
        await client.post("/_faults", json={"stall": True})
        try:
            async with asyncio.timeout(0.2):
                answer = await append_record(client, b"a")
        except TimeoutError:
            answer = None
        assert answer is None
        await client.post("/_faults", json={"stall": False})
        assert await append_record(client, b"b") == (200, {"offset": 0})
