"""The `explain` command: explains a request from the logs of all processes.

The log lines with the id of a request say what happened to it. The cause is
often logged in lines without the id: the connection to the store was lost, an
upstream crashed while it ran other requests, a roll-out was stopped. This
module selects such lines by process, upstream and service.
"""

from __future__ import annotations

import argparse
import dataclasses
import sys
from collections.abc import Iterable, Sequence

from lovagestage.exceptions import EXIT_FAILURE, LogFileError
from lovagestage.operations.printing import print_json
from lovagestage.telemetry.loglines import LogLine, parse_lines

_REQUEST_ID_KEYS = ("request", "run")
_PROCESS_EVENTS = frozenset(
    (
        "process_started",
        "configuration_applied",
        "settings_reloaded",
        "store_lost",
        "store_regained",
        "store_era_changed",
        "topic_behind",
        "topic_caught_up",
        "drain_started",
        "zone_evacuated",
        "zone_given_back",
    )
)
"""Events that show the state of a process, such as its configuration and its
connection to the store, at the time when it handled the request."""
_UPSTREAM_EVENTS = frozenset(
    (
        "upstream_added",
        "upstream_state_changed",
        "upstream_cold",
        "upstream_crashed",
        "upstream_restarted",
        "upstream_record_refused",
        "upstream_notice_changed",
        "upstream_notice_malformed",
    )
)
_CRASH_EVENTS = frozenset(
    (
        "upstream_crashed",
        "upstream_not_crashed",
        "crash_report_applied",
        "suspect_probed",
        "suspect_held",
        "part_judged",
    )
)
"""Events of all requests that share a suspected fingerprint or part with one
that was in flight at a crash. Any gateway may have written them."""
_SERVICE_EVENTS = frozenset(
    ("rollout_ordered", "rollout_stopped", "rollout_settled")
)
_REASON_TEXTS = {
    "configuration_too_old": "The gateway had no recent confirmation from the"
    " store that the key is still valid; nothing was run.",
    "configuration_superseded": "A newer configuration had to be in force at"
    " that time, and the gateway was still reading it; nothing was run.",
    "no_configuration": "The gateway had just started and had received no"
    " configuration yet; nothing was run.",
    "unknown_key": "The configuration in force does not contain the key.",
    "no_route": "The configuration in force has no route for this host and"
    " path.",
    "no_backend": "All backends of the route have weight 0.",
    "unreachable": "No connection to the upstream could be opened; nothing"
    " was sent.",
    "refused": "The upstream reports that it has not run the request.",
    "other_instance": "The upstream's address now belongs to another upstream.",
    "connection_lost": "The connection to the upstream ended before an answer;"
    " the request may have run.",
    "answer_broken": "The upstream's answer ended before it was complete.",
    "event_broken": "The upstream's stream ended in the middle of an event.",
    "wrong_bytes": "The bytes that the upstream sent are not an answer to this"
    " request.",
    "unsigned": "The answer was not sent by the upstream itself.",
    "unsigned_failure": "The failure was not reported by the upstream itself.",
    "silent": "No data from the upstream arrived before the time-out.",
    "no_upstream": "No upstream of the service and version could accept the"
    " request.",
    "no_upstream_at_home": "Upstreams were ready, but none in the regions that"
    " the route and the workspace allow; nothing was run.",
    "upstreams_cold": "All upstreams had just started and were at the limit of"
    " their warm-up; nothing was run.",
    "upstreams_leaving": "Each upstream that could run the request has said"
    " that it leaves; nothing was run.",
    "upstreams_limited": "Each upstream that could run the request states a"
    " request limit, and this gateway's share of it was used up; nothing was"
    " run.",
    "upstreams_resting": "Each upstream that could run the request has asked"
    " this gateway for a rest; nothing was run.",
    "crashes_upstreams": "The request has crashed upstreams; it will not be"
    " run again for some time.",
    "part_crashes_upstreams": "A part of the request's prompt has crashed"
    " upstreams under other requests; none that holds it will be run for some"
    " time.",
    "suspect_waiting": "Copies of the request, or others with a part of its"
    " prompt, were in flight at crashes, and another one was being run alone or"
    " checked; nothing more was run.",
    "deadline": "The deadline of the request passed before it could be sent.",
    "stream_broken": "The stream ended early, and no upstream could continue"
    " it.",
    "caller_gone": "The caller closed its connection before the answer was"
    " complete.",
    "stopping": "The gateway was stopping, and the deadline of the request lay"
    " beyond its end; nothing was run.",
    "stopped": "The gateway's time to stop ended before the whole answer"
    " was sent.",
    "answered": "The upstream's whole answer was forwarded to the caller.",
}


