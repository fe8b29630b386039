"""Parses and checks settings files, which are JSON with comments.

Errors name the file, the line and the key. Comments are replaced by spaces
and their line breaks kept, so that the positions that the library
`json_source_map` finds for keys are the positions in the original file.
"""

from __future__ import annotations

import json
import pathlib
import re
from typing import Any, TypeVar

import msgspec

from lovagestage.exceptions import SettingsError
from lovagestage.types import PoolId, VmId, ZoneId

_STRING_OR_COMMENT = re.compile(
    r'("(?:\\.|[^"\\\n])*")|(//[^\n]*|/\*.*?\*/)', re.DOTALL
)
_MSGSPEC_PATH = re.compile(r"^(?P<reason>.*?)(?: - at `\$(?P<path>.*)`)?$")
_UNKNOWN_FIELD = re.compile(r"unknown field `(?P<field>[^`]*)`")


class StatsdSettings(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Destination of the metrics that a process sends.

    Attributes:
        host: Host of the statsd daemon.
        port: UDP port of the statsd daemon.
        prefix: Prefix of every metric's name.
    """

    host: str = "127.0.0.1"
    port: int = 8125
    prefix: str = "lovagestage"


class LogSettings(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Format and level of a process's log lines.

    Attributes:
        format: `text` for key=value lines, `json` for JSON lines.
        level: Lowest level of the lines that are written.
    """

    format: str = "text"
    level: str = "INFO"


class PlatformSettings(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """URLs of the platform's services.

    Attributes:
        log_url: URL of the append-only log.
        vms_url: URL of the list of VMs.
        rater_url: URL of the answer rater; empty if there is none.
        operators_root_key: Hex Ed25519 public key that authenticates the list
            of operators. If it is empty, anyone who may append to the log may
            edit service documents.
        log_keys: Secrets with which the system's processes sign their
            snapshots in the log. The first one signs; a signature by any of
            them is accepted. Set them wherever `operators_root_key` is set.
    """

    log_url: str
    vms_url: str
    rater_url: str = ""
    operators_root_key: str = ""
    log_keys: list[str] = []


class BusSettings(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Connections and authentication between the system's processes.

    Attributes:
        bind: `HOST:PORT` on which this process listens; port 0 is not allowed.
        public_key: CURVE public key of this process, in Z85.
        secret_key: CURVE secret key of this process, in Z85.
        accepted_keys: Public keys of the processes that may connect, in Z85.
        heartbeat_interval_s: Seconds between heartbeats on a connection that
            is in use or on which a heartbeat is unanswered.
        silent_after_s: Seconds for which a heartbeat may stay unanswered
            before the connection is replaced by a new one.
        lost_after_s: Seconds for which a process may leave heartbeats
            unanswered, also across replaced connections, before it is
            considered lost. A process whose port refuses connections is
            considered lost immediately.
        idle_heartbeat_interval_s: Seconds between heartbeats on a connection
            that is not in use.
        idle_close_s: Seconds for which a connection outside the subset may be
            idle before it is closed.
    """

    bind: str
    public_key: str
    secret_key: str
    accepted_keys: list[str]
    heartbeat_interval_s: float = 0.5
    silent_after_s: float = 2.0
    lost_after_s: float = 5.0
    idle_heartbeat_interval_s: float = 4.5
    idle_close_s: float = 30.0


class EntrySettings(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Settings of an `entry` process.

    Attributes:
        http_host: Address on which the callers' API listens.
        http_port: Port on which the callers' API listens.
        max_body_bytes: Maximum size of a request body; larger ones are
            refused.
        body_timeout_s: Seconds within which a request body must be complete;
            later ones are refused.
        default_deadline_s: Deadline in seconds of a request that states none.
        drain_timeout_s: Longest wait in seconds for open requests at a
            planned stop.
        lease_ttl_s: Seconds without renewal after which another entry may
            take over a lease.
        session_keys: Keys of session tokens, which must be the same at every
            entry. The first one signs; all are accepted. Without a key there
            are no sessions.
        billing_interval_s: Mean seconds between appends of bills to the log.
        billing_buffer_bytes: Maximum bytes of bills that wait to be appended
            to the log, and separately of the copies held for other entries.
            Requests are refused while the buffer is full.
        billing_batch_bytes: Maximum bytes of one append of bills.
        member_silence_s: Seconds without an answered heartbeat after which
            other entries may remove an entry from the members that hold
            request keys.
        learning_window_s: Length in seconds of the windows in which ratings
            are counted; the last six windows are used.
        key_window_s: Seconds for which a request key is remembered.
        key_limit: Maximum number of request keys that this process holds; at
            the limit new keys are refused.
        upstream_subset: Number of sidecars that this entry chooses to stay
            connected to; all of them if there are fewer.
        peer_subset: Number of entries that this entry chooses to stay
            connected to; all of them if there are fewer.
        deferred_slots: Number of deferrable requests that this entry runs at
            the same time.
        deferred_tokens_per_s: Tokens per second that one deferrable request
            generates in a fully loaded engine.
        deferred_limit: Maximum number of deferrable requests that wait.
    """

    http_host: str
    http_port: int
    max_body_bytes: int = 8 * 1024 * 1024
    body_timeout_s: float = 10.0
    default_deadline_s: float = 120.0
    drain_timeout_s: float = 600.0
    lease_ttl_s: float = 15.0
    session_keys: list[str] = []
    billing_interval_s: float = 4.0
    billing_buffer_bytes: int = 8 * 1024 * 1024
    billing_batch_bytes: int = 512 * 1024
    member_silence_s: float = 10.0
    key_window_s: float = 86_400.0
    key_limit: int = 200_000
    upstream_subset: int = 64
    peer_subset: int = 8
    learning_window_s: float = 600.0
    deferred_slots: int = 2
    deferred_tokens_per_s: float = 30.0
    deferred_limit: int = 1000


class SidecarSettings(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Settings of a `sidecar` process.

    Attributes:
        upstream_url: URL of the engine or plain service on the same VM.
        max_running: Maximum number of requests that run at the upstream at
            the same time.
        drain_timeout_s: Longest wait in seconds for running requests at a
            planned stop.
        replay_window_s: Seconds for which a finished answer is retained for
            resumption.
        replay_limit_bytes: Maximum bytes of answers retained for resumption.
        first_token_timeout_s: Seconds within which a stream must have its
            first event; otherwise it is resumed on a new connection to the
            engine.
        progress_timeout_s: Maximum seconds between two events of a stream;
            after that it is resumed on a new connection to the engine.
        pool: Pool of the plain service; empty if the upstream is an engine.
        max_answer_bytes: Maximum size of an answer of a plain service; larger
            ones are refused.
    """

    upstream_url: str
    max_running: int = 64
    drain_timeout_s: float = 600.0
    replay_window_s: float = 900.0
    replay_limit_bytes: int = 16 * 1024 * 1024
    first_token_timeout_s: float = 20.0
    progress_timeout_s: float = 3.0
    pool: PoolId = PoolId("")
    max_answer_bytes: int = 8 * 1024 * 1024


class Settings(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Settings of one process.

    Attributes:
        vm: Name of the VM on which the process runs.
        zone: Availability zone of the VM.
        platform: URLs and keys of the platform's services.
        bus: Connections between the system's processes.
        entry: Settings of the role `entry`; the process runs as an entry if
            they are present.
        sidecar: Settings of the role `sidecar`; the process runs as a sidecar
            if they are present and `entry` is not.
        statsd: Destination of the metrics.
        log: Format and level of the log lines.
    """

    vm: VmId
    zone: ZoneId
    platform: PlatformSettings
    bus: BusSettings
    entry: EntrySettings | None = None
    sidecar: SidecarSettings | None = None
    statsd: StatsdSettings = StatsdSettings()
    log: LogSettings = LogSettings()


class OperatorSettings(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Settings of the operators' commands.

    Attributes:
        operator: Name of the operator.
        platform: URLs and keys of the platform's services.
        signing_key: Hex Ed25519 seed with which the operator signs changes;
            empty if changes are not signed.
        bus: Keys that the system's processes accept, which the commands
            `status` and `dump` need.
    """

    operator: str
    platform: PlatformSettings
    signing_key: str = ""
    bus: BusSettings | None = None


_T = TypeVar("_T")


def read_settings(path: pathlib.Path) -> Settings:
    """Reads and checks the settings file of a process.

    Raises:
        SettingsError: The file can't be read or is not valid.
    """
    return parse_json_file(path, Settings)


def parse_json_file(path: pathlib.Path, kind: type[_T]) -> _T:
    """Reads a file of JSON with comments and checks it against a type.

    Args:
        path: Path of the file.
        kind: A msgspec type.

    Raises:
        SettingsError: The file can't be read or does not match `kind`.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(
            str(path), 1, "$", f"expected a readable UTF-8 file; {error}."
        ) from error
    return parse_json_text(text, str(path), kind)


def parse_json_text(text: str, file: str, kind: type[_T]) -> _T:
    """Parses JSON with comments and checks it against a type.

    Args:
        text: The text to parse.
        file: File name that errors report.
        kind: A msgspec type.

    Raises:
        SettingsError: The text does not match `kind`.
    """
    json_text = _blank_comments(text)
    _check_syntax(json_text, file)
    try:
        return msgspec.json.decode(json_text.encode(), type=kind)
    except msgspec.ValidationError as error:
        raise _make_settings_error(str(error), json_text, file) from error


def _blank_comments(text: str) -> str:
    def replace_with_spaces(match: re.Match[str]) -> str:
        if match.group(1) is not None:
            return match.group(1)
        return re.sub(r"[^\n]", " ", match.group(2))

    return _STRING_OR_COMMENT.sub(replace_with_spaces, text)


class _DuplicateKeyError(ValueError):
    def __init__(self, key: str) -> None:
        super().__init__(key)
        self.key = key


def _check_syntax(json_text: str, file: str) -> None:
    try:
        json.loads(json_text, object_pairs_hook=_make_unique_dict)
    except _DuplicateKeyError as error:
        line = _get_line_of_duplicate(json_text, error.key)
        raise SettingsError(
            file, line, error.key, "expected the key once, found it twice."
        ) from error
    except json.JSONDecodeError as error:
        raise SettingsError(
            file, error.lineno, "$", f"expected valid JSON; {error.msg}."
        ) from error


def _make_unique_dict(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    unique: dict[str, Any] = {}
    for key, value in pairs:
        if key in unique:
            raise _DuplicateKeyError(key)
        unique[key] = value
    return unique


def _get_line_of_duplicate(json_text: str, key: str) -> int:
    matches = list(re.finditer(re.escape(json.dumps(key)) + r"\s*:", json_text))
    return json_text.count("\n", 0, matches[-1].start()) + 1 if matches else 1


def _make_settings_error(
    message: str, json_text: str, file: str
) -> SettingsError:
    match = _MSGSPEC_PATH.match(message)
    reason = match.group("reason") if match else message
    path = (match.group("path") or "") if match else ""
    unknown = _UNKNOWN_FIELD.search(message)
    if unknown:
        path = f"{path}.{unknown.group('field')}"
    line = _get_line_of_path(json_text, path)
    return SettingsError(file, line, path.lstrip(".") or "$", f"{reason}.")


def _get_line_of_path(json_text: str, path: str) -> int:
    import json_source_map

    pointer = re.sub(r"\[(\d+)\]", r".\1", path).replace(".", "/")
    try:
        entry = json_source_map.calculate(json_text)[pointer]
    except (KeyError, ValueError):
        return 1
    start = entry.key_start or entry.value_start
    return int(start.line) + 1
