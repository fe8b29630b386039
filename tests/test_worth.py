"""Analysis of where simulated days lost worth, from their reports."""

from __future__ import annotations

import json

import pytest

from lab.__main__ import main
from lab.worth import format_days, read_day

REPORT = {
    "parts": [["whole day", 0.4, 0.9], ["nines", 0.6, 0.5]],
    "prices": [["calls", 7.0, 0.01], ["tiny", 1.0, 0.0001]],
    "classes": [
        {
            "name": "letter",
            "n": 110,
            "not_owed": 10,
            "failed": 2,
            "refused": 1,
            "late": 10,
            "worth": 0.8,
        }
    ],
    "windows": [
        {"name": "0", "worth": 0.9},
        {"name": "2", "worth": 0.5},
        {"name": "4", "worth": 0.7},
    ],
    "unserved_by": [["deadline", 3, []]],
}


def write_report(tmp_path, report):
    path = tmp_path / "quiet-1.json"
    path.write_text(json.dumps(report))
    return path


def test_parts_and_prices_add_up(tmp_path):
    day = read_day(write_report(tmp_path, REPORT))
    assert day.worth + sum(loss.worth for loss in day.losses) == 1.0
    assert day.worth == pytest.approx(1 - 0.04 - 0.3 - 0.0101)
    assert [cause for cause, _ in day.unserved] == ["deadline"]
    assert day.worst == [("2", 0.5), ("4", 0.7)]


def test_kinds_are_split_by_cause_of_loss(tmp_path):
    (kind,) = read_day(write_report(tmp_path, REPORT)).kinds
    assert (kind.owed, kind.failed) == (100, 0.03)
    assert kind.late == pytest.approx(0.07)
    assert kind.failed + kind.late + kind.poor == pytest.approx(0.2)


def test_tables_name_each_cause(tmp_path):
    text = format_days([read_day(write_report(tmp_path, REPORT))])
    for word in ("whole day", "calls", "letter", "deadline: 3", "quiet-1"):
        assert word in text
    assert "tiny" not in text


@pytest.mark.parametrize("data", ["", "[]", "{}", '{"parts": 3}'])
def test_other_files_are_named(tmp_path, data, capsys):
    path = tmp_path / "x.json"
    path.write_text(data)
    assert main(["worth", str(path)]) == 1
    assert "x.json" in capsys.readouterr().err
