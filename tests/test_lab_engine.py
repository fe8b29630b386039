"""The lab's simulated model engine."""

from __future__ import annotations

import asyncio
import contextlib
import json
import pathlib
import signal
import sys

import aiohttp
from aiohttp.test_utils import TestClient, TestServer

from lab.answers import generate_answer_tokens, join_messages
from lab.batch import Timing
from lab.engine import Engine, EngineOptions

MODEL = "small@1"
MESSAGES = [{"role": "user", "content": "what is lovage"}]
FAST = Timing(base_ttft_ms=1, token_ms=1, token_ms_per_running=0)
ONE_AT_A_TIME = Timing(
    max_batch=1, base_ttft_ms=1, token_ms=2, token_ms_per_running=0
)
ROOT = pathlib.Path(__file__).resolve().parent.parent
DEADLINE_S = 10.0


@contextlib.asynccontextmanager
async def serve_engine(timing=FAST, **options):
    engine = Engine(EngineOptions(models=[MODEL], timing=timing, **options))
    async with TestClient(TestServer(engine.app())) as client:
        yield engine, client


def send_chat_request(client, request_id, priority=0, **body):
    return client.post(
        "/v1/chat/completions",
        json={"model": MODEL, "messages": MESSAGES, **body},
        headers={"X-Request-Id": request_id, "X-Priority": str(priority)},
    )


async def wait_until(condition):
    async with asyncio.timeout(DEADLINE_S):
        while not condition():
            await asyncio.sleep(0.001)


def get_data_lines(events):
    lines = events.decode().split("\n")
    return [line[6:] for line in lines if line.startswith("data: ")]


async def test_resume_after_stall_completes_the_same_bytes():
    async with serve_engine() as (_, client):
        await client.post("/_faults", json={"silent_after_tokens": 3})
        response = await send_chat_request(
            client, "r1", stream=True, max_tokens=8
        )
        received = b""
        async with asyncio.timeout(DEADLINE_S):
            while received.count(b"\n\n") < 4:
                received += await response.content.readany()
        try:
            async with asyncio.timeout(0.1):
                received += await response.content.readany()
        except TimeoutError:
            pass
        response.close()
        rest = await (await client.get("/v1/streams/r1?from_seq=4")).read()
        whole = await (await client.get("/v1/streams/r1?from_seq=0")).read()
        stats = await (await client.get("/_stats")).json()
    assert received + rest == whole
    assert whole.count(b"\n\n") == 8 + 3
    assert whole.endswith(b"id: 10\ndata: [DONE]\n\n")
    assert stats["runs"] == {"r1": 1}
    assert stats["tokens"] == 8


async def test_both_forms_give_the_deterministic_text():
    expected = "".join(
        generate_answer_tokens(join_messages(MESSAGES), MODEL, 5)
    )
    async with serve_engine() as (_, client):
        plain = await (
            await send_chat_request(client, "p", max_tokens=5)
        ).json()
        stream = await send_chat_request(
            client,
            "s",
            max_tokens=5,
            stream=True,
            stream_options={"include_usage": True},
        )
        lines = get_data_lines(await stream.read())
    chunks = [json.loads(line) for line in lines[:-1]]
    streamed = "".join(
        choice["delta"].get("content", "")
        for chunk in chunks
        for choice in chunk["choices"]
    )
    assert lines[-1] == "[DONE]"
    assert streamed == expected
    assert plain["choices"][0]["message"]["content"] == expected
    assert plain["choices"][0]["finish_reason"] == "length"
    assert chunks[-1]["choices"] == []
    assert chunks[-1]["usage"] == plain["usage"]
    assert plain["usage"]["completion_tokens"] == 5


async def test_most_urgent_request_leaves_the_queue_first():
    async with serve_engine(ONE_AT_A_TIME) as (engine, client):
        tasks = [
            asyncio.create_task(
                send_chat_request(client, "first", 5, max_tokens=100)
            )
        ]
        await wait_until(lambda: engine.batch.running == 1)
        waiting = [("normal", 5), ("later", 5), ("urgent", 0), ("lazy", 9)]
        for count, (name, priority) in enumerate(waiting, 1):
            tasks.append(
                asyncio.create_task(
                    send_chat_request(client, name, priority, max_tokens=2)
                )
            )
            await wait_until(lambda count=count: engine.batch.waiting == count)
        answers = await asyncio.gather(*tasks)
        assert [answer.status for answer in answers] == [200] * 5
        runs = (await (await client.get("/_stats")).json())["runs"]
    assert list(runs) == ["first", "urgent", "normal", "later", "lazy"]


