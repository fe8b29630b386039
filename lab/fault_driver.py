"""Injects the faults of a plan into a fleet and records their times."""

from __future__ import annotations

import dataclasses
import threading
import time

from lab.fault_plan import Fault, FaultKind
from lab.fleet import Fleet
from lab.relay import Relay

# Settings of the log stand-in for each fault of the log.
LOG_FAULTS: dict[FaultKind, dict[str, object]] = {
    FaultKind.OUTAGE: {"outage": True},
    FaultKind.LOST_ANSWERS: {"lose_answer": 4},
    FaultKind.SLOW: {"slow_ms": 700.0},
}


@dataclasses.dataclass(frozen=True)
class InjectedFault:
    """A fault that was injected.

    Attributes:
        fault: The planned fault.
        began_s: Unix time at which the fault started.
        ended_s: Unix time at which the fault was undone.
    """

    fault: Fault
    began_s: float
    ended_s: float

    def overlaps(self, start_s: float, end_s: float) -> bool:
        """Returns whether the fault was active in a span of Unix time."""
        return self.began_s <= end_s and self.ended_s >= start_s


class FaultDriver:
    """Injects faults, each in a thread; a process has one fault at a time.

    Args:
        fleet: Fleet to inject faults into.
        relays: Relays in front of processes, by process name.

    Attributes:
        applied: Faults that were injected.
        failures: Descriptions of faults that could not be injected or undone.
    """

    def __init__(self, fleet: Fleet, relays: dict[str, Relay]) -> None:
        self.applied: list[InjectedFault] = []
        self.failures: list[str] = []
        self._fleet = fleet
        self._relays = relays
        self._start_lock = threading.Lock()
        self._affected: set[str] = set()
        self._threads: list[threading.Thread] = []

    def run(self, plan: list[Fault], start_s: float) -> None:
        """Injects the faults of a plan; returns when all of them are undone.

        A fault is skipped if its process does not run or has another fault.

        Args:
            plan: Faults in the order of their times.
            start_s: Unix time that the plan's times count from.
        """
        for fault in plan:
            time.sleep(max(0.0, start_s + fault.at_s - time.time()))
            if not self._can_apply(fault):
                continue
            self._affected.add(fault.name)
            thread = threading.Thread(target=self._apply, args=(fault,))
            thread.start()
            self._threads.append(thread)
        for thread in self._threads:
            thread.join()

    def _can_apply(self, fault: Fault) -> bool:
        is_running = fault.name in self._fleet.children
        return is_running and fault.name not in self._affected

    def _apply(self, fault: Fault) -> None:
        began_s = time.time()
        try:
            self._execute(fault)
        except Exception as error:  # Reported as a failure of the experiment.
            self.failures.append(f"{fault.kind.value} {fault.name}: {error!r}")
        self.applied.append(InjectedFault(fault, began_s, time.time()))
        self._affected.discard(fault.name)

    def _execute(self, fault: Fault) -> None:
        fleet = self._fleet
        if fault.kind is FaultKind.KILL:
            port = fleet.children[fault.name].port
            fleet.kill(fault.name)
            time.sleep(fault.duration_s)
            self._start_process(fault.name, port)
        elif fault.kind is FaultKind.REPLACE:
            code = fleet.stop(fault.name)
            if code != 0:
                self.failures.append(f"{fault.name} stopped with {code}")
            time.sleep(fault.duration_s)
            self._start_process(fault.name, 0)
        elif fault.kind is FaultKind.PAUSE:
            fleet.suspend(fault.name)
            time.sleep(fault.duration_s)
            fleet.resume(fault.name)
        elif fault.kind is FaultKind.SILENCE:
            self._relays[fault.name].swallow_existing()
            time.sleep(fault.duration_s)
        else:
            faults = LOG_FAULTS[fault.kind]
            fleet.set_fault(fault.name, **faults)
            time.sleep(fault.duration_s)
            fleet.set_fault(fault.name, **dict.fromkeys(faults))

    def _start_process(self, name: str, port: int) -> None:
        role, _, index = name.rpartition("-")
        with self._start_lock:
            if role == "engine":
                self._fleet.restart_engine(int(index), port)
            elif role == "sidecar":
                self._fleet.start_sidecar(int(index))
            else:
                entry = self._fleet.start_entry(int(index))
        if role == "entry":
            self._fleet.wait_until_ready(entry)
