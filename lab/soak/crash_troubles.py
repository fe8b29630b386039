"""Requests that crash the workers which run them."""

from __future__ import annotations

import asyncio
import math
import time

from lab.caller import Reply, make_request, read_reply
from lab.soak.deployment import DEADLINE_S
from lab.soak.gateways import GatewayProcess
from lab.soak.prompts import draw_prompt
from lab.soak.records import CrashingPart
from lab.soak.serving import CRASHING_BODY
from lab.soak.world import SoakEnvironment

PART_TIMES_S = (11.0, 14.0)
"""Shortest and longest time in seconds for which requests with one part come:
five crashes, twice the time in which gateways must have learned of them, and
enough time after it to count sound requests."""
PART_INTERVALS_S = (0.1, 0.5)
MAX_CALLER_RETRIES = 2
MAX_PARTS = 2


async def send_crashing_request(environment: SoakEnvironment) -> None:
    """Sends one request that crashes each worker, to all gateways, repeatedly.

    Copies go out at one moment, in several waves under new ids.
    """
    body = CRASHING_BODY + b"%d" % len(environment.serving.crashing_runs)
    environment.serving.crashing_runs[body] = []
    for wave in range(environment.rng.randint(3, 6)):
        copies = [
            _send_copy(environment, gateway, body, f"{wave}-{copy}")
            for gateway in environment.gateways
            for copy in range(environment.rng.randint(0, 2))
        ]
        await asyncio.gather(*copies, return_exceptions=True)
        await asyncio.sleep(environment.rng.uniform(0.2, 2.0))


async def _send_copy(
    environment: SoakEnvironment,
    gateway: GatewayProcess,
    body: bytes,
    copy: str,
) -> None:
    request_id = f"{body.decode()}-{gateway.name}-{copy}"
    environment.crashing_senders[request_id] = gateway.name
    key = environment.get_valid_keys()[0]
    request = make_request(
        f"/safe/{body.decode()}", key=key, request_id=request_id, body=body
    )
    await _exchange(gateway, request)


async def send_crashing_parts(environment: SoakEnvironment) -> None:
    """Sends requests with one part that crashes each worker that answers.

    No two requests are alike. They come at any gateway, with the API keys and
    the other parts of sound requests, and are sent again when they fail.
    Nothing happens while such requests with `MAX_PARTS` parts come already.
    """
    rng = environment.rng
    parts = environment.serving.crashing_parts
    if sum(math.isinf(p.ended_s) for p in parts.values()) >= MAX_PARTS:
        return
    name = f"dead{len(parts):02x}"
    part = CrashingPart(name, time.monotonic())
    parts[name] = part
    end_s = part.begun_s + rng.uniform(*PART_TIMES_S)
    tasks = []
    number = 0
    while time.monotonic() < end_s:
        number += 1
        tasks.append(
            asyncio.ensure_future(_send_with_part(environment, name, number))
        )
        await asyncio.sleep(rng.uniform(*PART_INTERVALS_S))
    part.ended_s = time.monotonic()
    await asyncio.gather(*tasks, return_exceptions=True)


async def _send_with_part(
    environment: SoakEnvironment, part: str, number: int
) -> None:
    rng = environment.rng
    prompt = draw_prompt(rng, number, part)
    headers = {
        **prompt.make_headers(),
        "Deadline_Ms": str(int(DEADLINE_S * 1000)),
    }
    route = rng.choice(("stream", "once"))
    for attempt in range(1 + MAX_CALLER_RETRIES):
        gateway = rng.choice(environment.gateways)
        request_id = f"{part}-{number}-{attempt}"
        environment.crashing_senders[request_id] = gateway.name
        request = make_request(
            f"/{route}/{part}-{number}",
            key=rng.choice(environment.get_valid_keys()),
            request_id=request_id,
            body=f"{part} {number}".encode(),
            **headers,
        )
        try:
            reply = await _exchange(gateway, request)
        except (OSError, EOFError, TimeoutError):
            continue
        if reply.status == 200 and reply.is_complete:
            return
        await asyncio.sleep(float(reply.headers.get("retry-after", "0.1")))


async def _exchange(gateway: GatewayProcess, request: bytes) -> Reply:
    async with asyncio.timeout(DEADLINE_S):
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", gateway.client_port
        )
        try:
            writer.write(request)
            return await read_reply(reader)
        finally:
            writer.close()
