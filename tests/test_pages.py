"""Generated pages are what the code says."""

from __future__ import annotations

import pytest

from lab.pages import PAGES, ROOT, get_log_events


@pytest.mark.parametrize("path", PAGES)
def test_page_is_current(path):
    page = (ROOT / path).read_text(encoding="utf-8")
    assert page == PAGES[path](), "Run `python -m lab pages`, and read it."


def test_log_events_are_found_with_their_fields():
    found = {event.name: event for event in get_log_events()}
    assert found["rollout_moved"].fields[:3] == ("service", "model", "phase")
    assert found["connection_silent"].level == "warning"
