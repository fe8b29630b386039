"""The history of a service's changes, as operators read it."""

from __future__ import annotations

from lovagestage.operations.operator_client import open_client
from lovagestage.settings import OperatorSettings, PlatformSettings
from lovagestage.state.records import encode_record
from tests.control_log import serve_log, wait_for
from tests.test_fold import make_change


async def test_history_begins_at_the_oldest_retained_record():
    # An operator requests the history after the first records of the log have
    # expired. A read from offset 0 is refused as below the horizon, and the
    # changes that the log still has must nevertheless be listed.
    async with serve_log(retain_records=4) as log_server:
        settings = OperatorSettings("op", PlatformSettings(log_server.url, ""))
        await log_server.log.append(
            "control", encode_record(make_change("c0", 0))
        )
        async with open_client(settings) as client:
            for number in range(1, 7):
                change = make_change(f"c{number}", number)
                await log_server.log.append("control", encode_record(change))
                await wait_for(
                    lambda n=number: client.control.folded.next_offset > n
                )
            history = await client.get_history("s")
    assert [entry.change_id for entry in history] == ["c3", "c4", "c5", "c6"]
    assert {entry.outcome for entry in history} == {"accepted"}
