"""The operators' history of a service's changes."""

from __future__ import annotations

from lovagestage.operations.operator_client import open_client
from lovagestage.settings import OperatorSettings, PlatformSettings
from lovagestage.state.records import encode_record
from tests.control_log import serve_log, wait_for
from tests.test_fold import make_change


async def test_history_begins_at_the_oldest_record_that_is_left():
    # An operator asks for the history after the log has expired its first
    # records. A read from offset 0 is refused as below the horizon; the
    # changes that the log still has are to be shown all the same.
    async with serve_log(retain_records=4) as served:
        settings = OperatorSettings("op", PlatformSettings(served.url, ""))
        await served.log.append("control", encode_record(make_change("c0", 0)))
        async with open_client(settings) as client:
            for number in range(1, 7):
                change = make_change(f"c{number}", number)
                await served.log.append("control", encode_record(change))
                await wait_for(
                    lambda n=number: client.control.folded.next_offset > n
                )
            history = await client.get_history("s")
    assert [entry.change_id for entry in history] == ["c3", "c4", "c5", "c6"]
    assert {entry.outcome for entry in history} == {"accepted"}
