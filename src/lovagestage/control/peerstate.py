"""Control state from peers while the log is down, and hash comparison.

A process that starts while the log is down asks its peers for their state and
installs the valid state with the highest offset. Connections are authenticated
by CURVE keys. The checksum guards against a damaged answer. A state is
installed only if it is newer than the process's own state.
"""

from __future__ import annotations

import asyncio
import dataclasses
import hashlib
import logging
import random
from collections.abc import Sequence

import mode

from lovagestage.bus.hub import Hub
from lovagestage.bus.links import LinkTable
from lovagestage.bus.upstreams import UpstreamTable
from lovagestage.control.reader import ControlReader
from lovagestage.exceptions import CodecError
from lovagestage.messages.envelope import (
    Message,
    StateAnswer,
    StateOffer,
    StateQuestion,
)
from lovagestage.state.fold import ControlState, restore_state
from lovagestage.types import VmId

_log = logging.getLogger(__name__)

FETCH_INTERVAL_S = 1.0
COMPARE_INTERVAL_S = 10.0
QUERY_TIMEOUT_S = 2.0
MAX_FETCH_TIMEOUT_S = 32.0
"""Longest timeout, in seconds, for the transfer of a peer's state.

After a timeout, the next request waits twice as long, up to this limit. The
duration of a transfer depends on the size of the state and on the link, and
each request starts the transfer from the beginning. The largest state that
snapshots hold, 12 MB, takes 20 s at 5 Mbit/s.
"""
MAX_QUERIED_PEERS = 5


def decode_answer(answer: StateAnswer | StateOffer) -> ControlState:
    """Decodes the state that a peer sent and verifies the peer's statements.

    Args:
        answer: The peer's message with an encoded state.

    Raises:
        CodecError: The bytes do not decode, or the checksum or the offset
            differs from the one that the peer states.
    """
    checksum = hashlib.sha256(answer.state).hexdigest()
    if checksum != answer.checksum:
        raise CodecError(
            f"Expected checksum {answer.checksum!r}, found {checksum!r}."
        )
    state = restore_state(answer.state)
    if state.next_offset != answer.next_offset:
        raise CodecError(
            f"Expected offset {answer.next_offset}, found {state.next_offset}."
        )
    return state


def choose_newest_state(
    answers: Sequence[StateAnswer | StateOffer],
) -> ControlState | None:
    """Returns the valid state with the highest offset.

    Args:
        answers: Messages of peers; those without a state are skipped.

    Returns:
        None if no message holds a valid state.
    """
    for answer in sorted(answers, key=lambda a: a.next_offset, reverse=True):
        if not answer.state:
            continue
        try:
            return decode_answer(answer)
        except CodecError as error:
            _log.error("peer_state_refused", extra={"error": error.message})
    return None


@dataclasses.dataclass(frozen=True)
class _PeerAnswer:
    """A peer's answer about its state, and the connection it came through."""

    table: LinkTable
    vm: VmId
    answer: StateAnswer


class StateResponder:
    """Answers peers' state requests and installs the states that they offer.

    Args:
        control: Reader that holds the folded control state.
        hub: Message hub that delivers the requests.
    """

    def __init__(self, control: ControlReader, hub: Hub) -> None:
        self._control = control
        hub.register_query_handler(StateQuestion, self._on_state_question)
        hub.register_query_handler(StateOffer, self._on_state_offer)

    async def _on_state_question(self, question: Message) -> Message:
        assert isinstance(question, StateQuestion)
        return self._make_answer(with_state=question.with_state)

    async def _on_state_offer(self, offer: Message) -> Message:
        assert isinstance(offer, StateOffer)
        state = choose_newest_state([offer])
        if state is not None:
            self._control.install(state, is_complete=True)
        return self._make_answer(with_state=False)

    def _make_answer(self, *, with_state: bool) -> StateAnswer:
        folded = self._control.folded
        # A state is out of date while the log is still being read. Sending
        # such a state would bring withdrawn versions back into force at the
        # process that installs it.
        if not self._control.is_usable:
            return StateAnswer(folded.next_offset, "", b"")
        state = folded.encode() if with_state else b""
        return StateAnswer(folded.next_offset, folded.get_hash(), state)