async def test_cancel_frees_the_slot_and_drops_the_stream():
    async with serve_engine(ONE_AT_A_TIME) as (engine, client):
        response = await send_chat_request(
            client, "long", stream=True, max_tokens=4000
        )
        next_request = asyncio.create_task(
            send_chat_request(client, "next", max_tokens=1)
        )
        await wait_until(lambda: engine.batch.waiting == 1)
        cancelled = await client.delete("/v1/streams/long")
        assert (await next_request).status == 200
        assert b"[DONE]" not in await response.read()
        again = await client.delete("/v1/streams/long")
        resumed = await client.get("/v1/streams/long")
        stats = await (await client.get("/_stats")).json()
    assert (cancelled.status, again.status, resumed.status) == (200, 404, 404)
    assert stats["cancels"] == 1
    assert stats["tokens"] < 4000


async def test_fencing_is_checked_only_where_the_engine_honours_it():
    for checks_fencing, expected in ((True, 409), (False, 202)):
        async with serve_engine(checks_fencing=checks_fencing, load_ms=1) as (
            engine,
            client,
        ):
            statuses = []
            for version, fencing in (("2", 7), ("3", 6), ("4", 7)):
                order = {
                    "kind": "load",
                    "model": "small",
                    "version": version,
                    "fencing": fencing,
                }
                response = await client.post("/orders", json=order)
                statuses.append(response.status)
            await wait_until(
                lambda engine=engine: "small@4" in engine.models.loaded
            )
            orders = (await (await client.get("/_stats")).json())["orders"]
        assert statuses == [202, expected, 202]
        assert [order["stale"] for order in orders] == [False, True, False]
        assert ("small@3" in engine.models.loaded) is not checks_fencing


async def test_refusals_are_reported_by_status_and_code():
    async with serve_engine() as (_, client):
        missing = await send_chat_request(client, "m", model="small@9")
        unknown = await client.get("/v1/streams/none")
        fault = await client.post("/_faults", json={"no_such_fault": 1})
        wrong = await client.post("/_faults", json={"slow_factor": "much"})
        answers = [missing, unknown, fault, wrong]
        codes = [(a.status, (await a.json())["error"]["code"]) for a in answers]
    assert codes == [
        (404, "model_not_loaded"),
        (404, "unknown_stream"),
        (400, "unknown_fault"),
        (400, "wrong_fault_value"),
    ]


async def test_known_prefix_shortens_the_prefill():
    timing = Timing(
        base_ttft_ms=1, prefill_ms_per_token=0.5, token_ms=1, max_batch=1
    )
    messages = [{"role": "user", "content": "x" * 1600}]
    loop = asyncio.get_running_loop()
    times_s = []
    async with serve_engine(timing) as (_, client):
        for name in ("cold", "warm"):
            start_s = loop.time()
            await send_chat_request(
                client, name, messages=messages, max_tokens=1
            )
            times_s.append(loop.time() - start_s)
        stats = await (await client.get("/_stats")).json()
    assert (stats["cache_misses"], stats["cache_hits"]) == (1, 1)
    assert times_s[0] >= 0.2
    assert times_s[1] < times_s[0]


async def start_process(*arguments):
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "lab",
        *arguments,
        cwd=ROOT,
        stdout=asyncio.subprocess.PIPE,
    )
    async with asyncio.timeout(DEADLINE_S):
        line = (await process.stdout.readline()).decode()
    assert line.startswith("ready port=")
    return process, f"http://127.0.0.1:{int(line.split('=')[1])}"


async def test_process_prints_its_port_and_exits_0_on_sigterm():
    process, url = await start_process("engine", "--models", MODEL)
    async with aiohttp.ClientSession() as session:
        async with session.get(f"{url}/v1/models") as response:
            listing = await response.json()
        assert [model["id"] for model in listing["data"]] == [MODEL]
        body = {"model": MODEL, "messages": MESSAGES, "max_tokens": 4000}
        body["stream"] = True
        async with session.post(
            f"{url}/v1/chat/completions", json=body
        ) as response:
            await response.content.readany()
            process.send_signal(signal.SIGTERM)
            async with asyncio.timeout(DEADLINE_S):
                assert await process.wait() == 0


async def test_crash_fault_ends_the_process_on_the_marked_prompt_only():
    process, url = await start_process("engine", "--models", MODEL)
    body = {"model": MODEL, "messages": MESSAGES}
    call = f"{url}/v1/chat/completions"
    async with aiohttp.ClientSession() as session:
        await session.post(f"{url}/_faults", json={"crash_on": "POISON"})
        async with session.post(call, json=body) as response:
            assert response.status == 200
        body["messages"] = [{"role": "user", "content": "a POISON b"}]
        with contextlib.suppress(aiohttp.ClientError):
            await session.post(call, json=body)
    async with asyncio.timeout(DEADLINE_S):
        assert await process.wait() == 1
