"""Routing and header rules of HTTP calls to plain services.

The decisions are pure. The entry's handlers are in `plain_api`, and the
sidecar's part is in `plain_stream`.
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
"""Model name in the versions that stand for pools when calls are routed. No
model has this name, since the name of a model contains no colon."""

SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})
"""Methods without side effects (RFC 9110, 9.2.1), which may be repeated on any
route."""

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
"""Headers that are not forwarded to the upstream. The caller's API key is a
secret of this system that a plain service must not learn; the other headers are
set again."""
_OWN_ANSWER_HEADERS = frozenset(
    {"content-length", HEADER_REQUEST_ID.lower(), "x-attempts", "x-run-state"}
)
_DOT_SEGMENTS = frozenset({".", ".."})


def make_pool_version(pool: PoolId) -> ModelVersion:
    """Returns the version under which the upstreams of a pool are chosen."""
    return ModelVersion(POOL_MODEL, VersionId(pool))


def find_route(document: ServiceDocument, path: str) -> RouteSpec | None:
    """Finds the route of a path: the longest prefix, the first if equal.

    Only the document that contains the caller's key is searched, so the same
    prefix in the documents of two services belongs to two routes.
    """
    matching = [r for r in document.routes if path.startswith(r.prefix)]
    return max(matching, key=lambda r: len(r.prefix), default=None)


def has_pool(
    document: ServiceDocument, workspace: WorkspaceId, pool: PoolId
) -> bool:
    """Returns whether a workspace's calls may reach a pool.

    The sidecar uses this check.
    """
    return workspace in document.workspaces and any(
        route.pool == pool for route in document.routes
    )


def is_repeatable(route: RouteSpec, method: str) -> bool:
    """Returns whether a call may be sent to an upstream more than once."""
    return route.repeatable is Repeatable.ALWAYS or method in SAFE_METHODS


def make_target(route: RouteSpec, raw_target: str) -> str:
    """Returns path and query for the upstream, without the route's prefix.

    Raises:
        MalformedRequestError: The path contains a dot segment. An upstream that
            resolves dot segments would serve a path outside the route.
    """
    path = raw_target.partition("?")[0]
    segments = path.lower().replace("%2e", ".").replace("%2f", "/").split("/")
    if not _DOT_SEGMENTS.isdisjoint(segments):
        raise MalformedRequestError(
            f"Expected a path without '.' and '..' segments, found {path!r}."
        )
    return "/" + raw_target[len(route.prefix) :]


def make_request_headers(headers: Iterable[Header]) -> list[Header]:
    """Returns the headers of a call that are forwarded to the upstream."""
    return _remove_headers(headers, _OWN_REQUEST_HEADERS)


def make_answer_headers(headers: Iterable[Header]) -> list[Header]:
    """Returns the headers of an answer that are forwarded to the caller."""
    return _remove_headers(headers, _OWN_ANSWER_HEADERS)


def _remove_headers(
    headers: Iterable[Header], own_headers: frozenset[str]
) -> list[Header]:
    all_headers = list(headers)
    named = {
        name.strip().lower()
        for header in all_headers
        if header.name.lower() == "connection"
        for name in header.value.split(",")
    }
    dropped = _HOP_BY_HOP | own_headers | named
    return [
        header for header in all_headers if header.name.lower() not in dropped
    ]
