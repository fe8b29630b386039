"""Demo rows that show the outcomes of single requests."""

from __future__ import annotations

import concurrent.futures
import json

import openai

from lab.clients import call_plain, make_client
from lab.demo_environment import MESSAGE, DemoEnvironment, Row, ask
from lab.fleet import Child


def check_plain(environment: DemoEnvironment) -> str:
    """Checks the answer to a request that names a service as its model."""
    answer = environment.make_client().chat.completions.create(
        model=environment.fleet.shape.service,
        messages=[{"role": "user", "content": MESSAGE}],
    )
    text = answer.choices[0].message.content or ""
    assert answer.usage is not None
    assert len(text.split()) == answer.usage.completion_tokens
    return f"{answer.model}, {answer.usage.completion_tokens} tokens"


def check_streamed(environment: DemoEnvironment) -> str:
    """Checks that a streamed answer is complete and reports its usage."""
    stream = environment.make_client(entry=1).chat.completions.create(
        model="large@1",
        messages=[{"role": "user", "content": MESSAGE}],
        stream=True,
        stream_options={"include_usage": True},
    )
    text, usage = "", None
    for chunk in stream:
        usage = chunk.usage or usage
        if chunk.choices:
            text += chunk.choices[0].delta.content or ""
    assert usage is not None
    assert len(text.split()) == usage.completion_tokens
    return f"{usage.completion_tokens} tokens, usage in the last chunk"


def check_models(environment: DemoEnvironment) -> str:
    """Checks that a workspace sees only the models that it may use."""
    names = [
        m.id for m in make_client(environment.fleet, "trial").models.list()
    ]
    assert names == [environment.fleet.shape.service, "small@1"], names
    return ", ".join(names)


def check_refused(environment: DemoEnvironment) -> str:
    """Checks that a model forbidden to the workspace is refused and not run."""
    try:
        make_client(environment.fleet, "trial").chat.completions.create(
            model="large@1", messages=[{"role": "user", "content": MESSAGE}]
        )
    except openai.PermissionDeniedError as error:
        assert error.response.headers["X-Run-State"] == "not_run"
        return f"{error.status_code} {error.code}, not_run"
    raise AssertionError("The request was not refused.")


def check_idempotency(environment: DemoEnvironment) -> str:
    """Checks that requests with one key through two entries run only once."""
    headers = {
        "Idempotency-Key": "demo-draft",
        "X-Request-Class": environment.once_class,
    }
    with concurrent.futures.ThreadPoolExecutor(4) as pool:
        replies = list(
            pool.map(
                lambda i: ask(environment, "large@1", i % 2, 40, headers),
                range(4),
            )
        )
    runs = _count_runs(
        environment, environment.fleet.engines, "runs", replies[0].request_id
    )
    assert len({(r.request_id, r.text) for r in replies}) == 1
    assert runs == 1, f"it ran {runs} times"
    return (
        f"4 equal answers through 2 entries, class {environment.once_class},"
        " 1 run"
    )


def check_charge(environment: DemoEnvironment) -> str:
    """Checks that a charge repeated with its idempotency key runs only once."""
    urls = [
        f"{entry.url}/{environment.fleet.shape.pool}/charge"
        for entry in _get_two_entries(environment)
    ]
    answers = [
        call_plain(url, environment.workspace, "demo-charge", b"5")
        for url in (*urls, *urls)
    ]
    assert [a.status for a in answers] == [200] * 4, answers
    assert {json.loads(a.body)["body"] for a in answers} == {"5"}
    runs = _count_runs(
        environment, environment.fleet.plains, "runs_by_key", "demo-charge"
    )
    assert runs == 1, f"it ran {runs} times"
    return "sent 4 times through 2 entries, 1 run"


def check_dropped_charge(environment: DemoEnvironment) -> str:
    """Checks that a charge without a key is not retried after a lost answer."""
    url = f"{environment.route_url}/charge"
    before = _count_runs(
        environment, environment.fleet.plains, "runs_by_path", "/charge"
    )
    for plain in environment.fleet.plains:
        environment.fleet.set_fault(plain.name, drop_after_run=1)
    answer = call_plain(url, environment.workspace)
    for plain in environment.fleet.plains:
        environment.fleet.set_fault(plain.name, drop_after_run=0)
    after = _count_runs(
        environment, environment.fleet.plains, "runs_by_path", "/charge"
    )
    assert answer.run == "unknown", answer
    assert after - before == 1, f"it ran {after - before} times"
    return f"{answer.status}, unknown, 1 run"


def _get_two_entries(environment: DemoEnvironment) -> list[Child]:
    return environment.fleet.entries[:2]


def _count_runs(
    environment: DemoEnvironment, children: list[Child], counter: str, name: str
) -> int:
    return sum(
        environment.fleet.get_stats(child.name)[counter].get(name, 0)
        for child in children
    )


REQUEST_ROWS = (
    Row("plain", check_plain),
    Row("streamed", check_streamed),
    Row("models of a workspace", check_models),
    Row("refused", check_refused),
    Row("non-idempotent", check_idempotency),
    Row("plain service, charge", check_charge),
    Row("plain service, answer dropped", check_dropped_charge),
)
