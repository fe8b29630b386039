"""Runs a request that has an `Idempotency-Key`, or joins its existing run."""

from __future__ import annotations

import asyncio
import dataclasses
import hashlib
import logging
import time
from collections.abc import AsyncIterator

from lovagestage.bus.upstreams import UpstreamTable
from lovagestage.decisions.retries import MAX_ATTEMPTS
from lovagestage.entry.dispatcher import Dispatcher
from lovagestage.entry.key_service import KeyService
from lovagestage.exceptions import (
    DeadlineExceededError,
    KeyHistoryLostError,
    KeyHoldersUnavailableError,
    KeyReusedError,
    KeyRunLostError,
    KeyTableFullError,
    MalformedRequestError,
    NoCapacityError,
    RequestRefusedError,
)
from lovagestage.execution.request import Request, Result
from lovagestage.messages.keys import (
    Claim,
    ClaimAnswer,
    ClaimOutcome,
    Inquiry,
    InquiryAnswer,
    LedgerEntry,
    RunId,
    RunKnowledge,
)
from lovagestage.types import RunState, VmId, parse_model_version

_log = logging.getLogger(__name__)

HEADER_KEY = "Idempotency-Key"
MAX_KEY_LENGTH = 255
CLAIM_LIMIT_S = 2.0
"""Longest time in seconds that a claim is retried while the holders of its key
do not agree; after that the request is refused."""
CLAIM_RETRY_S = 0.1
INQUIRY_TIMEOUT_S = 1.0
JOIN_GRACE_S = 0.1
"""Time in seconds for a dispatch, which is sent after its claim, to reach the
sidecar. Without it a run that is only just under way would seem never sent."""
RETRY_AFTER_S = 2
_DECIDED_OUTCOMES = (ClaimOutcome.GRANTED, ClaimOutcome.HELD, ClaimOutcome.FREE)


@dataclasses.dataclass
class _Search:
    """State of the search for the one run of a key.

    Attributes:
        replaced_run: The run that the next claim replaces.
        may_have_run: Whether a replaced run of a repeatable request may have
            run.
        started: Whether a part of the answer has been yielded.
        is_searching: Whether this round has not found a run yet.
        excluded: Upstreams that are not tried again.
    """

    replaced_run: RunId | None = None
    may_have_run: bool = False
    started: bool = False
    is_searching: bool = True
    excluded: set[VmId] = dataclasses.field(default_factory=set)

    def replace_run(self, run: RunId) -> None:
        """Marks a run that may have run as the one to replace.

        Args:
            run: The run to replace.
        """
        self.replaced_run = run
        self.may_have_run = True

    def is_final(self, error: RequestRefusedError, round_number: int) -> bool:
        """Returns whether the error is final for the request.

        Args:
            error: The error of this round.
            round_number: Number of the round, from 1.
        """
        return (
            self.is_searching
            or round_number == MAX_ATTEMPTS
            or isinstance(error, DeadlineExceededError | KeyRunLostError)
        )


