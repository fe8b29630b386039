"""Headers that should hold a number and don't lose no request."""

from __future__ import annotations

import asyncio

import pytest

from lab import worker as lab
from tests.gateway_harness import make_request, run_gateway_harness
from tests.test_gateway_upstream_errors import read_final_reply

SUPERSCRIPT = "\xb2"
"""A digit by Unicode that is no decimal number."""


@pytest.mark.parametrize(
    "header", [{"Confidence": SUPERSCRIPT}, {"Keep_Alive": "timeout=\xb3"}]
)
async def test_number_that_is_none_in_an_answer_loses_no_request(header):
    # A header of the answer that can't be read as a number made a good answer
    # an error of the gateway.
    async def respond(arrival, writer):
        await asyncio.sleep(0)
        head = lab.make_head(200, arrival, Content_Length="4", **header)
        text = head.decode().encode("latin-1")
        writer.write(text + b"done")
        await writer.drain()

    async with run_gateway_harness(workers=1, script=respond) as harness:
        assert (await harness.call("/safe/x")).status == 200


async def test_number_that_is_none_in_a_request_loses_no_request():
    # A request whose header can't be read as a number got no answer.
    async with run_gateway_harness(workers=1) as harness:
        reader, writer = await harness.connect()
        request = make_request("/safe/x", Token_Usage=f"{SUPERSCRIPT},3")
        writer.write(request.decode().encode("latin-1"))
        assert (await read_final_reply(reader)).status == 200
        writer.close()
