"""What the forwarder hands its results to."""

from __future__ import annotations

from typing import Protocol

from lovagestage.gateway.messages import AnswerHead
from lovagestage.gateway.rollouts import AnswerQuality, Assignment
from lovagestage.gateway.upstream import Upstream
from lovagestage.types import ServiceId


class AnswerSink(Protocol):
    """Where an answer goes."""

    async def send_whole(self, head: AnswerHead, body: bytes) -> None:
        """Sends a whole answer."""

    async def start(self, head: AnswerHead) -> None:
        """Sends the head of a stream."""

    async def send(self, event: bytes) -> None:
        """Sends an event."""

    async def finish(self) -> None:
        """Ends a stream that is complete."""


class EvidenceSink(Protocol):
    """Where what speaks for or against a version goes."""

    def add_answer(
        self,
        service: ServiceId,
        route: str,
        assignment: Assignment,
        upstream: Upstream,
        quality: AnswerQuality,
    ) -> None:
        """Takes an answer."""
