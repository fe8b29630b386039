"""The `explain` command: one request's story out of the logs of all processes.

The lines of a request say what happened to it. Why it happened often stands
in lines without its id: a store that was lost, an upstream that crashed under
other requests, a roll-out that was stopped. Those are chosen here by process,
upstream and service.
"""

from __future__ import annotations

import argparse
import dataclasses
import sys
from collections.abc import Iterable, Sequence

from lovagestage.exceptions import EXIT_FAILURE, LogFileError
from lovagestage.operations.printing import print_json
from lovagestage.telemetry.loglines import LogLine, parse_lines

_OWN_KEYS = ("request", "run")
_PROCESS_EVENTS = frozenset(
    (
        "process_started",
        "configuration_applied",
        "settings_reloaded",
        "store_lost",
        "store_regained",
        "topic_behind",
        "topic_caught_up",
        "drain_started",
        "zone_evacuated",
        "zone_given_back",
    )
)
"""What a process believed, or how it was, when it handled the request."""
_UPSTREAM_EVENTS = frozenset(
    (
        "upstream_added",
        "upstream_state_changed",
        "upstream_cold",
        "upstream_crashed",
        "upstream_restarted",
        "upstream_record_refused",
    )
)
_SERVICE_EVENTS = frozenset(
    ("rollout_ordered", "rollout_stopped", "rollout_settled")
)
_REASONS = {
    "configuration_too_old": "The gateway had no recent proof from the store"
    " that the key still holds; nothing was run.",
    "configuration_superseded": "A newer configuration had to be in force by"
    " then, and the gateway was still reading it; nothing was run.",
    "no_configuration": "The gateway had just started and knew no"
    " configuration yet; nothing was run.",
    "unknown_key": "The configuration in force has no such key.",
    "no_route": "The configuration in force has no route for host and path.",
    "no_backend": "All backends of the route have weight 0.",
    "unreachable": "No connection to the upstream could be opened; nothing"
    " was sent.",
    "refused": "The upstream says that it has not run the request.",
    "other_instance": "The upstream's address belongs to another one now.",
    "connection_lost": "The upstream's connection ended before an answer;"
    " the request may have run.",
    "answer_broken": "The upstream's answer broke off.",
    "event_broken": "The upstream's stream ended within an event.",
    "wrong_bytes": "What the upstream sent is no answer to this request.",
    "unsigned": "The answer does not come from the upstream itself.",
    "unsigned_failure": "A failure that does not come from the upstream.",
    "silent": "The upstream gave no sign of an answer in time.",
    "no_upstream": "No upstream of the service and version could take it.",
    "no_upstream_at_home": "Upstreams were there, but none in the regions that"
    " route and workspace name; nothing was run.",
    "upstreams_cold": "All upstreams had just started and had what they bear;"
    " nothing was run.",
    "crashes_upstreams": "The request has crashed upstreams; it is not run"
    " again for a while.",
    "suspect_waiting": "A copy of the request was being tried alone.",
    "deadline": "Its time was over before it could be sent.",
    "stream_broken": "The stream broke off and no upstream could go on.",
    "caller_gone": "The caller closed its connection first.",
    "stopped": "The gateway's time to stop was over before the answer was"
    " whole; its connection was cut.",
    "answered": "The upstream's answer was passed on whole.",
}


_NONE = ("", "0")
"""Status of a request that had no answer."""


@dataclasses.dataclass(frozen=True)
class Story:
    """What the logs say of a request.

    Attributes:
        request_id: The request.
        own: Its own lines, in order of time.
        context: Lines that say why, up to its last one, in order of time.
        left_out: Lines that the processes left out, over all logs.
    """

    request_id: str
    own: tuple[LogLine, ...]
    context: tuple[LogLine, ...]
    left_out: int

    @property
    def conclusion(self) -> str:
        """How it ended and why, in one or two sentences."""
        if not self.own:
            return _conclude_without_lines(self.left_out)
        last = self.own[-1]
        cause = last.get("reason") or last.get("outcome") or last.get("code")
        status = last.get("status")
        text = _REASONS.get(cause, f"Its last event is {last.event!r}.")
        failed = _get_failures(self.own)
        if failed and cause == "answered":
            text = f"{text} Before that, attempts failed: {', '.join(failed)}."
        if any(line.event == "repeat_denied" for line in self.own):
            text = f"{text} The budget of repeats was used up."
        return f"Status {status}. {text}" if status not in _NONE else text


def _get_failures(own: Sequence[LogLine]) -> list[str]:
    """Why each attempt failed after which the request was sent again."""
    failures = []
    for line in own:
        if line.event == "attempt_failed":
            failures.append(line.get("reason"))
        elif line.event == "answer_failed" and line.get("next") == "repeat":
            failures.append(f"status {line.get('status')}")
    return failures


