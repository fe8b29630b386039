"""Settings files: accepted syntax, and the content of error messages."""

from __future__ import annotations

import pytest

from lovagestage.exceptions import EXIT_USAGE, SettingsError
from lovagestage.settings import Settings, parse_json_text

VALID_SETTINGS = """{
  // A comment with a "quoted" word.
  "vm": "entry-1", /* and
  another */
  "zone": "lhe-a",
  "platform": {"log_url": "http://127.0.0.1:1", "vms_url": "http://x//y"},
  "bus": {
    "bind": "127.0.0.1:7000",
    "public_key": "p",
    "secret_key": "s",
    "accepted_keys": ["p"]
  },
  "entry": {"http_host": "127.0.0.1", "http_port": 8080}
}
"""


def test_comments_are_allowed_and_strings_kept():
    settings = parse_json_text(VALID_SETTINGS, "a.json", Settings)
    assert settings.platform.vms_url == "http://x//y"
    assert settings.entry.http_port == 8080


@pytest.mark.parametrize(
    ("old", "new", "line", "key", "expected"),
    [
        ('"zone"', '"zome"', 5, "zome", "unknown field"),
        ("8080", '"8080"', 13, "entry.http_port", "Expected `int`"),
        ("8080", '"8 s"', 13, "entry.http_port", "Expected `int`"),
        ('"zone":', '"vm": "b", "zone":', 5, "vm", "found it twice"),
        ('["p"]', '["p", 3]', 11, "bus.accepted_keys[1]", "Expected `str`"),
        ("8080}\n}", "8080}\n} trailing", 14, "$", "Extra data"),
    ],
)
def test_error_names_file_line_key_and_expectation(
    old, new, line, key, expected
):
    with pytest.raises(SettingsError) as caught:
        parse_json_text(VALID_SETTINGS.replace(old, new), "a.json", Settings)
    error = caught.value
    assert (error.file, error.line, error.key) == ("a.json", line, key)
    assert expected in error.message
    assert error.exit_code == EXIT_USAGE
    assert "\n" not in error.format_message()