_NO_STATUS = ("", "0")
"""Values of the field `status` of a request that received no answer."""


@dataclasses.dataclass(frozen=True)
class Explanation:
    """Log lines that explain what happened to a request.

    Attributes:
        request_id: Id of the request.
        own: Lines with the id of the request, in order of time.
        context: Lines without the id that may show the cause, up to the time
            of the request's last line, in order of time.
        left_out: Number of lines that the processes omitted, over all logs.
    """

    request_id: str
    own: tuple[LogLine, ...]
    context: tuple[LogLine, ...]
    left_out: int

    @property
    def conclusion(self) -> str:
        """How the request ended and why, in one to three sentences."""
        if not self.own:
            return _explain_missing_lines(self.left_out)
        last = self.own[-1]
        cause = last.get("reason") or last.get("outcome") or last.get("code")
        status = last.get("status")
        text = _REASON_TEXTS.get(cause, f"Its last event is {last.event!r}.")
        failures = _get_attempt_failures(self.own)
        if failures and cause == "answered":
            text = (
                f"{text} Before that, attempts failed: {', '.join(failures)}."
            )
        if any(line.event == "repeat_denied" for line in self.own):
            text = f"{text} The retry budget was used up."
        return f"Status {status}. {text}" if status not in _NO_STATUS else text


def _get_attempt_failures(own: Sequence[LogLine]) -> list[str]:
    """Returns why attempts failed before the last answer.

    Returns:
        The reason of each attempt without an answer, and the status of each
        failed answer after which the request was retried.
    """
    failures = []
    for line in own:
        if line.event == "attempt_failed":
            failures.append(line.get("reason"))
        elif line.event == "answer_failed" and line.get("next") == "repeat":
            failures.append(f"status {line.get('status')}")
    return failures


def explain_request(request_id: str, lines: Iterable[LogLine]) -> Explanation:
    """Selects the log lines that explain a request.

    Args:
        request_id: Id of the request.
        lines: Lines of any number of processes, in any order.
    """
    ordered = sorted(lines, key=lambda line: line.time)
    own = [line for line in ordered if _belongs_to_request(line, request_id)]
    left_out = sum(int(line.get("left_out") or 0) for line in ordered)
    if not own:
        return Explanation(request_id, (), (), left_out)
    end = own[-1].time
    earlier = [line for line in ordered if line.time <= end]
    context = [
        *_select_process_lines(own, earlier),
        *_select_upstream_lines(own, earlier),
        *_select_service_lines(own, earlier),
        *_select_crash_lines(own, earlier),
    ]
    unique = {id(line): line for line in context if line not in own}
    return Explanation(
        request_id,
        tuple(own),
        tuple(sorted(unique.values(), key=lambda line: line.time)),
        left_out,
    )


def _belongs_to_request(line: LogLine, request_id: str) -> bool:
    return any(
        line.get(key).partition("/")[0] == request_id
        for key in _REQUEST_ID_KEYS
    )


def _select_process_lines(
    own: Sequence[LogLine], earlier: Sequence[LogLine]
) -> list[LogLine]:
    """Selects state lines of the processes that handled the request.

    Returns:
        For each process the last line of each event, and of each topic or
        zone that the event names.
    """
    last: dict[str, dict[tuple[str, str], LogLine]] = {
        line.vm: {} for line in own
    }
    for line in earlier:
        if line.vm not in last or line.event not in _PROCESS_EVENTS:
            continue
        if line.event == "process_started":
            # The state of the process before the restart no longer applies.
            last[line.vm].clear()
        scope = line.get("topic") or line.get("zone")
        last[line.vm][line.event, scope] = line
    return [line for lines in last.values() for line in lines.values()]


