"""Polls the platform's list of VMs for the components that need it."""

from __future__ import annotations

import logging
from collections.abc import Callable

import mode

from lovagestage.adapters.protocols import Vm, VmList, VmListError

_log = logging.getLogger(__name__)

VM_LIST_INTERVAL_S = 1.0
"""Time between the end of one read of the VM list and the next read."""


class VmWatch(mode.Service):
    """Reads the VM list at an interval and passes it to its subscribers."""

    def __init__(self, vms: VmList) -> None:
        super().__init__()
        self._vms = vms
        self._subscribers: list[Callable[[list[Vm]], None]] = []

    def subscribe(self, callback: Callable[[list[Vm]], None]) -> None:
        """Calls `callback` with each VM list that was read."""
        self._subscribers.append(callback)

    @mode.Service.task
    async def _poll(self) -> None:
        while not self.should_stop:
            try:
                vms = await self._vms.get_vms()
            except VmListError as error:
                # The previous list stays in use: heartbeats show more
                # reliably than the list which processes are reachable.
                _log.warning("vm_list_failed", extra={"error": error.message})
            else:
                for callback in self._subscribers:
                    callback(vms)
            await self.sleep(VM_LIST_INTERVAL_S)
