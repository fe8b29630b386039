"""Launcher of a fleet: starts the stand-ins and the product's processes.

Within the project, only the lab starts processes. The launcher holds the
process object of each child and ends the child through this object.
"""

from __future__ import annotations

import dataclasses
import json
import os
import pathlib
import shutil
import signal
import subprocess
import sys
import tempfile
import time
from types import TracebackType
from typing import Any

import msgspec
import zmq

from lab.calls import call
from lab.fleet_settings import OPERATOR, FleetSettings, StandInUrls
from lab.ports import HOST, get_free_port
from lab.shapes import EXAMPLES, Shape
from lovagestage.settings import parse_json_file
from lovagestage.state.document import ServiceDocument
from lovagestage.state.operators import sign_change
from lovagestage.state.records import (
    DocumentChange,
    OperatorsChange,
    OperatorSpec,
    Record,
    encode_record,
)
from lovagestage.types import ChangeId

READY_TIMEOUT_S = 30.0
"""Time limit in seconds until a process answers its health check."""
STOP_TIMEOUT_S = 20.0
"""Time limit in seconds until a stopped or killed process has ended."""
POLL_S = 0.05
"""Interval in seconds between two health checks of a starting process."""


@dataclasses.dataclass
class Child:
    """A process that the launcher has started.

    Attributes:
        name: Unique name within the fleet, such as `entry-0`.
        process: Handle of the process.
        port: Port of its HTTP server; 0 if it has none or is still starting.
        bus: `HOST:PORT` of its message listener; empty for stand-ins.
    """

    name: str
    process: subprocess.Popen[str]
    port: int = 0
    bus: str = ""

    @property
    def url(self) -> str:
        """Base URL of the process's HTTP server."""
        return f"http://{HOST}:{self.port}"


class FleetError(Exception):
    """A process of the fleet did not start or become ready as expected."""