def make_story(request_id: str, lines: Iterable[LogLine]) -> Story:
    """Chooses the lines that tell of a request."""
    ordered = sorted(lines, key=lambda line: line.time)
    own = [line for line in ordered if _is_own(line, request_id)]
    left_out = sum(int(line.get("left_out") or 0) for line in ordered)
    if not own:
        return Story(request_id, (), (), left_out)
    end = own[-1].time
    before = [line for line in ordered if line.time <= end]
    context = [
        *_get_process_lines(own, before),
        *_get_upstream_lines(own, before),
        *_get_service_lines(own, before),
    ]
    unique = {id(line): line for line in context if line not in own}
    return Story(
        request_id,
        tuple(own),
        tuple(sorted(unique.values(), key=lambda line: line.time)),
        left_out,
    )


def _is_own(line: LogLine, request_id: str) -> bool:
    return any(
        line.get(key).partition("/")[0] == request_id for key in _OWN_KEYS
    )


def _get_process_lines(
    own: Sequence[LogLine], before: Sequence[LogLine]
) -> list[LogLine]:
    """The last line of each kind at each process that handled it."""
    last: dict[str, dict[tuple[str, str], LogLine]] = {
        line.vm: {} for line in own
    }
    for line in before:
        if line.vm not in last or line.event not in _PROCESS_EVENTS:
            continue
        if line.event == "process_started":
            # What the process before it believed is gone.
            last[line.vm].clear()
        subject = line.get("topic") or line.get("zone")
        last[line.vm][line.event, subject] = line
    return [line for lines in last.values() for line in lines.values()]


def _get_upstream_lines(
    own: Sequence[LogLine], before: Sequence[LogLine]
) -> list[LogLine]:
    """What was known of its upstreams, and how other requests fared there."""
    names: set[str] = set()
    for line in own:
        names.update(filter(None, line.get("upstreams").split(",")))
        names.update(filter(None, (line.get("upstream"),)))
    last: dict[tuple[str, ...], LogLine] = {}
    for line in before:
        name = line.get("upstream")
        if name not in names:
            continue
        if line.event in _UPSTREAM_EVENTS:
            last[line.vm, name, line.event] = line
        elif line.event == "attempt_failed":
            last[name, line.event, line.get("reason")] = line
    processes = {line.vm for line in own}
    return [
        line
        for line in last.values()
        if line.vm in processes or line.event == "attempt_failed"
    ]


def _get_service_lines(
    own: Sequence[LogLine], before: Sequence[LogLine]
) -> list[LogLine]:
    services = {line.get("service") for line in own} - {""}
    processes = {line.vm for line in own}
    last = {
        (line.vm, line.event): line
        for line in before
        if line.event in _SERVICE_EVENTS
        and line.vm in processes
        and line.get("service") in services
    }
    return list(last.values())


def _conclude_without_lines(left_out: int) -> str:
    if left_out:
        return (
            f"No line tells of it, but {left_out} lines were left out to"
            " bound the volume; look at the metrics of that time."
        )
    return (
        "No line tells of it: it reached no process whose log is given. Look"
        " for a process that was between its end and process_started."
    )


def format_story(story: Story) -> str:
    """Formats a story for a terminal."""
    parts = [f"request {story.request_id}: {story.conclusion}"]
    for title, lines in (
        ("what happened", story.own),
        ("what was believed, and what happened around it", story.context),
    ):
        if lines:
            parts += ["", title, *(f"  {_format_line(line)}" for line in lines)]
    return "\n".join(parts)


def _format_line(line: LogLine) -> str:
    hidden = {"time", "event", "vm", "level", "name", "request"}
    fields = " ".join(
        f"{key}={value}"
        for key, value in line.fields.items()
        if key not in hidden
    )
    return f"{line.time} {line.vm} {line.event} {fields}"


def add_command(
    commands: argparse._SubParsersAction[argparse.ArgumentParser],
) -> None:
    """Adds `explain` to the command line."""
    text = "tell what happened to a request, from the processes' logs"
    parser = commands.add_parser("explain", help=text, description=text)
    parser.add_argument("request", metavar="REQUEST_ID")
    parser.add_argument(
        "files",
        nargs="+",
        metavar="FILE",
        help="logs of any number of processes; - for standard input",
    )
    parser.add_argument("--json", action="store_true", help="print JSON")
    parser.set_defaults(run=run_explain)


def run_explain(options: argparse.Namespace) -> int:
    """Prints the story; fails where no line tells of the request.

    Raises:
        LogFileError: A file can't be read.
    """
    story = make_story(options.request, read_logs(options.files))
    if options.json:
        print_json(_make_json(story))
    else:
        print(format_story(story))
    return 0 if story.own else EXIT_FAILURE


def read_logs(paths: Sequence[str]) -> list[LogLine]:
    """Reads the lines of log files; `-` is standard input.

    Raises:
        LogFileError: A file can't be read.
    """
    lines: list[LogLine] = []
    for path in paths:
        if path == "-":
            lines += parse_lines(sys.stdin)
            continue
        try:
            with open(path, encoding="utf-8", errors="replace") as file:
                lines += parse_lines(file)
        except OSError as error:
            raise LogFileError(path, str(error.strerror)) from error
    return lines


def _make_json(story: Story) -> dict[str, object]:
    return {
        "request": story.request_id,
        "conclusion": story.conclusion,
        "own": [dict(line.fields) for line in story.own],
        "context": [dict(line.fields) for line in story.context],
        "left_out": story.left_out,
    }