class KeyedRuns:
    """Runs keyed requests at most once, or joins the run that exists.

    Args:
        keys: Claims request keys.
        dispatcher: Starts and reads runs.
        upstreams: Connections to sidecars.
    """

    def __init__(
        self,
        keys: KeyService,
        dispatcher: Dispatcher,
        upstreams: UpstreamTable,
    ) -> None:
        self._keys = keys
        self._dispatcher = dispatcher
        self._upstreams = upstreams

    async def run(
        self, request: Request, key: str, result: Result
    ) -> AsyncIterator[bytes]:
        """Yields the answer of the one run of a key.

        Args:
            request: The request.
            key: The request key.
            result: Filled in while the run is read.

        Raises:
            RequestRefusedError: There is no complete answer; the error says
                whether the request was run.
        """
        check_key(key)
        search = _Search()
        for round_number in range(1, MAX_ATTEMPTS + 1):
            try:
                entry, is_own = await self._find_run(
                    request, key, round_number, search
                )
                if not is_own and not await self._is_at_sidecar(entry.run):
                    await self._abandon_run(request, entry.run, search)
                    continue
                async for data in self._read_run(
                    request, entry, is_own, result
                ):
                    search.started = True
                    yield data
                return
            except RequestRefusedError as error:
                if search.may_have_run and error.run is RunState.NOT_RUN:
                    error.run = RunState.UNKNOWN
                if search.started or search.is_final(error, round_number):
                    raise
                await self._prepare_replacement(
                    request, entry.run, error, search
                )
            search.excluded.add(entry.run.sidecar)
        raise NoCapacityError(
            f"No upstream took the request in {MAX_ATTEMPTS} attempts.",
            RunState.UNKNOWN,
            retry_after_s=RETRY_AFTER_S,
        )

    async def _find_run(
        self, request: Request, key: str, round_number: int, search: _Search
    ) -> tuple[LedgerEntry, bool]:
        """Finds the run to read.

        Returns:
            The claimed run, and whether this request started it.

        Raises:
            RequestRefusedError: No run exists, and none can be started.
        """
        search.is_searching = True
        try:
            run = await self._choose_run(request, round_number, search.excluded)
        except RequestRefusedError:
            # An earlier request may have run nevertheless. Without this
            # question the refusal would say `not_run` of a key that has run.
            entry = await self._claim(request, key, None, search.replaced_run)
            if entry is None or entry.run == search.replaced_run:
                raise
        else:
            entry = await self._claim(request, key, run, search.replaced_run)
            assert entry is not None
        search.is_searching = False
        return entry, entry.run.request_id == request.request_id

    async def _choose_run(
        self, request: Request, round_number: int, excluded: set[VmId]
    ) -> RunId:
        vm = await self._dispatcher.select_upstream(request, excluded)
        heartbeat = self._upstreams.get_heartbeat(vm)
        assert heartbeat is not None
        return RunId(
            request.request_id,
            round_number,
            vm,
            heartbeat.incarnation,
            heartbeat.clock_ms,
        )

    def _read_run(
        self,
        request: Request,
        entry: LedgerEntry,
        is_own: bool,
        result: Result,
    ) -> AsyncIterator[bytes]:
        result.attempts = entry.run.attempt
        result.request_id = entry.run.request_id
        result.version = parse_model_version(entry.version) or request.version
        if is_own:
            return self._dispatcher.run_claimed(request, entry.run, result)
        _log.info(
            "run_joined",
            extra={"request": request.request_id, "run": entry.run.request_id},
        )
        return self._dispatcher.join_run(request, entry.run, result)

    async def _claim(
        self,
        request: Request,
        key: str,
        run: RunId | None,
        replaced_run: RunId | None,
    ) -> LedgerEntry | None:
        """Returns the run that holds the key; None where no run does."""
        end_s = time.monotonic() + CLAIM_LIMIT_S
        while True:
            claim = Claim(
                self._keys.view.epoch,
                request.workspace,
                key,
                get_body_digest(request.body),
                run,
                str(request.version),
                request.repeatable,
                replaced_run,
            )
            answer = await self._keys.claim(claim)
            if answer.outcome in _DECIDED_OUTCOMES:
                return answer.entry
            refusal = _make_refusal(answer, key)
            if refusal is not None:
                raise refusal
            if time.monotonic() > end_s:
                raise KeyHoldersUnavailableError(
                    "The entries that hold the request key did not agree"
                    f" within {CLAIM_LIMIT_S} s.",
                    # The run of this request was never sent, but an earlier
                    # request with the key may have run.
                    RunState.UNKNOWN,
                    retry_after_s=RETRY_AFTER_S,
                )
            await asyncio.sleep(CLAIM_RETRY_S)

    async def _prepare_replacement(
        self,
        request: Request,
        run: RunId,
        error: RequestRefusedError,
        search: _Search,
    ) -> None:
        """Prepares the replacement of a failed run.

        Raises:
            RequestRefusedError: The run must not be replaced, so that its
                error is the answer of the request.
        """
        if error.run is RunState.NOT_RUN:
            search.replaced_run = run
        elif request.repeatable:
            search.replace_run(run)
        elif error.run is RunState.RAN:
            raise error
        elif await self._query_run(run, forbid=True) is RunKnowledge.FORBIDDEN:
            search.replaced_run = run
        else:
            raise error

    async def _is_at_sidecar(self, run: RunId) -> bool:
        knowledge = await self._query_run(run, forbid=False)
        if knowledge is RunKnowledge.NEVER_RECEIVED:
            await asyncio.sleep(JOIN_GRACE_S)
            knowledge = await self._query_run(run, forbid=False)
        return knowledge is RunKnowledge.RECORDED

    async def _abandon_run(
        self, request: Request, run: RunId, search: _Search
    ) -> None:
        """Abandons a run of another request that its sidecar does not hold.

        Raises:
            KeyRunLostError: The run may have run, and the request must not
                run again.
        """
        knowledge = await self._query_run(run, forbid=True)
        if knowledge is RunKnowledge.FORBIDDEN:
            search.replaced_run = run
        elif request.repeatable:
            search.replace_run(run)
        else:
            raise KeyRunLostError(
                f"Upstream {run.sidecar!r}, which was to run the request, no"
                " longer tells what became of it.",
                RunState.UNKNOWN,
                # A sidecar that does not answer may only be paused, so that a
                # retry can still succeed.
                RETRY_AFTER_S if knowledge is None else None,
            )

    async def _query_run(self, run: RunId, forbid: bool) -> RunKnowledge | None:
        answer = await self._upstreams.ask(
            run.sidecar, Inquiry(run, forbid), INQUIRY_TIMEOUT_S
        )
        return answer.knowledge if isinstance(answer, InquiryAnswer) else None


def get_body_digest(body: bytes) -> bytes:
    """Returns the digest by which the holders of a key compare bodies."""
    return hashlib.blake2b(body, digest_size=16).digest()


def check_key(key: str) -> None:
    """Checks the form of a request key.

    Args:
        key: The request key.

    Raises:
        MalformedRequestError: The key is empty, too long or not ASCII.
    """
    if not (0 < len(key) <= MAX_KEY_LENGTH and key.isascii()):
        raise MalformedRequestError(
            f"Expected {HEADER_KEY} of 1 to {MAX_KEY_LENGTH} ASCII"
            f" characters, found {len(key)} characters."
        )


def _make_refusal(answer: ClaimAnswer, key: str) -> RequestRefusedError | None:
    match answer.outcome:
        case ClaimOutcome.OTHER_BODY:
            return KeyReusedError(
                f"Request key {key!r} was used before with another body."
            )
        case ClaimOutcome.FULL:
            return KeyTableFullError(
                "No more request keys can be remembered now.",
                retry_after_s=RETRY_AFTER_S,
            )
        case ClaimOutcome.HISTORY_LOST:
            return KeyHistoryLostError(
                f"The entries that held request key {key!r} are gone; whether"
                " it was used before can't be told.",
                RunState.UNKNOWN,
            )
        case _:
            return None
