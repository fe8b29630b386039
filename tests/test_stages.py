"""Times of the stages of requests, computed from log lines."""

from __future__ import annotations

import argparse

from lab.stages import add_arguments, collect_times, format_table, run
from lovagestage.telemetry.loglines import parse_lines

LINE = (
    "time=01.0 level=INFO event=request_ended vm=edge-1 request=r{n}"
    " route=r-chat"
    " outcome={outcome} status=200 upstreams={upstreams} begun_s={begun}"
    " connect_s=0.0 head_s=0.1 first_s=0.2 time_s=0.9"
)


def make_line(n, outcome="answered", upstreams="i-1", begun=0.001):
    return LINE.format(n=n, outcome=outcome, upstreams=upstreams, begun=begun)


def test_times_are_of_answered_requests_and_attempts_of_all():
    lines = [
        make_line(1),
        make_line(2, upstreams='"i-1,i-2"', begun=0.003),
        make_line(3, outcome="silent", upstreams='""'),
        "time=01.0 event=process_started vm=edge-1",
    ]
    kind = collect_times(parse_lines(lines))["r-chat"]
    assert (kind.requests, kind.attempts) == (3, 3)
    assert kind.times_s["begun_s"] == [0.001, 0.003]
    assert "3.0 / 3.0" in format_table({"r-chat": kind})


def test_a_file_without_requests_and_one_that_is_missing_are_named(
    tmp_path, capsys
):
    parser = argparse.ArgumentParser()
    add_arguments(parser)
    empty = tmp_path / "empty.log"
    empty.write_text("event=process_started\n")
    assert run(parser.parse_args([str(empty)])) == 1
    assert run(parser.parse_args([str(tmp_path / "none.log")])) == 2
    assert "none.log" in capsys.readouterr().err
