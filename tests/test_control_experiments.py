"""Runs the experiments about the control log at small sizes."""

from __future__ import annotations

from lab.experiments import config, log_outage


def test_config_reaches_every_reader(monkeypatch):
    monkeypatch.setattr(config, "CHANGES", 5)
    monkeypatch.setattr(config, "POLL_S", 0.5)
    result = config.run(1, readers=10)
    assert result.ok
    assert result.baseline["seen"] == 50
    assert result.lovagestage["worst_s"] < result.baseline["worst_s"]


def test_log_outage_reverts_nothing_unlike_for_the_baseline_reader(monkeypatch):
    monkeypatch.setattr(log_outage, "MINUTE_S", 0.2)
    result = log_outage.run(1)
    assert result.ok
    assert result.baseline["over_retention"]["wrong_after"] > 0
    assert result.baseline["one_minute"]["reverted_by_replacement"] > 0
