"""Settings files: JSON with comments, checked, errors with file and line.

Comments are blanked out with their line breaks kept, so the library that
maps keys to lines (`json_source_map`) sees the positions of the file itself.
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
    """Where metrics go.

    Attributes:
        host: Host of the statsd daemon.
        port: UDP port of the statsd daemon.
        prefix: Prefix of every metric's name.
    """

    host: str = "127.0.0.1"
    port: int = 8125
    prefix: str = "lovagestage"


class LogSettings(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """How a process logs.

    Attributes:
        format: `text` for key=value lines, `json` for JSON lines.
        level: Lowest level that is written.
    """

    format: str = "text"
    level: str = "INFO"


class PlatformSettings(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """URLs of the platform's services.

    Attributes:
        log_url: The append-only log.
        vms_url: The list of VMs.
        rater_url: The answer rater; empty where there is none.
        operators_root_key: Hex Ed25519 key that names the operators; where
            it is empty, whoever may append to the log may edit documents.
        log_keys: Secrets with which the system signs its snapshots in the
            log; the first signs, each is accepted. Set them wherever
            `operators_root_key` is set.
    """

    log_url: str
    vms_url: str
    rater_url: str = ""
    operators_root_key: str = ""
    log_keys: list[str] = []


class BusSettings(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """How the system's processes reach and authenticate each other.

    Attributes:
        bind: `HOST:PORT` of this process; port 0 is not allowed.
        public_key: CURVE public key of this process, Z85.
        secret_key: CURVE secret key of this process, Z85.
        accepted_keys: Public keys of processes that may connect, Z85.
        heartbeat_interval_s: Time between heartbeats of a connection that
            is in use or has one unanswered.
        silent_after_s: A connection on which a heartbeat goes unanswered for
            so long is replaced.
        lost_after_s: A process that stays silent for so long, over
            reconnections, is lost. One whose port refuses connections is
            lost at once.
        idle_heartbeat_interval_s: Time between heartbeats of a connection
            that nothing uses.
        idle_close_s: A connection outside the subset that nothing used for
            so long is closed.
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
        http_host: Address of the callers' API.
        http_port: Port of the callers' API.
        max_body_bytes: Larger request bodies are refused.
        body_timeout_s: A body that is not whole by then is refused.
        default_deadline_s: Deadline of a request that names none.
        drain_timeout_s: Longest wait for open requests at a planned stop.
        lease_ttl_s: Time after which another entry takes over a lease.
        session_keys: Keys of session tokens, the same at every entry: the
            first signs, all are accepted. Without one there are no sessions.
        billing_interval_s: Mean time between appends of bills.
        billing_buffer_bytes: Most bytes of bills that wait for the log, and
            as many of other entries' copies; full, requests are refused.
        billing_batch_bytes: Most bytes of one append of bills.
        member_silence_s: An entry that was not heard for so long holds no
            request keys from then on.
        learning_window_s: Length of the windows in which ratings are counted;
            those of the last six are used.
        key_window_s: How long a request key is remembered.
        key_limit: Most request keys held by this process; past it new ones
            are refused.
        upstream_subset: Sidecars that this entry picks to stay connected to;
            all of them where there are fewer.
        peer_subset: The same, of entries.
        deferred_slots: Deferrable requests that this entry runs at once.
        deferred_tokens_per_s: What one of them generates in a full engine.
        deferred_limit: Most deferrable requests that wait.
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
        upstream_url: The engine or plain service on the same VM.
        max_running: Requests that may run at the upstream at once.
        drain_timeout_s: Longest wait for running requests at a planned stop.
        replay_window_s: How long a finished answer is kept for resumption.
        replay_limit_bytes: Most bytes kept for resumption.
        first_token_timeout_s: A stream without its first event by then is
            resumed on a new connection to the engine.
        progress_timeout_s: A stream without a further event for so long is
            resumed on a new connection to the engine.
        pool: Pool of the plain service; empty where the upstream is an
            engine.
        max_answer_bytes: Larger answers of a plain service are refused.
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
        vm: Name of the VM.
        zone: Availability zone of the VM.
        platform: The platform's services.
        bus: Connections between the system's processes.
        entry: Present where the process runs as `entry`.
        sidecar: Present where the process runs as `sidecar`.
        statsd: Metrics.
        log: Logging.
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
        platform: The platform's services.
        signing_key: Hex Ed25519 seed of the operator; empty where changes
            are not signed.
        bus: Keys that the system's processes accept, for `status` and `dump`.
    """

    operator: str
    platform: PlatformSettings
    signing_key: str = ""
    bus: BusSettings | None = None


_T = TypeVar("_T")


def get_settings(path: pathlib.Path) -> Settings:
    """Reads and checks a settings file.

    Raises:
        SettingsError: The file can't be read or is wrong.
    """
    return parse_file(path, Settings)


def parse_file(path: pathlib.Path, kind: type[_T]) -> _T:
    """Reads a JSON-with-comments file into a checked type.

    Raises:
        SettingsError: The file can't be read or does not fit `kind`.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(
            str(path), 1, "$", f"expected a readable UTF-8 file; {error}."
        ) from error
    return parse_text(text, str(path), kind)


def parse_text(text: str, file: str, kind: type[_T]) -> _T:
    """Parses JSON with comments into a checked type.

    Args:
        text: The document.
        file: Name to use in errors.
        kind: A msgspec type.

    Raises:
        SettingsError: The text does not fit `kind`.
    """
    plain = _blank_comments(text)
    _check_syntax(plain, file)
    try:
        return msgspec.json.decode(plain.encode(), type=kind)
    except msgspec.ValidationError as error:
        raise _make_settings_error(str(error), plain, file) from error


def _blank_comments(text: str) -> str:
    def blank(match: re.Match[str]) -> str:
        if match.group(1) is not None:
            return match.group(1)
        return re.sub(r"[^\n]", " ", match.group(2))

    return _STRING_OR_COMMENT.sub(blank, text)


class _DuplicateKeyError(ValueError):
    def __init__(self, key: str) -> None:
        super().__init__(key)
        self.key = key


def _check_syntax(plain: str, file: str) -> None:
    try:
        json.loads(plain, object_pairs_hook=_make_unique_dict)
    except _DuplicateKeyError as error:
        line = _get_second_line_of_key(plain, error.key)
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


def _get_second_line_of_key(plain: str, key: str) -> int:
    found = list(re.finditer(re.escape(json.dumps(key)) + r"\s*:", plain))
    return plain.count("\n", 0, found[-1].start()) + 1 if found else 1


def _make_settings_error(message: str, plain: str, file: str) -> SettingsError:
    match = _MSGSPEC_PATH.match(message)
    reason = match.group("reason") if match else message
    path = (match.group("path") or "") if match else ""
    unknown = _UNKNOWN_FIELD.search(message)
    if unknown:
        path = f"{path}.{unknown.group('field')}"
    line = _get_line_of_path(plain, path)
    return SettingsError(file, line, path.lstrip(".") or "$", f"{reason}.")


def _get_line_of_path(plain: str, path: str) -> int:
    import json_source_map

    pointer = re.sub(r"\[(\d+)\]", r".\1", path).replace(".", "/")
    try:
        entry = json_source_map.calculate(plain)[pointer]
    except (KeyError, ValueError):
        return 1
    start = entry.key_start or entry.value_start
    return int(start.line) + 1
