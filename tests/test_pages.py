"""Checks that the generated documentation pages match the code.

A page goes out of date if the code changes and the page is not regenerated.
"""

from __future__ import annotations

import pytest

from lab.pages import PAGES, ROOT, get_log_events


@pytest.mark.parametrize("path", PAGES)
def test_page_is_current(path):
    page = (ROOT / path).read_text(encoding="utf-8")
    assert page == PAGES[path](), (
        "Run `python -m lab pages` and review the diff."
    )


def test_log_events_are_found_with_their_fields():
    events = {event.name: event for event in get_log_events()}
    assert events["rollout_moved"].fields[:3] == ("service", "model", "phase")
    assert events["connection_silent"].level == "warning"
