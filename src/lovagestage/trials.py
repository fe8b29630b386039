"""What the callers' API needs of roll-outs: a version, and who hears of it."""

from __future__ import annotations

import dataclasses
from collections.abc import AsyncIterator

import msgspec

from lovagestage.adapters import RatedAnswer
from lovagestage.admission import Choice, Trial
from lovagestage.answers import Answer, parse_answer
from lovagestage.dispatcher import Request, Result, is_version_at_fault
from lovagestage.document import ServiceDocument
from lovagestage.exceptions import RequestRefusedError
from lovagestage.exposure_service import ExposureService
from lovagestage.quality import QualityService
from lovagestage.types import ModelVersion, WorkspaceId

MAX_ANSWER_BYTES = 256 * 1024
"""A longer answer is not rated."""


class _PromptForm(msgspec.Struct):
    messages: msgspec.Raw


@dataclasses.dataclass
class _Copy:
    """An answer as it went to the caller.

    Attributes:
        parts: Its parts, while they are within the limit.
        size_bytes: Bytes of all parts.
    """

    parts: list[bytes] = dataclasses.field(default_factory=list)
    size_bytes: int = 0

    def add(self, part: bytes) -> None:
        """Takes a part."""
        self.size_bytes += len(part)
        if self.size_bytes <= MAX_ANSWER_BYTES:
            self.parts.append(part)

    def parse(self, stream: bool) -> Answer | None:
        """The answer; None where it is too long or has another form."""
        if self.size_bytes > MAX_ANSWER_BYTES:
            return None
        return parse_answer(b"".join(self.parts), stream)


class Trials:
    """Assigns requests to roll-outs and reports how they end.

    Args:
        exposure: The gates.
        quality: The way to the rater; None where there is no rater.
    """

    def __init__(
        self, exposure: ExposureService, quality: QualityService | None
    ) -> None:
        self._exposure = exposure
        self._quality = quality

    def get_document(self, document: ServiceDocument) -> ServiceDocument:
        """See `ExposureService.get_document`."""
        return self._exposure.get_document(document)

    def choose(
        self,
        name: str,
        resolved: ModelVersion,
        document: ServiceDocument,
        workspace: WorkspaceId,
    ) -> Choice:
        """See `ExposureService.choose`."""
        return self._exposure.choose(name, resolved, document, workspace)

    def get_dump(self) -> dict[str, object]:
        """State of the gates and of the ratings, for the dump."""
        return {
            "gates": self._exposure.get_dump(),
            "ratings": self._quality.get_sizes() if self._quality else None,
        }

    async def watch(
        self, request: Request, result: Result, parts: AsyncIterator[bytes]
    ) -> AsyncIterator[bytes]:
        """Passes an answer on and reports it once it has ended."""
        trial = request.trial
        copy = _Copy()
        try:
            async for part in parts:
                if trial is not None:
                    copy.add(part)
                yield part
        except RequestRefusedError as error:
            if trial is not None and (
                result.version_failed or is_version_at_fault(error)
            ):
                self._exposure.add_outcome(trial, True)
            raise
        finally:
            await parts.aclose()  # type: ignore[attr-defined]
        if trial is not None and _is_own_run(request, result):
            self._report(trial, request, result, copy.parse(request.stream))

    def _report(
        self,
        trial: Trial,
        request: Request,
        result: Result,
        answer: Answer | None,
    ) -> None:
        is_failure = answer is not None and answer.is_failure
        self._exposure.add_outcome(trial, result.version_failed or is_failure)
        if answer is None or self._quality is None:
            return
        self._quality.offer(
            RatedAnswer(
                request.request_id,
                request.version,
                request.class_name,
                _get_prompt(request.body),
                answer.text,
            ),
            trial,
        )


def _is_own_run(request: Request, result: Result) -> bool:
    # A request that joined another's run says nothing of its own assignment.
    return result.request_id in (None, request.request_id)


def _get_prompt(body: bytes) -> str:
    form = msgspec.json.decode(body, type=_PromptForm)
    return bytes(form.messages).decode()
