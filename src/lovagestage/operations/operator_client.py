"""What the operators' commands do, apart from reading and printing."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import json
import time
from collections.abc import AsyncIterator, Callable

import aiohttp
import msgspec
import zmq

from lovagestage.adapters.http_log import HttpLog
from lovagestage.adapters.http_vm_list import HttpVmList
from lovagestage.adapters.protocols import Vm
from lovagestage.bus.transport import Connection
from lovagestage.control.reader import ControlReader
from lovagestage.control.snapshotting import SnapshotStream
from lovagestage.control.writer import ControlWriter, make_change_id
from lovagestage.exceptions import (
    BelowHorizonError,
    CodecError,
    DocumentInvalidError,
    LogUnavailableError,
    ProcessSilentError,
    ServiceUnknownError,
    SettingsError,
)
from lovagestage.messages.envelope import DumpAnswer, DumpRequest, Message
from lovagestage.operations.checks import Fault, get_faults
from lovagestage.settings import BusSettings, OperatorSettings
from lovagestage.state.document import ServiceDocument
from lovagestage.state.operators import sign_change
from lovagestage.state.outcomes import ChangeResult, Outcome
from lovagestage.state.records import (
    CONTROL_STREAM,
    DocumentChange,
    OperatorsChange,
    decode_record,
)
from lovagestage.types import ChangeId, Offset, ServiceId

CATCH_UP_TIMEOUT_S = 15.0
DUMP_TIMEOUT_S = 3.0
READ_LIMIT = 500
MAX_EDIT_TRIES = 5

Edit = Callable[[ServiceDocument], ServiceDocument]


@dataclasses.dataclass(frozen=True)
class PutResult:
    """What became of an operator's change.

    Attributes:
        change_id: Names the change; to be asked about later.
        outcome: Accepted or not.
        revision: Revision in force after it.
    """

    change_id: ChangeId
    outcome: Outcome
    revision: int


@dataclasses.dataclass(frozen=True)
class HistoryEntry:
    """A change that the log still has.

    Attributes:
        offset: Offset of its record.
        change_id: Names the change.
        author: Operator who made it.
        base: Revision that it edited.
        outcome: What became of it; `unknown` where that has been dropped.
        revision: Revision in force after it.
    """

    offset: int
    change_id: str
    author: str
    base: int
    outcome: str
    revision: int


@dataclasses.dataclass(frozen=True)
class ProcessStatus:
    """What one process says of the configuration.

    Attributes:
        vm: Its VM.
        role: Its role.
        zone: Its availability zone.
        heard: Whether it answered.
        offset: Next offset of its fold.
        state_hash: Hash of its folded state.
        behind: Whether an accepted revision is not yet in force there.
    """

    vm: str
    role: str
    zone: str
    heard: bool
    offset: int = 0
    state_hash: str = ""
    behind: bool = True


class OperatorClient:
    """Reads and changes documents through the log.

    Args:
        settings: The operator's settings.
        session: HTTP client.
    """

    def __init__(
        self, settings: OperatorSettings, session: aiohttp.ClientSession
    ) -> None:
        self._settings = settings
        platform = settings.platform
        self._log = HttpLog(session, platform.log_url)
        self._vms = HttpVmList(session, platform.vms_url)
        self.control = ControlReader(
            self._log,
            SnapshotStream(self._log, platform.log_keys),
            platform.operators_root_key,
        )
        self._writer = ControlWriter(self._log, self.control)

    async def catch_up(self) -> None:
        """Waits until the end of the log has been read.

        Raises:
            LogUnavailableError: It was not reached in time.
        """
        end_s = time.monotonic() + CATCH_UP_TIMEOUT_S
        while not self.control.caught_up:
            left_s = end_s - time.monotonic()
            if left_s <= 0:
                raise LogUnavailableError(
                    "The end of the log was not reached within"
                    f" {CATCH_UP_TIMEOUT_S:g} s; the reader is"
                    f" {self.control.follow_state.value}."
                )
            await self.control.wait_changed(min(left_s, 0.1))

    def get_document(self, service: str) -> tuple[int, ServiceDocument]:
        """Revision and document in force.

        Raises:
            ServiceUnknownError: There is none.
        """
        held = self.control.services.get(ServiceId(service))
        if held is None:
            known = sorted(self.control.services)
            raise ServiceUnknownError(
                f"There is no service {service!r}; expected one of {known}."
            )
        return held.revision, held.document

    async def put(
        self,
        document: ServiceDocument,
        base: int,
        change_id: ChangeId | None = None,
    ) -> PutResult:
        """Checks, signs and appends a document.

        Raises:
            DocumentInvalidError: The document has faults; nothing was
                appended.
            LogUnavailableError: It was certainly not appended.
            ChangeUnknownError: It may have been appended.
        """
        faults = get_faults(document)
        if faults:
            raise DocumentInvalidError(format_faults(faults))
        change = DocumentChange(
            change_id or make_change_id(),
            document.service,
            base,
            self._settings.operator,
            msgspec.json.encode(document),
        )
        return _make_result(change, await self._append(change))

    async def edit(self, service: str, edit: Edit) -> PutResult:
        """Edits the document in force, again where another edit won.

        A thin edit says what is wanted of one part, so it holds on a later
        revision as well; a whole document does not, and `put` never rebases.
        """
        for _ in range(MAX_EDIT_TRIES):
            revision, document = self.get_document(service)
            result = await self.put(edit(document), revision)
            if result.outcome is not Outcome.CONFLICT:
                break
        return result

    async def put_operators(self, change: OperatorsChange) -> PutResult:
        """Signs with the settings' key and appends a list of operators."""
        return _make_result(change, await self._append(change))

    def get_result(self, change_id: str) -> ChangeResult | None:
        """What became of a change; None where it is not in the log."""
        return self.control.folded.get_result(ChangeId(change_id))

    async def get_history(self, service: str) -> list[HistoryEntry]:
        """Changes of a service that the log still has, oldest first."""
        entries = []
        start = Offset(0)
        while start < self.control.folded.next_offset:
            try:
                page = await self._log.read(
                    CONTROL_STREAM, start, READ_LIMIT, 0.0
                )
            except BelowHorizonError as error:
                # Records expire, also between two reads.
                start = Offset(error.first_offset)
                continue
            if not page.records:
                break
            for offset, data in page.records:
                entry = self._make_entry(offset, data, service)
                if entry is not None:
                    entries.append(entry)
            start = Offset(page.records[-1][0] + 1)
        return entries

    async def get_status(self) -> list[ProcessStatus]:
        """Asks each process of the VM list how far it is."""
        vms = await self._vms.get_vms()
        return list(await asyncio.gather(*(self._ask(vm) for vm in vms)))

    async def get_dump(self, address: str) -> bytes:
        """One process's whole state as JSON.

        Raises:
            ProcessSilentError: It did not answer in time.
        """
        bus = self._settings.bus
        if bus is None:
            raise SettingsError(
                "operator settings", 1, "bus", "expected this key."
            )
        return await ask_dump(bus, address)

    async def _append(
        self, change: DocumentChange | OperatorsChange
    ) -> ChangeResult:
        if self._settings.signing_key:
            change = sign_change(change, self._settings.signing_key)
        return await self._writer.append(change)

    def _make_entry(
        self, offset: Offset, data: bytes, service: str
    ) -> HistoryEntry | None:
        try:
            record = decode_record(data)
        except CodecError:
            return None
        if not isinstance(record, DocumentChange) or record.service != service:
            return None
        result = self.control.folded.get_result(record.change_id)
        return HistoryEntry(
            offset,
            record.change_id,
            record.author,
            record.base,
            result.outcome.value if result else "unknown",
            result.revision if result else 0,
        )

    async def _ask(self, vm: Vm) -> ProcessStatus:
        try:
            state = json.loads(await self.get_dump(vm.bus))
        except ProcessSilentError:
            return ProcessStatus(vm.vm, vm.role.value, vm.zone, False)
        control = state["control"]
        mine = self.control.folded
        return ProcessStatus(
            vm.vm,
            vm.role.value,
            vm.zone,
            True,
            control["next_offset"],
            control["hash"],
            any(
                control["revisions"].get(name, 0) < held.revision
                for name, held in mine.services.items()
            ),
        )


