"""Prompts of a soak's streams, as lists of parts that requests share."""

from __future__ import annotations

import dataclasses
import random

FIRST_PARTS = ("a0f1c2", "b7c2d3")
SHARED_PARTS = tuple(f"{number:06x}" for number in range(0xC0, 0xCC))
PART_TOKENS = 200
MAX_OUTPUT_TOKENS = 40


@dataclasses.dataclass(frozen=True)
class Prompt:
    """The parts of a prompt, the first one first.

    Attributes:
        parts: Ids of the parts; the last one belongs to the request.
    """

    parts: tuple[str, ...]

    def make_headers(self) -> dict[str, str]:
        """Returns the request headers that describe the prompt."""
        tokens = PART_TOKENS * len(self.parts)
        return {
            "Model_Name": "m",
            "Token_Usage": f"{tokens},{MAX_OUTPUT_TOKENS}",
            "Prefix_Hash": ",".join(f"{p}:{PART_TOKENS}" for p in self.parts),
        }


def draw_prompt(
    rng: random.Random, number: int, crashing_part: str | None = None
) -> Prompt:
    """Draws a prompt that shares all parts but the last with others.

    Args:
        rng: Source of the random choice.
        number: Number of the request, of which the last part is made.
        crashing_part: Part that the prompt holds at any place but the first,
            which belongs to its caller, and the last; None for a sound prompt.
    """
    parts = [rng.choice(FIRST_PARTS)]
    parts += rng.sample(SHARED_PARTS, rng.randint(1, 3))
    if crashing_part is not None:
        parts.insert(rng.randint(1, len(parts)), crashing_part)
    return Prompt((*parts, f"f{number:07x}"))


def read_parts(header: str) -> tuple[str, ...]:
    """Returns the ids of the parts in a header, without the last one."""
    items = [item.partition(":")[0].strip() for item in header.split(",")]
    return tuple(items[:-1])
