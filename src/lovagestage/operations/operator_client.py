"""Client of the operators' commands: reads and changes the control log."""

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
    CodecError,
    DocumentInvalidError,
    LogUnavailableError,
    ProcessUnresponsiveError,
    RecordsExpiredError,
    SettingsError,
    UnknownServiceError,
)
from lovagestage.messages.envelope import DumpAnswer, DumpRequest, Message
from lovagestage.operations.checks import Fault, find_faults
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
RECORDS_PER_READ = 500
MAX_EDIT_ATTEMPTS = 5

Edit = Callable[[ServiceDocument], ServiceDocument]


@dataclasses.dataclass(frozen=True)
class PutResult:
    """Result of a change that an operator appended.

    Attributes:
        change_id: Id of the change, by which its result can be queried later.
        outcome: Whether the change was accepted, or why it was not.
        revision: Revision in force after the change.
    """

    change_id: ChangeId
    outcome: Outcome
    revision: int


@dataclasses.dataclass(frozen=True)
class HistoryEntry:
    """A change whose record the log still retains.

    Attributes:
        offset: Offset of the change's record.
        change_id: Id of the change.
        author: Operator who made the change.
        base: Revision that the change edited.
        outcome: Outcome of the change; `unknown` where the folded state no
            longer contains it.
        revision: Revision in force after the change; 0 where the outcome is
            unknown.
    """

    offset: int
    change_id: str
    author: str
    base: int
    outcome: str
    revision: int