class PeerState(mode.Service):
    """Fetches the state from peers at a cold start and compares hashes later.

    Attributes:
        mismatches: Number of comparisons in which a peer had another hash at
            the same offset.

    Args:
        control: Reader that holds the folded control state.
        tables: Connections to peers.
        upstreams: Connections to the sidecars. A sidecar has no connection to
            an entry and can't ask for the state, so this process offers the
            state to sidecars whose heartbeat shows that they have none.
    """

    def __init__(
        self,
        control: ControlReader,
        tables: list[LinkTable],
        upstreams: UpstreamTable | None = None,
    ) -> None:
        super().__init__()
        self.mismatches = 0
        self._fetch_timeout_s = QUERY_TIMEOUT_S
        self._control = control
        self._tables = tables
        self._upstreams = upstreams

    @mode.Service.task
    async def _exchange_states(self) -> None:
        while not self.should_stop:
            await self.sleep(FETCH_INTERVAL_S)
            if not self._control.is_usable:
                await self.fetch()
            else:
                await self._offer_state()

    @mode.Service.task
    async def _compare_periodically(self) -> None:
        while not self.should_stop:
            await self.sleep(COMPARE_INTERVAL_S)
            if self._control.is_usable:
                await self.compare()

    async def fetch(self) -> bool:
        """Asks some peers for their offset and installs the newest state.

        The peers first report their offsets, and then one peer at a time is
        asked for its state. Concurrent transfers from all peers would share
        the link, and each transfer would take correspondingly longer.

        Returns:
            Whether a newer state was installed.
        """
        peer_answers = await self._query_peers(MAX_QUERIED_PEERS)
        peer_answers.sort(
            key=lambda peer_answer: peer_answer.answer.next_offset, reverse=True
        )
        for peer_answer in peer_answers:
            if peer_answer.answer.checksum and await self._fetch_from(
                peer_answer
            ):
                return True
        return False

    async def _fetch_from(self, peer_answer: _PeerAnswer) -> bool:
        answer = await peer_answer.table.ask(
            peer_answer.vm,
            StateQuestion(with_state=True),
            self._fetch_timeout_s,
        )
        if not isinstance(answer, StateAnswer):
            next_timeout_s = min(MAX_FETCH_TIMEOUT_S, 2 * self._fetch_timeout_s)
            _log.warning(
                "peer_state_late",
                extra={
                    "peer": peer_answer.vm,
                    "timeout_s": self._fetch_timeout_s,
                    "next_s": next_timeout_s,
                },
            )
            self._fetch_timeout_s = next_timeout_s
            return False
        self._fetch_timeout_s = QUERY_TIMEOUT_S
        state = choose_newest_state([answer])
        return state is not None and self._control.install(
            state, is_complete=True
        )

    async def compare(self) -> None:
        """Compares the state hash with one peer's and logs a mismatch."""
        for peer_answer in await self._query_peers(1):
            answer = peer_answer.answer
            folded = self._control.folded
            same_offset = answer.next_offset == folded.next_offset
            if (
                same_offset
                and answer.checksum
                and answer.checksum != folded.get_hash()
            ):
                self.mismatches += 1
                _log.error(
                    "control_hash_mismatch",
                    extra={
                        "offset": folded.next_offset,
                        "own": folded.get_hash(),
                        "other": answer.checksum,
                    },
                )

    async def _query_peers(self, count: int) -> list[_PeerAnswer]:
        """Asks some randomly chosen peers for their offset and hash.

        Args:
            count: Largest number of peers to ask.
        """
        peers = [(table, vm) for table in self._tables for vm in table.links]
        random.shuffle(peers)
        question = StateQuestion(with_state=False)
        answers = await asyncio.gather(
            *(
                table.ask(vm, question, QUERY_TIMEOUT_S)
                for table, vm in peers[:count]
            )
        )
        return [
            _PeerAnswer(table, vm, answer)
            for (table, vm), answer in zip(peers[:count], answers, strict=True)
            if isinstance(answer, StateAnswer)
        ]

    async def _offer_state(self) -> None:
        for vm in self._get_sidecars_without_state():
            folded = self._control.folded
            assert self._upstreams is not None
            await self._upstreams.ask(
                vm,
                StateOffer(
                    folded.next_offset, folded.get_hash(), folded.encode()
                ),
                QUERY_TIMEOUT_S,
            )

    def _get_sidecars_without_state(self) -> list[VmId]:
        if self._upstreams is None or not self._control.folded.next_offset:
            return []
        without_state = []
        for vm in self._upstreams.get_live():
            heartbeat = self._upstreams.get_heartbeat(vm)
            if heartbeat is not None and heartbeat.control_offset == 0:
                without_state.append(vm)
        return without_state[:MAX_QUERIED_PEERS]
