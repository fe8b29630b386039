"""HTTP calls to plain services: how they are routed and what is passed on.

Pure: the entry's handlers are in `plain_api`, the sidecar's part is in
`plain_stream`.
"""

from __future__ import annotations

from collections.abc import Iterable

from lovagestage.exceptions import MalformedRequestError
from lovagestage.messages.calls import (
    Header,
)
from lovagestage.state.document import Repeatable, RouteSpec, ServiceDocument
from lovagestage.types import (
    ModelId,
    ModelVersion,
    PoolId,
    VersionId,
    WorkspaceId,
)

HEADER_WORKSPACE = "X-Workspace"
HEADER_REQUEST_ID = "X-Request-Id"
POOL_MODEL = ModelId("pool:")
"""Stands before a pool where requests are routed; no version has this name,
since a model's name has no colon."""

SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})
"""Methods without an effect (RFC 9110, 9.2.1), repeatable on any route."""

_HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
_OWN_REQUEST_HEADERS = frozenset(
    {
        "authorization",
        "content-length",
        "expect",
        "host",
        HEADER_REQUEST_ID.lower(),
        HEADER_WORKSPACE.lower(),
    }
)
"""Not passed on: the caller's API key is the system's secret and no business
of a plain service; the rest is set anew."""
_OWN_ANSWER_HEADERS = frozenset(
    {"content-length", HEADER_REQUEST_ID.lower(), "x-attempts", "x-run-state"}
)
_DOT_SEGMENTS = frozenset({".", ".."})


def make_pool_version(pool: PoolId) -> ModelVersion:
    """The name under which a pool's upstreams are chosen."""
    return ModelVersion(POOL_MODEL, VersionId(pool))


def find_route(document: ServiceDocument, path: str) -> RouteSpec | None:
    """Finds a path's route: the longest prefix, the first of equal ones.

    Only the document that names the caller's key is searched, so one prefix
    in the documents of two services is two routes.
    """
    matching = [r for r in document.routes if path.startswith(r.prefix)]
    return max(matching, key=lambda r: len(r.prefix), default=None)


def has_pool(
    document: ServiceDocument, workspace: WorkspaceId, pool: PoolId
) -> bool:
    """Whether a workspace's calls may reach a pool: the sidecar's check."""
    return workspace in document.workspaces and any(
        route.pool == pool for route in document.routes
    )


def is_repeatable(route: RouteSpec, method: str) -> bool:
    """Whether a call may be sent to an upstream more than once."""
    return route.repeatable is Repeatable.ALWAYS or method in SAFE_METHODS


def make_target(route: RouteSpec, raw_target: str) -> str:
    """Path and query at the upstream: without the prefix.

    Raises:
        MalformedRequestError: The path has a dot segment. An upstream that
            resolves it would serve a path outside of the route.
    """
    path = raw_target.partition("?")[0]
    segments = path.lower().replace("%2e", ".").replace("%2f", "/").split("/")
    if not _DOT_SEGMENTS.isdisjoint(segments):
        raise MalformedRequestError(
            f"Expected a path without '.' and '..' segments, found {path!r}."
        )
    return "/" + raw_target[len(route.prefix) :]


def make_request_headers(headers: Iterable[Header]) -> list[Header]:
    """Headers of a call that the upstream gets."""
    return _strip(headers, _OWN_REQUEST_HEADERS)


def make_answer_headers(headers: Iterable[Header]) -> list[Header]:
    """Headers of an answer that the caller gets."""
    return _strip(headers, _OWN_ANSWER_HEADERS)


def _strip(headers: Iterable[Header], own: frozenset[str]) -> list[Header]:
    kept = list(headers)
    named = {
        name.strip().lower()
        for header in kept
        if header.name.lower() == "connection"
        for name in header.value.split(",")
    }
    dropped = _HOP_BY_HOP | own | named
    return [header for header in kept if header.name.lower() not in dropped]
