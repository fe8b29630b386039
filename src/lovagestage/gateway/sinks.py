"""Interfaces to which the forwarder passes answers and evidence."""

from __future__ import annotations

from typing import Protocol

from lovagestage.gateway.messages import AnswerHead
from lovagestage.gateway.requests_under_way import RequestUnderWay
from lovagestage.gateway.rollout_assignment import Assignment
from lovagestage.gateway.rollout_evidence import AnswerQuality, EvidenceAspect
from lovagestage.gateway.upstream import Upstream
from lovagestage.types import ServiceId


class AnswerSink(Protocol):
    """Receives the answer to a request and sends it to the caller."""

    async def send_answer(self, head: AnswerHead, body: bytes) -> None:
        """Sends a complete answer."""

    async def start_stream(self, head: AnswerHead) -> None:
        """Sends the head of a stream."""

    async def send_event(self, event: bytes) -> None:
        """Sends an event of a stream."""

    async def finish_stream(self) -> None:
        """Ends a stream that is complete."""


class EvidenceSink(Protocol):
    """Receives evidence for or against a version of a service."""

    def begin_request(
        self,
        service: ServiceId,
        assignment: Assignment,
        request: RequestUnderWay,
    ) -> None:
        """Records that a request has been sent to a version.

        Args:
            service: The service.
            assignment: Version to which the request was assigned.
            request: The request.
        """

    def start_request(self, request: RequestUnderWay) -> None:
        """Records that the answer to a request has started."""

    def end_request(
        self, service: ServiceId, request: RequestUnderWay, is_whole: bool
    ) -> None:
        """Records that a request is no longer under way, begun or not.

        Args:
            service: The service.
            request: The request.
            is_whole: Whether its answer was whole.
        """

    def record_answer(
        self,
        service: ServiceId,
        route: str,
        assignment: Assignment,
        upstream: Upstream,
        quality: AnswerQuality,
        aspect: EvidenceAspect = EvidenceAspect.ANSWER,
        begun_s: float = 0.0,
        has_answered: bool = False,
    ) -> bool:
        """Records the quality of an answer, or of a run without one.

        Args:
            service: The service that answered.
            route: Name of the request's route.
            assignment: Version to which the request was assigned.
            upstream: The upstream that answered.
            quality: Quality of the answer.
            aspect: What was judged.
            begun_s: Elapsed time in seconds at which the run began.
            has_answered: Whether its answer began.

        Returns:
            Whether it counts. Only the first sign that an upstream may have
            crashed does.
        """
