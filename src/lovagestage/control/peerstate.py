"""State from peers while the log is down, and comparison of state hashes.

A process that starts while the log is down asks its peers and installs the
state with the highest offset. Connections are authenticated by CURVE keys;
the checksum guards against a damaged answer, and a state is installed only
where it is newer than the own one.
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

START_CHECK_S = 1.0
COMPARE_INTERVAL_S = 10.0
ASK_TIMEOUT_S = 2.0
FETCH_LIMIT_S = 32.0
"""A state that has not come within the first limit is waited for twice as long
the next time, up to this: how long it takes depends on size and link, and
each question begins its transfer anew. The largest that snapshots hold, 12 MB,
takes 20 s at 5 Mbit/s."""
MAX_ASKED = 5


def check_answer(answer: StateAnswer | StateOffer) -> ControlState:
    """Makes the state that a peer sent.

    Raises:
        CodecError: Its bytes or its offset are not what the peer says.
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


def choose_newest(
    answers: Sequence[StateAnswer | StateOffer],
) -> ControlState | None:
    """The state with the highest offset among those that prove right."""
    for answer in sorted(answers, key=lambda a: a.next_offset, reverse=True):
        if not answer.state:
            continue
        try:
            return check_answer(answer)
        except CodecError as error:
            _log.error("peer_state_refused", extra={"error": error.message})
    return None


@dataclasses.dataclass(frozen=True)
class _Offer:
    """What a peer says of its state."""

    table: LinkTable
    vm: VmId
    answer: StateAnswer


class StateResponder:
    """Answers peers' questions and takes their offers.

    Args:
        control: The folded state.
        hub: Brings the questions.
    """

    def __init__(self, control: ControlReader, hub: Hub) -> None:
        self._control = control
        hub.register_answer(StateQuestion, self._on_question)
        hub.register_answer(StateOffer, self._on_offer)

    async def _on_question(self, question: Message) -> Message:
        assert isinstance(question, StateQuestion)
        return self._make_answer(with_state=question.with_state)

    async def _on_offer(self, offer: Message) -> Message:
        assert isinstance(offer, StateOffer)
        state = choose_newest([offer])
        if state is not None:
            self._control.install(state, whole=True)
        return self._make_answer(with_state=False)

    def _make_answer(self, *, with_state: bool) -> StateAnswer:
        folded = self._control.folded
        # A state that is still being read is old; handing it on would bring
        # back, elsewhere, what has been withdrawn since.
        if not self._control.is_usable:
            return StateAnswer(folded.next_offset, "", b"")
        state = folded.encode() if with_state else b""
        return StateAnswer(folded.next_offset, folded.get_hash(), state)


class PeerState(mode.Service):
    """Gets state from peers at a cold start and compares hashes later.

    Attributes:
        mismatches: Peers found with another hash at the same offset.

    Args:
        control: The folded state.
        tables: Connections to peers.
        upstreams: Sidecars, which hold no connection to ask through: they
            are offered the state where their heartbeat shows none.
    """

    def __init__(
        self,
        control: ControlReader,
        tables: list[LinkTable],
        upstreams: UpstreamTable | None = None,
    ) -> None:
        super().__init__()
        self.mismatches = 0
        self._fetch_timeout_s = ASK_TIMEOUT_S
        self._control = control
        self._tables = tables
        self._upstreams = upstreams

    @mode.Service.task
    async def _start_from_peers(self) -> None:
        while not self.should_stop:
            await self.sleep(START_CHECK_S)
            if not self._control.is_usable:
                await self.fetch()
            else:
                await self._offer()

    @mode.Service.task
    async def _compare(self) -> None:
        while not self.should_stop:
            await self.sleep(COMPARE_INTERVAL_S)
            if self._control.is_usable:
                await self.compare()

    async def fetch(self) -> bool:
        """Asks some peers and installs the newest state they have.

        They tell first how far they are, and one sends its state: those of
        all would share the link and each take that much longer.
        """
        offers = await self._ask_some(MAX_ASKED)
        offers.sort(key=lambda offer: offer.answer.next_offset, reverse=True)
        for offer in offers:
            if offer.answer.checksum and await self._fetch_from(offer):
                return True
        return False

    async def _fetch_from(self, offer: _Offer) -> bool:
        answer = await offer.table.ask(
            offer.vm, StateQuestion(with_state=True), self._fetch_timeout_s
        )
        if not isinstance(answer, StateAnswer):
            longer_s = min(FETCH_LIMIT_S, 2 * self._fetch_timeout_s)
            _log.warning(
                "peer_state_late",
                extra={
                    "peer": offer.vm,
                    "timeout_s": self._fetch_timeout_s,
                    "next_s": longer_s,
                },
            )
            self._fetch_timeout_s = longer_s
            return False
        self._fetch_timeout_s = ASK_TIMEOUT_S
        state = choose_newest([answer])
        return state is not None and self._control.install(state, whole=True)

    async def compare(self) -> None:
        """Compares hashes with a peer; a mismatch is logged as an error."""
        for offer in await self._ask_some(1):
            answer = offer.answer
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

    async def _ask_some(self, count: int) -> list[_Offer]:
        """Asks some peers how far they are."""
        peers = [(table, vm) for table in self._tables for vm in table.links]
        random.shuffle(peers)
        question = StateQuestion(with_state=False)
        answers = await asyncio.gather(
            *(
                table.ask(vm, question, ASK_TIMEOUT_S)
                for table, vm in peers[:count]
            )
        )
        return [
            _Offer(table, vm, answer)
            for (table, vm), answer in zip(peers[:count], answers, strict=True)
            if isinstance(answer, StateAnswer)
        ]

    async def _offer(self) -> None:
        for vm in self._get_empty_sidecars():
            folded = self._control.folded
            assert self._upstreams is not None
            await self._upstreams.ask(
                vm,
                StateOffer(
                    folded.next_offset, folded.get_hash(), folded.encode()
                ),
                ASK_TIMEOUT_S,
            )

    def _get_empty_sidecars(self) -> list[VmId]:
        if self._upstreams is None or not self._control.folded.next_offset:
            return []
        empty = []
        for vm in self._upstreams.get_live():
            heartbeat = self._upstreams.get_heartbeat(vm)
            if heartbeat is not None and heartbeat.control_offset == 0:
                empty.append(vm)
        return empty[:MAX_ASKED]
