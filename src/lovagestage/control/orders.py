"""Forwards orders of a lease holder to the engine beside this sidecar."""

from __future__ import annotations

import logging

from lovagestage.adapters.protocols import Engine
from lovagestage.bus.hub import Hub
from lovagestage.control.gate import FencingGate
from lovagestage.exceptions import EngineError, LovagestageError
from lovagestage.messages.envelope import (
    Message,
    Order,
    OrderResult,
    OrderState,
)

_log = logging.getLogger(__name__)


class OrderService:
    """Carries out orders of the lease holder at one engine.

    Args:
        engine: Client of the engine.
        gate: Rejects orders of earlier holders, even if the engine would
            accept them.
        hub: Message hub that delivers the messages of the listener.
    """

    def __init__(self, engine: Engine, gate: FencingGate, hub: Hub) -> None:
        self._engine = engine
        self._gate = gate
        hub.register_query_handler(Order, self._answer)

    async def _answer(self, message: Message) -> Message:
        assert isinstance(message, Order)
        try:
            await self._gate.check_now(message.lease, message.fencing)
            state = await self._engine.order(message.version, message.fencing)
        except EngineError as error:
            return OrderResult(OrderState.UNKNOWN, error.message)
        except LovagestageError as error:
            _log.warning(
                "order_refused",
                extra={"fencing": message.fencing, "code": error.code},
            )
            return OrderResult(OrderState.REFUSED, error.message)
        _log.info(
            "order_sent",
            extra={"version": message.version, "state": state.value},
        )
        return OrderResult(state, "")
