"""Loaded model versions of an engine and the orders that change them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, Literal

import aiohttp
import msgspec
from aiohttp import web

from lab.batch import ROLE_FACTORS, Batch
from lab.faults import error

ADAPTER_LOAD_RATIO = 0.1
"""Load time of an adapter, as a share of the load time of its base version."""
HEADER_TIMEOUT_S = 5.0
"""Time limit in seconds until the weight store sends response headers."""


class Order(msgspec.Struct, kw_only=True):
    """An order to load or unload a model version or to change the role.

    Attributes:
        kind: Type of the order.
        model: Name of the model; None for a change of the role.
        version: Version of the model; None for a change of the role.
        adapter: Adapter of the version; None for the version itself.
        role: New role; a key of `ROLE_FACTORS`.
        fencing: Fencing number, which must not decrease among the orders for a
            model.
    """

    kind: Literal["load", "unload", "role"]
    model: str | None = None
    version: str | None = None
    adapter: str | None = None
    role: str | None = None
    fencing: int

    @property
    def base_id(self) -> str:
        """The ordered model version as `NAME@VERSION`."""
        return f"{self.model}@{self.version}"

    @property
    def model_id(self) -> str:
        """`NAME@VERSION`, followed by `+ADAPTER` if the order names one."""
        suffix = f"+{self.adapter}" if self.adapter else ""
        return self.base_id + suffix


class WeightsThrottledError(Exception):
    """The weight store refused a transfer because of its rate limit.

    Attributes:
        retry_after: Value of the store's Retry-After header.
    """

    def __init__(self, retry_after: str) -> None:
        super().__init__(retry_after)
        self.retry_after = retry_after


class Models:
    """The model versions of an engine that are loaded or being loaded.

    Args:
        batch: Batch whose role the orders change.
        loaded: Versions that are loaded at the start.
        weights_url: URL of the weight store; None loads without a transfer.
        load_ms: Time in milliseconds to load a version after its transfer.
        checks_fencing: Whether orders with a stale fencing number are refused.
        is_load_hung: Returns whether loads never finish.

    Attributes:
        loaded: Loaded versions.
        orders: Received orders with their outcomes.
    """

    def __init__(
        self,
        batch: Batch,
        loaded: list[str],
        *,
        weights_url: str | None,
        load_ms: float,
        checks_fencing: bool,
        is_load_hung: Callable[[], bool],
    ) -> None:
        self.loaded = set(loaded)
        self.orders: list[dict[str, Any]] = []
        self._batch = batch
        self._weights_url = weights_url
        self._load_ms = load_ms
        self._checks_fencing = checks_fencing
        self._is_load_hung = is_load_hung
        self._loading: dict[str, asyncio.Task[None]] = {}
        self._fencing: dict[str, int] = {}
        self._session: aiohttp.ClientSession | None = None

    async def close(self) -> None:
        """Cancels all loads in progress and closes the HTTP session."""
        for task in self._loading.values():
            task.cancel()
        if self._session is not None:
            await self._session.close()

    def listing(self) -> dict[str, Any]:
        """Returns the loaded versions in the format of OpenAI's API."""
        data = [
            {"id": name, "object": "model", "created": 0, "owned_by": "lab"}
            for name in sorted(self.loaded)
        ]
        return {"object": "list", "data": data}

    async def execute(self, order: Order) -> web.Response:
        """Executes an order, records its outcome and returns the response.

        An order with a fencing number below the highest of its model is
        refused, unless the engine ignores fencing numbers.
        """
        key = order.model or ""
        highest = self._fencing.get(key, order.fencing)
        is_stale = order.fencing < highest
        self._fencing[key] = max(highest, order.fencing)
        if is_stale and self._checks_fencing:
            answer = error(409, "stale_fencing", highest=highest)
        else:
            answer = await self._apply_order(order)
        record = msgspec.structs.asdict(order)
        record |= {"stale": is_stale, "status": answer.status}
        self.orders.append(record)
        return answer

    async def _apply_order(self, order: Order) -> web.Response:
        if order.kind == "role":
            return self._change_role(order)
        if not order.model or not order.version:
            return error(400, "wrong_order")
        if order.kind == "unload":
            return self._unload(order)
        return await self._load(order)

    def _change_role(self, order: Order) -> web.Response:
        if order.role not in ROLE_FACTORS:
            return error(400, "wrong_order")
        self._batch.role = order.role
        return _accepted("done")

    def _unload(self, order: Order) -> web.Response:
        removed = {order.model_id}
        if not order.adapter:
            adapters = f"{order.base_id}+"
            names = [*self.loaded, *self._loading]
            removed |= {name for name in names if name.startswith(adapters)}
        self.loaded -= removed
        for name in removed:
            task = self._loading.pop(name, None)
            if task is not None:
                task.cancel()
        return _accepted("done")

    async def _load(self, order: Order) -> web.Response:
        name = order.model_id
        if name in self.loaded:
            return _accepted("done")
        if name in self._loading:
            return _accepted("loading")
        if order.adapter and order.base_id not in self.loaded:
            return error(409, "base_not_loaded")
        load_ms = self._load_ms
        transfer: aiohttp.ClientResponse | None = None
        if order.adapter:
            load_ms *= ADAPTER_LOAD_RATIO
        try:
            transfer = await self._start_transfer(order)
        except WeightsThrottledError as throttled:
            answer = error(503, "weights_throttled")
            answer.headers["Retry-After"] = throttled.retry_after
            return answer
        except (aiohttp.ClientError, TimeoutError):
            return error(503, "weights_unavailable")
        task = asyncio.create_task(self._finish_load(name, transfer, load_ms))
        self._loading[name] = task
        return _accepted("loading")

    async def _start_transfer(
        self, order: Order
    ) -> aiohttp.ClientResponse | None:
        """Starts a weight transfer; a refusal arrives with the headers.

        Raises:
            WeightsThrottledError: The store refused because of its rate limit.
        """
        if self._weights_url is None or order.adapter:
            return None
        if self._session is None:
            timeout = aiohttp.ClientTimeout(total=None)
            self._session = aiohttp.ClientSession(timeout=timeout)
        async with asyncio.timeout(HEADER_TIMEOUT_S):
            response = await self._session.post(
                f"{self._weights_url}/v1/fetch",
                json={"model": order.model, "version": order.version},
            )
        if response.status == 429:
            response.release()
            raise WeightsThrottledError(
                response.headers.get("Retry-After", "1")
            )
        response.raise_for_status()
        return response

    async def _finish_load(
        self,
        name: str,
        transfer: aiohttp.ClientResponse | None,
        load_ms: float,
    ) -> None:
        try:
            if transfer is not None:
                await transfer.read()
            await asyncio.sleep(load_ms / 1000)
            if self._is_load_hung():
                await asyncio.Event().wait()
            self.loaded.add(name)
        except aiohttp.ClientError:
            # The version stays unloaded; the order can be sent again.
            pass
        finally:
            if self._loading.get(name) is asyncio.current_task():
                del self._loading[name]


def _accepted(state: str) -> web.Response:
    return web.json_response({"state": state}, status=202)
