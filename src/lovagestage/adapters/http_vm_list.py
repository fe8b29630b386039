"""Client of the platform's list of VMs over HTTP."""

from __future__ import annotations

import aiohttp
import msgspec

from lovagestage.adapters.http_calls import READ_ERRORS, make_read_timeout
from lovagestage.adapters.protocols import Vm, VmListError
from lovagestage.types import Role, VmId, VmState, ZoneId


class _VmEntry(msgspec.Struct):
    vm: VmId
    role: Role
    zone: ZoneId
    state: VmState
    bus: str


class _VmsResponse(msgspec.Struct):
    vms: list[_VmEntry]


class HttpVmList:
    """Client of the platform's list of VMs over HTTP.

    Args:
        session: HTTP client of the process.
        url: Base URL of the service that has the list.
    """

    def __init__(self, session: aiohttp.ClientSession, url: str) -> None:
        self._session = session
        self._url = url.rstrip("/")

    async def get_vms(self) -> list[Vm]:
        """See `VmList.get_vms`."""
        try:
            async with self._session.get(
                f"{self._url}/v1/vms", timeout=make_read_timeout()
            ) as response:
                response.raise_for_status()
                decoded = msgspec.json.decode(
                    await response.read(), type=_VmsResponse
                )
        except READ_ERRORS as error:
            raise VmListError(
                f"The list of VMs can't be read: {error!r}."
            ) from error
        return [
            Vm(vm.vm, vm.role, vm.zone, vm.state, vm.bus) for vm in decoded.vms
        ]