async def ask_dump(bus: BusSettings, address: str) -> bytes:
    """Asks one process for its state over a connection of its own.

    Args:
        bus: Keys; each accepted key is tried as the other's key.
        address: `HOST:PORT` of the process's listener.

    Raises:
        ProcessSilentError: It did not answer in time.
    """
    context: zmq.Context[zmq.Socket[bytes]] = zmq.Context()
    answer: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()

    def on_message(message: Message) -> None:
        if isinstance(message, DumpAnswer) and not answer.done():
            answer.set_result(message.state)

    connections = [
        Connection(context, bus, address, key, on_message, lambda event: None)
        for key in bus.accepted_keys
    ]
    try:
        for connection in connections:
            connection.send(DumpRequest())
        return await asyncio.wait_for(answer, DUMP_TIMEOUT_S)
    except TimeoutError:
        raise ProcessSilentError(
            f"The process at {address!r} did not answer within"
            f" {DUMP_TIMEOUT_S:g} s."
        ) from None
    finally:
        for connection in connections:
            connection.close()
        context.destroy(linger=0)


@contextlib.asynccontextmanager
async def open_client(
    settings: OperatorSettings,
) -> AsyncIterator[OperatorClient]:
    """A client that has read the log to its end."""
    async with aiohttp.ClientSession() as session:
        client = OperatorClient(settings, session)
        await client.control.start()
        try:
            await client.catch_up()
            yield client
        finally:
            await client.control.stop()


def get_services_of(
    services: dict[ServiceId, ServiceDocument], version: str
) -> list[ServiceId]:
    """Services whose document has a version."""
    return [
        name
        for name, document in services.items()
        if any(v.name == version for v in document.versions)
    ]


def format_faults(faults: list[Fault]) -> str:
    """One line a fault."""
    return "\n".join(f"{fault.path}: {fault.reason}" for fault in faults)


def _make_result(
    change: DocumentChange | OperatorsChange, result: ChangeResult
) -> PutResult:
    return PutResult(change.change_id, result.outcome, result.revision)
