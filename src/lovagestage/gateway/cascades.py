"""Which model answers, and when a larger one is asked: pure decisions.

The router leaves the choice of a model to confidence: the smallest model
answers first, and where it doubts its own answer the largest is asked before
the caller has had any of it.
"""

from __future__ import annotations

import math

from lovagestage.gateway.configuration import Route
from lovagestage.gateway.messages import ANY_MODEL, CallerRequest

DOUBT_CONFIDENCE = 55.0
"""Below this confidence a larger model is asked while there is room."""
BUSY_DOUBT_CONFIDENCE = 0.0
"""The same where upstreams are full: a larger model takes ten times a small
one's time there, and a late answer is worth less than a poorer one."""
TYPICAL_TOKENS = 2_400
"""Prompt for which the limit falls as named above. What a better answer is
worth grows more slowly than what it takes of an upstream, about as the root
of its length over the kinds of the deployments, so long prompts yield first."""
MIN_LEFT_RATIO = 0.3
"""Part of the request's time that must be left for another model."""


def get_first_model(route: Route, request: CallerRequest) -> str | None:
    """The model to ask first; None to pass on what the caller named."""
    if request.model != ANY_MODEL or not route.models:
        return request.model
    return route.models[0]


def get_larger_model(
    route: Route,
    model: str | None,
    confidence: float | None,
    prompt_tokens: int,
    pressure: float,
    left_ratio: float,
) -> str | None:
    """The model to ask in place of one that doubts its answer.

    Args:
        route: The route.
        model: Model that answered.
        confidence: Its opinion of its answer, 0 to 100.
        prompt_tokens: Length of the prompt; 0 if unknown.
        pressure: Load of the upstreams, 0 for idle to 1 for full.
        left_ratio: Part of the request's time that is left.

    Returns:
        The larger model; None to keep the answer.
    """
    if confidence is None or model not in route.models[:-1]:
        return None
    if left_ratio < MIN_LEFT_RATIO:
        return None
    tokens = prompt_tokens or TYPICAL_TOKENS
    weight = math.sqrt(tokens / TYPICAL_TOKENS)
    span = DOUBT_CONFIDENCE - BUSY_DOUBT_CONFIDENCE
    limit = DOUBT_CONFIDENCE - span * pressure * weight
    return route.models[-1] if confidence < limit else None
