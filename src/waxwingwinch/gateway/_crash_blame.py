"""Decides which parts of prompts crash engines, from crashes of engines."""

from collections.abc import Mapping

from attrs import frozen

from waxwingwinch.gateway._crash_candidates import (
    CRASHES_TO_BLAME,
    CRASHES_TO_BLAME_BEGUN,
    make_candidates,
)
from waxwingwinch.gateway._crash_suspects import Crash, Incarnation

#: Further crashes that a request needs while something else is about as likely
#: to be the cause.
CRASHES_TO_TELL_APART = 1
#: Crashes without a request, relative to those with it, from which on engines
#: probably fall by themselves.
UNRELATED_RATIO = 1.0
#: Time after a crash in which other instances may not have told yet what was
#: aboard.
SETTLING_SECONDS = 0.5
#: Time for which a part is blocked after the crash that led to its blame;
#: doubles with each further crash.
FIRST_BLOCK_SECONDS = 30.0
#: Longest time for which a part is blocked.
MAX_BLOCK_SECONDS = 3_600.0


@frozen
class Blame:
    """
    Why a part is blamed.

    :param crashes: Crashes that count for it.
    :param required: Crashes after which it was blamed.
    :param last_seconds: Monotonic time of the last crash with it.
    :param engines: The incarnations that crashed with it.
    """

    crashes: int
    required: int
    last_seconds: float
    engines: frozenset[Incarnation]

    @property
    def block_seconds(self) -> float:
        """Time for which the part is blocked after the last crash."""
        doublings = min(self.crashes - self.required, 16)
        return min(FIRST_BLOCK_SECONDS * 2.0**doublings, MAX_BLOCK_SECONDS)


def blame_parts(
    crashes: Mapping[Incarnation, Crash],
    sound_seconds: Mapping[str, float],
    now_seconds: float,
) -> dict[str, Blame]:
    """
    Return the parts that explain the crashes of engines.

    A part counts with each crash since it last went well. The most likely
    part explains its crashes first, and they count for no other part, whether
    or not they are enough to blame it.

    :param crashes: The known crashes.
    :param sound_seconds: Monotonic time at which a part last went well.
    :param now_seconds: Monotonic time.
    """
    blamed: dict[str, Blame] = {}
    candidates = make_candidates(crashes, sound_seconds)
    unblamed = set(crashes)
    settling = frozenset(
        engine
        for engine, crash in crashes.items()
        if now_seconds < crash.seen_seconds + SETTLING_SECONDS
    )
    while candidates := [part for part in candidates if part.may_explain]:
        likely = max(candidates, key=lambda part: part.score)
        cause = max(
            (part for part in candidates if part.is_as_likely_as(likely)),
            key=lambda part: part.order,
        )
        candidates.remove(cause)
        required = cause.required
        # What else was aboard at a crash just now may become known yet.
        unsettled = settling if required == CRASHES_TO_BLAME_BEGUN else frozenset()
        settled = cause.without(unsettled)
        has_rival = settled.crashes >= CRASHES_TO_BLAME and any(
            other.without(unsettled).is_rival_of(settled) for other in candidates
        )
        is_settled = not has_rival or settled is cause
        unrelated = len(unblamed - cause.engines)
        if has_rival or (
            required == CRASHES_TO_BLAME_BEGUN
            and unrelated >= UNRELATED_RATIO * len(cause.engines)
        ):
            required += CRASHES_TO_TELL_APART
        if is_settled and cause.crashes >= required:
            unblamed -= cause.engines
            blamed[cause.part_id] = Blame(
                cause.crashes,
                required,
                cause.sightings[-1].suspect.seen_seconds,
                cause.engines,
            )
        candidates = [part.without(cause.engines) for part in candidates]
    return blamed
