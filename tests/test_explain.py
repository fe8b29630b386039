"""The `explain` command, on log lines in the format of the processes."""

from __future__ import annotations

import json
import os
import subprocess
import sys

import pytest

from lovagestage.cli import main
from lovagestage.exceptions import EXIT_FAILURE
from lovagestage.operations.explain import explain_request
from lovagestage.telemetry.loglines import parse_lines

LOG = """\
time=01.0 event=process_started vm=a address=x
time=01.5 event=store_lost vm=a topic=t reason="reset by peer"
time=02.0 event=process_started vm=a address=x
time=02.1 event=configuration_applied vm=a version=4
time=02.1 event=configuration_applied vm=b version=5
time=02.2 event=upstream_added vm=a upstream=u1 service=s
time=03.0 event=attempt_failed vm=b request=r0 upstream=u1 reason=silent
time=03.1 event=upstream_added vm=a upstream=u9 service=s
 3.2 a time=03.2 event=attempt_failed vm=a request=r1 upstream=u1 reason=refused
time=03.3 event=request_ended vm=a request=r1 outcome=refused status=503 \
upstreams=u1 service=s
time=04.0 event=store_lost vm=a topic=t reason=later
"""


def explain_log(request_id, log=LOG):
    return explain_request(request_id, parse_lines(log.splitlines()))


def test_explanation_has_the_request_and_its_context():
    explanation = explain_log("r1")
    assert [line.event for line in explanation.own] == [
        "attempt_failed",
        "request_ended",
    ]
    events = [(line.vm, line.event) for line in explanation.context]
    assert events == [
        ("a", "process_started"),
        ("a", "configuration_applied"),
        ("a", "upstream_added"),
        ("b", "attempt_failed"),
    ]
    assert "Status 503" in explanation.conclusion
    assert "has not run" in explanation.conclusion


def test_explanation_omits_the_state_of_an_earlier_process():
    # The process lost its connection to the store and restarted before the
    # request arrived. The new process has read the configuration again, so the
    # earlier loss does not explain the outcome and must not be listed.
    explanation = explain_log("r1")
    assert not any(line.event == "store_lost" for line in explanation.context)


def test_explanation_lists_each_lost_topic():
    # Only the loss of the operators' topic makes keys invalid for lack of
    # confirmation. A later loss of another topic must not hide that line.
    log = LOG.replace(
        "time=02.1 event=configuration_applied vm=a version=4",
        "time=02.1 event=store_lost vm=a topic=op\n"
        "time=02.2 event=store_lost vm=a topic=notes",
    )
    explanation = explain_log("r1", log)
    store_losses = [
        line for line in explanation.context if line.event == "store_lost"
    ]
    assert [line.get("topic") for line in store_losses] == ["op", "notes"]


def test_answered_request_names_the_attempts_before():
    log = LOG.replace(
        "outcome=refused status=503", "outcome=answered status=200"
    )
    conclusion = explain_log("r1", log).conclusion
    assert conclusion.startswith("Status 200.")
    assert "attempts failed: refused" in conclusion


def test_answered_request_names_failed_answers_before():
    log = """\
time=1 event=answer_failed vm=a request=r2 upstream=u1 status=500 next=repeat
time=2 event=answer_failed vm=a request=r2 upstream=u2 status=503 next=pass_on
time=3 event=request_ended vm=a request=r2 outcome=answered status=503
"""
    conclusion = explain_log("r2", log).conclusion
    assert "attempts failed: status 500." in conclusion


def test_request_without_an_answer_has_no_status():
    log = LOG.replace("outcome=refused status=503", "outcome=stopped status=0")
    assert explain_log("r1", log).conclusion.startswith("The gateway's time")


def test_closed_pipe_gives_no_stack_trace(tmp_path):
    # The output is piped into a command that has closed its end of the pipe.
    # The write then fails, and the failure must not print a stack trace.
    path = tmp_path / "a.log"
    path.write_text(LOG)
    command = [sys.executable, "-m", "lovagestage", "explain", "r1", str(path)]
    reader, writer = os.pipe()
    os.close(reader)
    done = subprocess.run(
        command, stdout=writer, stderr=subprocess.PIPE, text=True, check=False
    )
    os.close(writer)
    assert (done.returncode, done.stderr) == (EXIT_FAILURE, "")


@pytest.mark.parametrize(
    ("extra", "hint"), [("", "process_started"), ("left_out=7", "left out")]
)
def test_unknown_request_says_what_to_look_at(extra, hint):
    explanation = explain_log(
        "nobody", LOG.replace("address=x", extra or "a=b")
    )
    assert explanation.own == ()
    assert hint in explanation.conclusion


def test_json_lines_are_read_too():
    (line,) = parse_lines(
        [
            'x {"time": "1", "event": "request_ended", "request": "q", "n": 2}',
            "noise",
        ]
    )
    assert (line.event, line.get("request"), line.get("n")) == (
        "request_ended",
        "q",
        "2",
    )