class Fleet:
    """The processes of one fleet; a context manager that starts and ends them.

    Args:
        shape: Numbers of processes, their zones and the service.
        engine_options: Additional command-line arguments of each engine.
        folder: Folder of the settings and log files; a temporary folder by
            default.
        binary: The packaged executable to run; by default the package's
            source.
        entry_options: Additional settings of each entry.
        bus_options: Additional settings of each process's message connections.
        statsd: Settings of the statsd server that processes send metrics to.

    Attributes:
        children: Running processes by name.
        has_rater: Whether settings name the rater.
        entry_options: Settings of each entry.
        settings: Writer of the settings files.
    """

    def __init__(
        self,
        shape: Shape,
        engine_options: tuple[str, ...] = (),
        folder: pathlib.Path | None = None,
        binary: pathlib.Path | None = None,
        entry_options: dict[str, Any] | None = None,
        bus_options: dict[str, Any] | None = None,
        statsd: dict[str, Any] | None = None,
    ) -> None:
        self.shape = shape
        self.children: dict[str, Child] = {}
        self.has_rater = True
        self._engine_options = engine_options
        self._owns_folder = folder is None
        self._folder = folder or pathlib.Path(
            tempfile.mkdtemp(prefix="lovagestage-")
        )
        self.entry_options: dict[str, Any] = {
            "session_keys": ["lab-session-key"],
            **(entry_options or {}),
        }
        package = ("-m", "lovagestage")
        program = (str(binary),) if binary else package
        self.settings = FleetSettings(
            self._folder, bus_options or {}, statsd or {}
        )
        self._command = (sys.executable, *program)

    def __enter__(self) -> Fleet:
        try:
            self.start()
        except BaseException:
            self.kill_all()
            raise
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.kill_all()
        if self._owns_folder and error is None:
            # The folder has settings with secret keys and must not remain.
            # After an error it is retained for its logs.
            shutil.rmtree(self._folder, ignore_errors=True)

    @property
    def folder(self) -> pathlib.Path:
        """Folder of the settings and log files."""
        return self._folder

    @property
    def entries(self) -> list[Child]:
        """The running entries."""
        return [c for n, c in self.children.items() if n.startswith("entry")]

    @property
    def engines(self) -> list[Child]:
        """The running engine stand-ins."""
        return [c for n, c in self.children.items() if n.startswith("engine")]

    @property
    def plains(self) -> list[Child]:
        """The running stand-ins of plain services."""
        return [c for n, c in self.children.items() if n.startswith("plain")]

    def start(self) -> None:
        """Starts all processes and waits until every entry is ready."""
        for name in ("log", "vms", "rater", "weights"):
            self._start_stand_in(name, name)
        self._wait_for_stand_ins()
        for index in range(self.shape.engines):
            self.start_engine(index)
        for index in range(self.shape.plains):
            self._start_stand_in(f"plain-{index}", "plain")
        self._wait_for_stand_ins()
        for index in range(self.shape.engines + self.shape.plains):
            self.start_sidecar(index)
        for index in range(self.shape.entries):
            self.start_entry(index)
        self._publish_operators()
        self.publish(EXAMPLES / f"{self.shape.service}.jsonc")
        for entry in self.entries:
            self.wait_until_ready(entry)

    def start_engine(self, index: int, *options: str) -> Child:
        """Starts one engine; its port is set when it reports readiness."""
        return self._start_stand_in(
            f"engine-{index}",
            "engine",
            "--models",
            self.shape.models,
            "--weights",
            self.children["weights"].url,
            *self._engine_options,
            *options,
        )

    def restart_engine(self, index: int, port: int) -> Child:
        """Starts an engine again on the port that its sidecar connects to."""
        child = self.start_engine(index, "--port", str(port))
        self._wait_for_stand_ins()
        return child

    def start_sidecar(self, index: int) -> Child:
        """Starts a sidecar.

        Args:
            index: Number of the sidecar; the sidecars of engines come first,
                followed by those of plain services.
        """
        plain_index = index - self.shape.engines
        if plain_index < 0:
            upstream = self.children[f"engine-{index}"]
            role_settings = {"upstream_url": upstream.url}
        else:
            upstream = self.children[f"plain-{plain_index}"]
            role_settings = {
                "upstream_url": upstream.url,
                "pool": self.shape.pool,
            }
        return self._start_daemon("sidecar", index, {"sidecar": role_settings})

    def start_entry(self, index: int) -> Child:
        """Starts an entry on a free port."""
        port = get_free_port()
        role_settings = {
            "entry": {
                "http_host": HOST,
                "http_port": port,
                **self.entry_options,
            }
        }
        child = self._start_daemon("entry", index, role_settings)
        child.port = port
        return child

    def start_balancer(self) -> Child:
        """Starts the load balancer in front of the running entries."""
        backends = ",".join(f"{HOST}:{entry.port}" for entry in self.entries)
        child = self._start_stand_in(
            "balancer", "balancer", "--backends", backends
        )
        self._wait_for_stand_ins()
        self.wait_until_ready(child)
        return child

    def publish(self, path: pathlib.Path, base: int = 0) -> None:
        """Appends a document file to the log, signed by the lab's operator.

        Args:
            path: File with the service document as JSON with comments.
            base: Revision that the document replaces.
        """
        self.publish_document(parse_json_file(path, ServiceDocument), base)

    def publish_document(self, document: ServiceDocument, base: int) -> None:
        """Appends a service document to the log, signed by the lab's operator.

        Args:
            document: The service document.
            base: Revision that the document replaces.
        """
        self._append(
            DocumentChange(
                ChangeId(f"{document.service}-after-{base}"),
                document.service,
                base,
                OPERATOR,
                msgspec.json.encode(document),
            )
        )

    def _publish_operators(self) -> None:
        public = bytes(self.settings.root.verify_key).hex()
        specs = [OperatorSpec(OPERATOR, [public], ["*"])]
        self._append(OperatorsChange(ChangeId("operators"), 0, specs))

    def _append(self, change: DocumentChange | OperatorsChange) -> None:
        signed: Record = sign_change(change, bytes(self.settings.root).hex())
        call(
            "POST",
            f"{self.children['log'].url}/v1/streams/control/records",
            encode_record(signed),
        )

    def make_operator_settings(self) -> pathlib.Path:
        """Writes the settings file of the lab's operator; returns its path."""
        return self.settings.write_operator(self._get_urls())

    def wait_until_ready(self, entry: Child) -> None:
        """Waits until a process answers its health check successfully.

        Raises:
            FleetError: The process has ended or was not ready in time.
        """
        end_s = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < end_s:
            if self._is_ready(entry):
                return
            time.sleep(POLL_S)
        raise FleetError(f"{entry.name} was not ready in time.")

    def stop(self, name: str) -> int:
        """Stops one process with SIGTERM and removes its VM from the VM list.

        Returns:
            The exit code of the process.
        """
        child = self.children.pop(name)
        child.process.terminate()
        self._deregister_vm(child)
        return child.process.wait(STOP_TIMEOUT_S)

    def kill(self, name: str) -> None:
        """Kills one process with SIGKILL; the VM list still contains its VM."""
        child = self.children.pop(name)
        child.process.kill()
        child.process.wait(STOP_TIMEOUT_S)

    def suspend(self, name: str) -> None:
        """Pauses one process with SIGSTOP."""
        self.children[name].process.send_signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Resumes a paused process with SIGCONT."""
        self.children[name].process.send_signal(signal.SIGCONT)

    def get_dump(self, name: str) -> Any:
        """Requests the state dump of one of the product's processes."""
        from lovagestage.messages.envelope import (
            DumpAnswer,
            DumpRequest,
            decode_message,
            encode_message,
        )

        public, secret = self.settings.keys
        with zmq.Context() as context, context.socket(zmq.DEALER) as socket:
            socket.curve_publickey = socket.curve_serverkey = public.encode()
            socket.curve_secretkey = secret.encode()
            socket.linger = 0
            socket.rcvtimeo = 5000
            socket.connect(f"tcp://{self.children[name].bus}")
            socket.send(encode_message(DumpRequest()))
            answer = decode_message(socket.recv())
        assert isinstance(answer, DumpAnswer)
        return json.loads(answer.state)

    def kill_all(self) -> None:
        """Kills all running processes of the fleet."""
        for name in list(self.children):
            self.kill(name)

    def set_fault(self, name: str, **faults: Any) -> None:
        """Sets faults of a stand-in by name; None switches a fault off."""
        call(
            "POST",
            f"{self.children[name].url}/_faults",
            json.dumps(faults).encode(),
        )

    def get_stats(self, name: str) -> Any:
        """Returns the counters of a stand-in."""
        return json.loads(call("GET", f"{self.children[name].url}/_stats"))

    def get_log_tail(self, name: str, lines: int = 60) -> str:
        """Returns the last lines of a process's log file."""
        path = self._folder / f"{name}.log"
        return "\n".join(path.read_text().splitlines()[-lines:])

    def _is_ready(self, entry: Child) -> bool:
        if entry.process.poll() is not None:
            raise FleetError(f"{entry.name} has ended; see {self._folder}.")
        try:
            call("GET", f"{entry.url}/healthz")
        except OSError:
            return False
        return True

    def _start_stand_in(self, name: str, kind: str, *options: str) -> Child:
        process = self._spawn(
            name, [sys.executable, "-m", "lab", kind, *options], True
        )
        child = Child(name, process)
        self.children[name] = child
        return child

    def _wait_for_stand_ins(self) -> None:
        for child in self.children.values():
            if child.port == 0 and child.process.stdout is not None:
                line = child.process.stdout.readline()
                if not line.startswith("ready port="):
                    raise FleetError(
                        f"{child.name} printed {line!r}, not its port."
                    )
                child.port = int(line.split()[1].partition("=")[2])

    def _start_daemon(
        self, role: str, index: int, settings: dict[str, Any]
    ) -> Child:
        name = f"{role}-{index}"
        zone = self.shape.zones[index % len(self.shape.zones)]
        bus = f"{HOST}:{get_free_port()}"
        path = self.settings.write_daemon(
            name, zone, bus, settings, self._get_urls()
        )
        command = [*self._command, role, "--settings", str(path)]
        process = self._spawn(name, command, False)
        self.children[name] = Child(name, process, bus=bus)
        entry = {"role": role, "zone": zone, "state": "live", "bus": bus}
        self.set_vm(name, {"vm": name, **entry})
        return self.children[name]

    def set_vm(self, name: str, entry: dict[str, Any]) -> None:
        """Sets the current entry of one VM in the VM list."""
        call(
            "PUT",
            f"{self.children['vms'].url}/v1/vms/{name}",
            json.dumps(entry).encode(),
        )

    def set_vm_bus(self, name: str, bus: str) -> None:
        """Changes a sidecar's address in the VM list, such as to a relay's."""
        index = int(name.rpartition("-")[2])
        zone = self.shape.zones[index % len(self.shape.zones)]
        entry = {"vm": name, "role": "sidecar", "zone": zone, "bus": bus}
        self.set_vm(name, {**entry, "state": "live"})

    def _deregister_vm(self, child: Child) -> None:
        if child.bus:
            call("DELETE", f"{self.children['vms'].url}/v1/vms/{child.name}")

    def _get_urls(self) -> StandInUrls:
        return StandInUrls(
            self.children["log"].url,
            self.children["vms"].url,
            self.children["rater"].url if self.has_rater else "",
        )

    def _spawn(
        self, name: str, command: list[str], read_output: bool
    ) -> subprocess.Popen[str]:
        with (self._folder / f"{name}.log").open("a") as log:
            return subprocess.Popen(
                command,
                stdout=subprocess.PIPE if read_output else log,
                stderr=log,
                text=True,
                env={**os.environ, "PYTHONPATH": _get_python_path()},
            )


def _get_python_path() -> str:
    root = pathlib.Path(__file__).parent.parent
    return f"{root / 'src'}{os.pathsep}{root}"
