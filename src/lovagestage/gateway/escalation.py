"""Decides which model answers and when a larger one is asked (no I/O).

The choice of a model follows the confidence that a model reports for its own
answer: the smallest model answers first, and where its confidence is low the
largest model is asked before the caller has received any part of the answer.
"""

from __future__ import annotations

import math

from lovagestage.gateway.configuration import Route
from lovagestage.gateway.messages import ANY_MODEL, CallerRequest

ESCALATION_CONFIDENCE = 55.0
"""Confidence, from 0 to 100, below which a larger model is asked while the
upstreams are idle."""
FULL_LOAD_CONFIDENCE = 0.0
"""Confidence, from 0 to 100, below which a larger model is asked while the
upstreams are full. A larger model then takes ten times a small one's time, and
a late answer is worth less than a poorer one, so no answer is escalated at a
value of 0."""
TYPICAL_PROMPT_TOKENS = 2_400
"""Prompt length in tokens at which the confidence limit falls with the load
exactly as the two constants above say. The value of a better answer grows more
slowly with the prompt's length than the upstream's time for it, about as the
square root of the length over the kinds of requests of the deployments, so
long prompts stop being escalated first."""
MIN_REMAINING_RATIO = 0.3
"""Share of the request's time budget that must be left for an escalation to
another model."""


def get_first_model(route: Route, request: CallerRequest) -> str | None:
    """Returns the model to ask first.

    Args:
        route: The route, with the models that may answer.
        request: The request, with the model that the caller named.

    Returns:
        The smallest model of the route where the caller leaves the choice to
        the gateway; otherwise the model that the caller named, None for
        none.
    """
    if request.model != ANY_MODEL or not route.models:
        return request.model
    return route.models[0]


def get_larger_model(
    route: Route,
    model: str | None,
    confidence: float | None,
    prompt_tokens: int,
    load: float,
    remaining_ratio: float,
) -> str | None:
    """Returns the model to ask in place of one with low confidence.

    Args:
        route: The route.
        model: Model that answered.
        confidence: The model's confidence in its answer, 0 to 100; None where
            it reported none.
        prompt_tokens: Length of the prompt in tokens; 0 if unknown.
        load: Load of the upstreams, 0 for idle to 1 for full.
        remaining_ratio: Share of the request's time budget that is left.

    Returns:
        The larger model; None to keep the answer.
    """
    if confidence is None or model not in route.models[:-1]:
        return None
    if remaining_ratio < MIN_REMAINING_RATIO:
        return None
    tokens = prompt_tokens or TYPICAL_PROMPT_TOKENS
    length_weight = math.sqrt(tokens / TYPICAL_PROMPT_TOKENS)
    span = ESCALATION_CONFIDENCE - FULL_LOAD_CONFIDENCE
    threshold = ESCALATION_CONFIDENCE - span * load * length_weight
    return route.models[-1] if confidence < threshold else None