def test_command_prints_the_explanation_and_sets_the_exit_code(
    tmp_path, capsys
):
    path = tmp_path / "a.log"
    path.write_text(LOG)
    assert main(["explain", "r1", str(path)]) == 0
    assert "request r1: Status 503." in capsys.readouterr().out
    assert main(["explain", "r1", "--json", str(path)]) == 0
    printed = json.loads(capsys.readouterr().out)
    assert [line["event"] for line in printed["own"]][-1] == "request_ended"
    assert main(["explain", "nobody", str(path)]) == 1
    capsys.readouterr()
    assert main(["explain", "r1", str(tmp_path / "none")]) == 2
    assert "log_file_unreadable" in capsys.readouterr().err


def test_explanation_names_an_exhausted_retry_budget():
    # An upstream crashed and restarted under its id. Many requests failed
    # because of the crash, which used up the retry budget, and this request
    # could not be sent to another upstream.
    log = (
        "time=01.0 event=upstream_restarted vm=a upstream=u1 born=2 before=1\n"
        "time=02.0 event=attempt_failed vm=a request=r1 upstream=u1"
        " reason=connection_lost\n"
        "time=02.0 event=repeat_denied vm=a request=r1 attempts=1 tokens=0.4\n"
        "time=02.1 event=request_ended vm=a request=r1 upstreams=u1"
        " outcome=connection_lost status=502\n"
    )
    explanation = explain_log("r1", log)
    assert explanation.conclusion.endswith("The retry budget was used up.")
    assert [line.event for line in explanation.context] == [
        "upstream_restarted"
    ]


def test_explanation_lists_evacuated_zones_and_cold_upstreams():
    log = """\
time=01.0 event=process_started vm=a address=x
time=01.1 event=zone_evacuated vm=a zone=z1 offset=4
time=01.2 event=zone_evacuated vm=a zone=z2 offset=5
time=01.3 event=upstream_cold vm=a upstream=u1 service=s zone=z3 left_s=3.0
time=01.4 event=request_ended vm=a request=r1 outcome=upstreams_cold \
status=503 upstreams=u1 service=s
"""
    explanation = explain_log("r1", log)
    events = [line.event for line in explanation.context]
    assert events.count("zone_evacuated") == 2
    assert "upstream_cold" in events
    assert "just started" in explanation.conclusion


def test_explanation_tells_what_upstreams_said_of_themselves():
    log = """\
time=01.0 event=process_started vm=a address=x
time=01.1 event=upstream_notice_changed vm=a upstream=u1 notice=request_limit \
value=3.0
time=01.2 event=upstream_notice_changed vm=a upstream=u1 notice=request_limit \
value=2.0 previous=3.0
time=01.3 event=attempt_failed vm=a request=r1 upstream=u1 \
reason=upstreams_limited run=not_run
time=01.4 event=request_ended vm=a request=r1 outcome=upstreams_limited \
status=503 upstreams=u1 service=s
"""
    explanation = explain_log("r1", log)
    notices = [line for line in explanation.context if line.get("notice")]
    assert [line.get("value") for line in notices] == ["2.0"]
    assert "states a request limit" in explanation.conclusion


def test_explanation_of_a_refused_copy_lists_the_crashes_under_the_others():
    # Guards against a refusal without a visible reason: the crashes happened
    # at other gateways, under other ids.
    log = """\
time=01.0 event=upstream_crashed vm=a run=r1/1 upstream=u1 fingerprint=f
time=01.1 event=upstream_crashed vm=a run=r1/2 upstream=u2 fingerprint=f
time=01.2 event=upstream_crashed vm=a run=r9/1 upstream=u2 fingerprint=g
time=01.3 event=crash_report_applied vm=b run=r1/2 upstream=u2 fingerprint=f
time=02.0 event=request_ended vm=b request=r2 outcome=crashes_upstreams \
status=503 upstreams="" fingerprint=f
"""
    explanation = explain_log("r2", log)
    assert "has crashed upstreams" in explanation.conclusion
    assert [
        (line.vm, line.get("upstream")) for line in explanation.context
    ] == [
        ("a", "u1"),
        ("a", "u2"),
        ("b", "u2"),
    ]


def test_explanation_of_a_refused_part_lists_the_crashes_under_it():
    # Guards against a refusal without a visible reason, since the crashes
    # happened under other requests.
    log = """\
time=01.0 event=upstream_crashed vm=a run=r1/1 upstream=u1 fingerprint=f \
parts=aa,dd
time=01.1 event=upstream_crashed vm=a run=r2/1 upstream=u2 fingerprint=g \
parts=ee
time=01.2 event=part_judged vm=a verdict=convicted parts=dd crashes=4
time=02.0 event=request_ended vm=b request=r3 \
outcome=part_crashes_upstreams status=503 fingerprint=h parts=bb,dd
"""
    explanation = explain_log("r3", log)
    assert "A part of the request's prompt has" in explanation.conclusion
    assert [line.event for line in explanation.context] == [
        "upstream_crashed",
        "part_judged",
    ]


def test_explanation_tells_that_the_store_came_back_from_a_copy():
    # Guards against a request that was handled by an old configuration, or
    # refused, for a reason that stands in no line.
    log = """\
time=01.0 event=store_era_changed vm=a topic=keyed.op era=2 known=1:21
time=01.1 event=store_era_changed vm=b topic=keyed.op era=2 known=1:21
time=02.0 event=request_refused vm=a request=r1 reason=configuration_too_old \
status=503
"""
    context = explain_log("r1", log).context
    assert [(line.vm, line.event) for line in context] == [
        ("a", "store_era_changed")
    ]