@dataclasses.dataclass(frozen=True)
class ProcessStatus:
    """Configuration that one process reports.

    Attributes:
        vm: VM of the process.
        role: Role of the process.
        zone: Availability zone of the process.
        heard: Whether the process answered in time.
        offset: Next offset of the control stream that the process will fold.
        state_hash: Hash of the folded state of the process.
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
    """Reads and changes service documents through the control log.

    Args:
        settings: Settings of the operator.
        session: HTTP client session for the log and the VM list.

    Attributes:
        control: Reader that folds the control stream.
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
        """Waits until the control stream has been read to its end.

        Raises:
            LogUnavailableError: The end was not reached within
                `CATCH_UP_TIMEOUT_S`.
        """
        deadline_s = time.monotonic() + CATCH_UP_TIMEOUT_S
        while not self.control.caught_up:
            remaining_s = deadline_s - time.monotonic()
            if remaining_s <= 0:
                raise LogUnavailableError(
                    "The end of the log was not reached within"
                    f" {CATCH_UP_TIMEOUT_S:g} s; the reader is"
                    f" {self.control.follow_state.value}."
                )
            await self.control.wait_for_change(min(remaining_s, 0.1))

    def get_document(self, service: str) -> tuple[int, ServiceDocument]:
        """Returns the revision and the document of a service in force.

        Raises:
            UnknownServiceError: The service has no document.
        """
        in_force = self.control.services.get(ServiceId(service))
        if in_force is None:
            known = sorted(self.control.services)
            raise UnknownServiceError(
                f"There is no service {service!r}; expected one of {known}."
            )
        return in_force.revision, in_force.document

    async def put(
        self,
        document: ServiceDocument,
        base: int,
        change_id: ChangeId | None = None,
    ) -> PutResult:
        """Checks, signs and appends a document.

        Args:
            document: New document of its service.
            base: Revision that the document was edited from.
            change_id: Id of an earlier change that is sent again; a new id
                is made without it.

        Raises:
            DocumentInvalidError: The document has faults; nothing was
                appended.
            LogUnavailableError: The change was certainly not appended.
            ChangeUnknownError: The change may have been appended.
        """
        faults = find_faults(document)
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
        """Edits the document in force; retries after a conflicting change.

        An edit sets only one part of a document, so it is also valid for a
        later revision and is applied to it after a conflict. A complete
        document is not valid for a later revision, so `put` never rebases it.

        Returns:
            Result of the last attempt; there are at most
            `MAX_EDIT_ATTEMPTS`.
        """
        for _ in range(MAX_EDIT_ATTEMPTS):
            revision, document = self.get_document(service)
            result = await self.put(edit(document), revision)
            if result.outcome is not Outcome.CONFLICT:
                break
        return result

    async def put_operators(self, change: OperatorsChange) -> PutResult:
        """Signs a list of operators with the settings' key and appends it."""
        return _make_result(change, await self._append(change))

    def get_result(self, change_id: str) -> ChangeResult | None:
        """Returns the result of a change; None where the result is unknown."""
        return self.control.folded.get_result(ChangeId(change_id))

    async def get_history(self, service: str) -> list[HistoryEntry]:
        """Returns the changes of a service in the log, oldest first."""
        entries = []
        start = Offset(0)
        while start < self.control.folded.next_offset:
            try:
                page = await self._log.read(
                    CONTROL_STREAM, start, RECORDS_PER_READ, 0.0
                )
            except RecordsExpiredError as error:
                # Records expire in the log, even between two reads.
                start = Offset(error.first_offset)
                continue
            if not page.records:
                break
            for offset, data in page.records:
                entry = self._make_history_entry(offset, data, service)
                if entry is not None:
                    entries.append(entry)
            start = Offset(page.records[-1][0] + 1)
        return entries

    async def get_status(self) -> list[ProcessStatus]:
        """Queries the configuration in force at each process of the VM list."""
        vms = await self._vms.get_vms()
        return list(
            await asyncio.gather(*(self._query_process(vm) for vm in vms))
        )

    async def get_dump(self, address: str) -> bytes:
        """Returns the complete state of one process as JSON.

        Args:
            address: `HOST:PORT` of the process's listener.

        Raises:
            ProcessUnresponsiveError: The process did not answer in time.
            SettingsError: The settings have no `bus`.
        """
        bus = self._settings.bus
        if bus is None:
            raise SettingsError(
                "operator settings", 1, "bus", "expected this key."
            )
        return await request_dump(bus, address)

    async def _append(
        self, change: DocumentChange | OperatorsChange
    ) -> ChangeResult:
        if self._settings.signing_key:
            change = sign_change(change, self._settings.signing_key)
        return await self._writer.append(change)

    def _make_history_entry(
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

    async def _query_process(self, vm: Vm) -> ProcessStatus:
        try:
            state = json.loads(await self.get_dump(vm.bus_address))
        except ProcessUnresponsiveError:
            return ProcessStatus(vm.vm, vm.role.value, vm.zone, False)
        control = state["control"]
        folded = self.control.folded
        return ProcessStatus(
            vm.vm,
            vm.role.value,
            vm.zone,
            True,
            control["next_offset"],
            control["hash"],
            any(
                control["revisions"].get(name, 0) < in_force.revision
                for name, in_force in folded.services.items()
            ),
        )


async def request_dump(bus: BusSettings, address: str) -> bytes:
    """Requests the state of one process over new connections.

    Args:
        bus: Bus settings. A connection is opened for each accepted key, since
            any of them may be the key of the process.
        address: `HOST:PORT` of the process's listener.

    Returns:
        State of the process as JSON.

    Raises:
        ProcessUnresponsiveError: The process did not answer within
            `DUMP_TIMEOUT_S`.
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
        raise ProcessUnresponsiveError(
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
    """Opens a client that has read the control stream to its end.

    Raises:
        LogUnavailableError: The end was not reached in time.
    """
    async with aiohttp.ClientSession() as session:
        client = OperatorClient(settings, session)
        await client.control.start()
        try:
            await client.catch_up()
            yield client
        finally:
            await client.control.stop()


def find_services_with_version(
    services: dict[ServiceId, ServiceDocument], version: str
) -> list[ServiceId]:
    """Returns the services whose document contains a version."""
    return [
        name
        for name, document in services.items()
        if any(v.name == version for v in document.versions)
    ]


def format_faults(faults: list[Fault]) -> str:
    """Formats faults for a terminal, one on each line."""
    return "\n".join(f"{fault.path}: {fault.reason}" for fault in faults)


def _make_result(
    change: DocumentChange | OperatorsChange, result: ChangeResult
) -> PutResult:
    return PutResult(change.change_id, result.outcome, result.revision)
