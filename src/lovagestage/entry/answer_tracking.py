"""Connects the callers' API with roll-outs, cascade plans and the rater."""

from __future__ import annotations

import dataclasses
from collections.abc import AsyncIterator

import msgspec

from lovagestage.adapters.protocols import RatedAnswer
from lovagestage.decisions.admission import Choice, Trial
from lovagestage.decisions.answers import Answer, parse_answer
from lovagestage.entry.cascade_service import CascadeService
from lovagestage.entry.exposure_service import ExposureService
from lovagestage.entry.quality import QualityService
from lovagestage.exceptions import RequestRefusedError
from lovagestage.execution.request import Request, Result, is_version_at_fault
from lovagestage.state.document import ClassSpec, ServiceDocument
from lovagestage.types import (
    ModelVersion,
    WorkspaceId,
    parse_model_version,
)

MAX_ANSWER_BYTES = 256 * 1024
"""Largest answer in bytes that is rated; further chunks are not copied."""


class _PromptForm(msgspec.Struct):
    messages: msgspec.Raw


@dataclasses.dataclass
class _AnswerCopy:
    """Copy of an answer as it was sent to the caller.

    Attributes:
        chunks: Chunks of the answer, as long as they are within the limit.
        size_bytes: Size of all chunks in bytes.
    """

    chunks: list[bytes] = dataclasses.field(default_factory=list)
    size_bytes: int = 0

    def add(self, chunk: bytes) -> None:
        """Adds a chunk, unless the answer is over the limit.

        Args:
            chunk: Bytes of the answer.
        """
        self.size_bytes += len(chunk)
        if self.size_bytes <= MAX_ANSWER_BYTES:
            self.chunks.append(chunk)

    def parse(self, stream: bool) -> Answer | None:
        """Parses the copied answer.

        Args:
            stream: Whether the answer was sent as a stream of events.

        Returns:
            The answer; None where it is over the limit or can't be parsed.
        """
        if self.size_bytes > MAX_ANSWER_BYTES:
            return None
        return parse_answer(b"".join(self.chunks), stream)


class AnswerTracker:
    """Assigns requests to plans and roll-outs, and reports their outcomes.

    Args:
        exposure: The gates of the roll-outs.
        cascades: The cascade plans.
        quality: Sends answers to the rater; None where there is no rater.
    """

    def __init__(
        self,
        exposure: ExposureService,
        cascades: CascadeService,
        quality: QualityService | None,
    ) -> None:
        self._exposure = exposure
        self._cascades = cascades
        self._quality = quality

    def get_document(self, document: ServiceDocument) -> ServiceDocument:
        """Returns the document; see `ExposureService.get_document`."""
        return self._exposure.get_document(document)

    def choose_version(
        self,
        name: str,
        resolved: ModelVersion,
        document: ServiceDocument,
        workspace: WorkspaceId,
    ) -> Choice:
        """Chooses a version; see `ExposureService.choose_version`."""
        return self._exposure.choose_version(
            name, resolved, document, workspace
        )

    def choose_plan(
        self,
        document: ServiceDocument,
        workspace: WorkspaceId,
        class_name: str,
        spec: ClassSpec,
        prompt_bytes: int,
    ) -> Choice | None:
        """Chooses the plan of a request that names the service.

        The plan is chosen first: its first version may be one that a roll-out
        is replacing, and then the roll-out decides between the old and the
        new version.

        Args:
            document: Document of the service.
            workspace: The workspace that sent the request.
            class_name: The request class.
            spec: Specification of the class.
            prompt_bytes: Size of the prompt in bytes.

        Returns:
            The version of the request; None where no plan applies.
        """
        arm = self._cascades.choose_plan(
            document, workspace, class_name, spec, prompt_bytes
        )
        version = parse_model_version(arm.plan.first) if arm else None
        if arm is None or version is None:
            return None
        choice = self.choose_version(
            document.service, version, document, workspace
        )
        if choice.version != version:
            return choice
        return dataclasses.replace(choice, arm=arm)

    def get_dump(self) -> dict[str, object]:
        """Returns the state of the gates and of the ratings, for the dump."""
        return {
            "gates": self._exposure.get_dump(),
            "cascades": self._cascades.get_dump(),
            "ratings": self._quality.get_sizes() if self._quality else None,
        }

    async def track_answer(
        self, request: Request, result: Result, chunks: AsyncIterator[bytes]
    ) -> AsyncIterator[bytes]:
        """Forwards an answer and reports its outcome once it has ended.

        Args:
            request: The request.
            result: The result of the request; the dispatcher fills it in.
            chunks: Chunks of the answer.
        """
        trial = request.trial
        copy = _AnswerCopy()
        try:
            async for chunk in chunks:
                if trial is not None or request.arm is not None:
                    copy.add(chunk)
                yield chunk
        except RequestRefusedError as error:
            if trial is not None and (
                result.version_failed or is_version_at_fault(error)
            ):
                self._exposure.add_outcome(trial, True)
            raise
        finally:
            await chunks.aclose()  # type: ignore[attr-defined]
        if trial is None and request.arm is None:
            return
        if _is_own_run(request, result):
            self._report_answer(request, result, copy.parse(request.stream))

    def _report_answer(
        self, request: Request, result: Result, answer: Answer | None
    ) -> None:
        if request.trial is not None:
            self._add_outcome(request.trial, result, answer)
        if request.arm is not None:
            self._cascades.add_answer(request.arm, request, result)
        if answer is None or self._quality is None:
            return
        if result.replaced_answer is not None:
            # The rating applies to the second version's answer, so that it is
            # no evidence about the first version.
            request = dataclasses.replace(request, trial=None)
        self._quality.offer(
            RatedAnswer(
                request.request_id,
                result.version,
                request.class_name,
                _get_prompt(request.body),
                answer.text,
            ),
            request,
        )

    def _add_outcome(
        self, trial: Trial, result: Result, answer: Answer | None
    ) -> None:
        is_failure = answer is not None and answer.is_failure
        # A first answer that was replaced had itself shown signs of low
        # quality.
        failed = (
            result.version_failed or is_failure or bool(result.replaced_answer)
        )
        self._exposure.add_outcome(trial, failed)


def _is_own_run(request: Request, result: Result) -> bool:
    # A request that joined the run of another request provides no evidence
    # about its own assignment.
    return result.request_id in (None, request.request_id)


def _get_prompt(body: bytes) -> str:
    form = msgspec.json.decode(body, type=_PromptForm)
    return bytes(form.messages).decode()
