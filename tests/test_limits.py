"""Token limits of workspaces that all entries enforce together."""

from __future__ import annotations

import pytest

from lab.experiments import limits as experiment
from lovagestage.decisions.limits import Limit, LimitTable, get_workspace_tag
from lovagestage.entry.limit_service import (
    MESSAGE_OVERHEAD_BYTES,
    REPORT_INTERVAL_S,
    get_report_count,
    get_used_tokens,
)
from lovagestage.execution.request import Request, Result
from lovagestage.messages.peers import UsageReport, UsageRow
from lovagestage.messages.runs import Finished
from lovagestage.types import (
    ModelId,
    ModelVersion,
    RequestId,
    ServiceId,
    VersionId,
    VmId,
    WorkspaceId,
)

TAG = get_workspace_tag(ServiceId("vault"), WorkspaceId("audit"))
LIMIT = Limit(100.0, 200.0)
PEER = VmId("b")
VERSION = ModelVersion(ModelId("small"), VersionId("1"))


def make_table(started_s=0.0, peers=(), vm="a", incarnation=1):
    table = LimitTable(VmId(vm), incarnation, started_s)
    table.set_limit(TAG, LIMIT)
    table.set_peers(peers, 1.0)
    return table


def use_up_limit(table, now_s, tokens=10):
    """Admits and settles requests until one is refused; returns the tokens."""
    used = 0
    while True:
        charge = table.admit(TAG, tokens, 0, now_s)
        if charge.retry_after_s is not None:
            return used
        table.replace_estimate(TAG, charge, tokens, now_s)
        used += tokens


def make_report(used, demand=400, incarnation=1):
    return UsageReport(PEER, incarnation, [UsageRow(TAG, used, demand)])


def get_balance(table):
    return table.get_dump()[0]["balance_tokens"]


@pytest.mark.parametrize("seed", [11, 12])
def test_limit_holds_over_entries_with_one_lost(seed):
    # A workspace sends three times its limit through eight entries, most of it
    # through some of them; one entry is killed and its VM restarts without
    # state. In each minute the workspace gets its limit within 5%. A workspace
    # below its limit is refused at most 1% more often than by one central
    # bucket.
    result = experiment.run(seed)
    assert result.ok, result


def test_replaced_entry_grants_no_second_burst():
    # A VM is replaced while its workspace exceeds the limit. If the new process
    # started with a full balance, each replacement would grant the burst again.
    table = make_table(started_s=50.0, peers=[PEER])
    table.admit(TAG, 10, 0, 50.0)
    assert get_balance(table) <= 0


def test_new_entry_is_not_charged_for_history():
    # A new process receives the first report of a peer that has used the limit
    # for a day. If it charged that use, it would refuse all requests until the
    # debt was repaid.
    table = make_table(peers=[PEER])
    table.apply_report(make_report(8_000_000), 0.5)
    assert get_balance(table) >= 0


def test_first_row_after_omitted_rows_charges_a_bounded_debt():
    # Rows of low demand are omitted for hours; the next row contains all tokens
    # used meanwhile. Charged in full, they would block the workspace for hours.
    table = make_table(peers=[PEER])
    table.apply_report(make_report(0), 10.0)
    table.apply_report(make_report(40_000, incarnation=1), 11.0)
    assert get_balance(table) >= -4 * LIMIT.tokens_per_s


def test_repeated_and_old_reports_charge_nothing():
    # A report arrives twice, and a report of the peer's previous process
    # arrives last: the connection was replaced while the old one still carried
    # that report.
    table = make_table(peers=[PEER])
    table.apply_report(make_report(0, incarnation=2), 10.0)
    table.apply_report(make_report(150, incarnation=2), 10.0)
    before = get_balance(table)
    table.apply_report(make_report(150, incarnation=2), 10.0)
    table.apply_report(make_report(9_000, incarnation=1), 10.0)
    table.apply_report(make_report(150, incarnation=2), 10.0)
    assert get_balance(table) == before


def test_lost_entry_leaves_its_share_to_the_others():
    # Almost all demand arrives through a peer, which is killed. The callers
    # switch to this entry, which has to grant the full limit within seconds.
    table = make_table(peers=[PEER])
    for tick in range(200):
        now_s = tick / 10
        table.apply_report(make_report(10 * tick, demand=400), now_s)
        use_up_limit(table, now_s)
    table.set_peers([], 1.0)
    used = [use_up_limit(table, 20 + tick / 10) for tick in range(200)]
    assert sum(used[100:]) == pytest.approx(1000, rel=0.1)


def test_unused_estimate_is_refunded():
    # A request asks for 5000 tokens and all upstreams refuse it. The charged
    # estimate has to be refunded, so that the next request is served.
    table = make_table()
    charge = table.admit(TAG, 5000, 0, 5.0)
    assert table.admit(TAG, 10, 0, 5.0).retry_after_s is not None
    table.replace_estimate(TAG, charge, 0, 5.0)
    assert table.admit(TAG, 10, 0, 5.0).retry_after_s is None


def test_lower_classes_are_shed_first():
    # The workspace's tokens run short. Its urgent requests are served from the
    # reserve that the less urgent classes leave.
    table = make_table()
    use_up_limit(table, 5.0)
    refused = [
        table.admit(TAG, 1, priority, 5.4).retry_after_s is not None
        for priority in range(4)
    ]
    assert refused == [False, False, True, True]


def test_retry_after_is_true():
    # A caller that retries after the time in `retry_after_s` is served.
    table = make_table()
    charge = table.admit(TAG, 1500, 0, 5.0)
    table.replace_estimate(TAG, charge, 1500, 5.0)
    refused = table.admit(TAG, 10, 2, 5.0)
    later_s = 5.0 + refused.retry_after_s
    assert table.admit(TAG, 10, 2, later_s).retry_after_s is None


@pytest.mark.parametrize("size_bytes", [60, 500, 2000])
def test_reports_keep_the_budget_at_390_entries(size_bytes):
    count = get_report_count(size_bytes, 389)
    sent = count * (size_bytes + MESSAGE_OVERHEAD_BYTES) / REPORT_INTERVAL_S
    assert sent <= 3000 or count == 1


@pytest.mark.parametrize(
    ("result", "is_proved_not_run", "expected"),
    [
        (Result(VERSION), True, 0),
        # The caller disconnects while it reads the answer. The run is charged;
        # otherwise every answer would be free to a caller that disconnects
        # before its end.
        (Result(VERSION, attempts=1), False, 64),
        (Result(VERSION, request_id=RequestId("other")), False, 0),
        (
            Result(VERSION, finished=Finished(RequestId("r"), 1, 3, 5, 12, "")),
            False,
            12,
        ),
    ],
)
def test_used_tokens(result, is_proved_not_run, expected):
    request = Request(
        RequestId("r"),
        WorkspaceId("audit"),
        ServiceId("vault"),
        VERSION,
        1,
        True,
        0.0,
        False,
        b"",
    )
    used = get_used_tokens(request, result, 64.0, is_proved_not_run)
    assert used == expected