def _select_upstream_lines(
    own: Sequence[LogLine], earlier: Sequence[LogLine]
) -> list[LogLine]:
    """Selects lines about the upstreams of the request.

    Returns:
        The last state lines of these upstreams at the processes that handled
        the request, and the last failed attempt of each reason at any process,
        which shows how the upstreams handled other requests.
    """
    names: set[str] = set()
    for line in own:
        names.update(filter(None, line.get("upstreams").split(",")))
        names.update(filter(None, (line.get("upstream"),)))
    last: dict[tuple[str, ...], LogLine] = {}
    for line in earlier:
        name = line.get("upstream")
        if name not in names:
            continue
        if line.event in _UPSTREAM_EVENTS:
            last[line.vm, name, line.event, line.get("notice")] = line
        elif line.event == "attempt_failed":
            last[name, line.event, line.get("reason")] = line
    processes = {line.vm for line in own}
    return [
        line
        for line in last.values()
        if line.vm in processes or line.event == "attempt_failed"
    ]


def _select_service_lines(
    own: Sequence[LogLine], earlier: Sequence[LogLine]
) -> list[LogLine]:
    services = {line.get("service") for line in own} - {""}
    processes = {line.vm for line in own}
    last = {
        (line.vm, line.event): line
        for line in earlier
        if line.event in _SERVICE_EVENTS
        and line.vm in processes
        and line.get("service") in services
    }
    return list(last.values())


def _select_crash_lines(
    own: Sequence[LogLine], earlier: Sequence[LogLine]
) -> list[LogLine]:
    """Selects the crashes under all copies of the request, or its parts.

    Returns:
        For each process, event and upstream the last line with the request's
        fingerprint, or with a part of its prompt.
    """
    fingerprints = {line.get("fingerprint") for line in own} - {""}
    parts = {part for line in own for part in _get_parts(line)}
    last = {
        (line.vm, line.event, line.get("upstream")): line
        for line in earlier
        if line.event in _CRASH_EVENTS
        and (
            line.get("fingerprint") in fingerprints
            or not parts.isdisjoint(_get_parts(line))
        )
    }
    return list(last.values())


def _get_parts(line: LogLine) -> set[str]:
    return set((line.get("parts") or "").split(",")) - {""}


def _explain_missing_lines(left_out: int) -> str:
    if left_out:
        return (
            f"No line has this request id, but {left_out} lines were left out"
            " to bound the volume; look at the metrics of that time."
        )
    return (
        "No line has this request id: the request reached no process whose"
        " log is given. Look for a process that was not running, between its"
        " end and its next process_started."
    )


def format_explanation(explanation: Explanation) -> str:
    """Formats an explanation for a terminal."""
    parts = [f"request {explanation.request_id}: {explanation.conclusion}"]
    for title, lines in (
        ("lines of the request", explanation.own),
        ("state of the processes, and related events", explanation.context),
    ):
        if lines:
            parts += ["", title, *(f"  {_format_line(line)}" for line in lines)]
    return "\n".join(parts)


def _format_line(line: LogLine) -> str:
    hidden_fields = {"time", "event", "vm", "level", "name", "request"}
    fields = " ".join(
        f"{key}={value}"
        for key, value in line.fields.items()
        if key not in hidden_fields
    )
    return f"{line.time} {line.vm} {line.event} {fields}"


def add_command(
    commands: argparse._SubParsersAction[argparse.ArgumentParser],
) -> None:
    """Adds `explain` to the command line."""
    text = "explain what happened to a request, from the logs of the processes"
    parser = commands.add_parser("explain", help=text, description=text)
    parser.add_argument("request", metavar="REQUEST_ID")
    parser.add_argument(
        "files",
        nargs="+",
        metavar="FILE",
        help="log files of any number of processes; - for standard input",
    )
    parser.add_argument("--json", action="store_true", help="print JSON")
    parser.set_defaults(run=run_explain)


def run_explain(options: argparse.Namespace) -> int:
    """Prints the explanation; returns 1 where no line has the request id.

    Raises:
        LogFileError: A log file cannot be read.
    """
    explanation = explain_request(options.request, read_logs(options.files))
    if options.json:
        print_json(_make_json(explanation))
    else:
        print(format_explanation(explanation))
    return 0 if explanation.own else EXIT_FAILURE


def read_logs(paths: Sequence[str]) -> list[LogLine]:
    """Reads the events of log files; the path `-` is standard input.

    Raises:
        LogFileError: A log file cannot be read.
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


def _make_json(explanation: Explanation) -> dict[str, object]:
    return {
        "request": explanation.request_id,
        "conclusion": explanation.conclusion,
        "own": [dict(line.fields) for line in explanation.own],
        "context": [dict(line.fields) for line in explanation.context],
        "left_out": explanation.left_out,
    }
