"""Parts that may explain crashes of engines, and how likely they do."""

import math
from collections import Counter
from collections.abc import Mapping
from itertools import chain

from attrs import frozen

from waxwingwinch.gateway._crash_suspects import (
    Crash,
    Incarnation,
    Suspect,
    is_request_part,
)

#: Crashes after which a part is blamed, one after the other.
CRASHES_TO_BLAME = 2
#: The same for a request that upstreams had begun to answer, or that was
#: answered before.
CRASHES_TO_BLAME_BEGUN = 3
#: The same for a shared part that generations have gone well with before.
CRASHES_TO_BLAME_SOUND = 4
#: Score relative to that of the most likely part from which on another one is
#: about as likely to be the cause.
LIKELY_RATIO = 0.9
#: Time aboard after which a crash counts half for the cause of crashes.
ABOARD_HALF_SECONDS = 10.0


@frozen
class Sighting:
    """
    A crash with a part.

    :param suspect: The part at the crash.
    :param engine: The incarnation that crashed.
    :param crash_seconds: Monotonic time at which the crash was seen first.
    """

    suspect: Suspect
    engine: Incarnation
    crash_seconds: float

    @property
    def weight(self) -> float:
        """Weight as evidence, less the longer the request had been aboard."""
        suspect = self.suspect
        aboard_seconds = max(suspect.seen_seconds - suspect.sent_seconds, 0.0)
        return ABOARD_HALF_SECONDS / (ABOARD_HALF_SECONDS + aboard_seconds)


@frozen
class Candidate:
    """
    A part that may explain crashes.

    :param part_id: The part.
    :param sightings: Crashes with it that no other part explains, the
        earliest first.
    :param is_sound_before: True if it went well before the first of them.
    :param is_request: True if it is a request itself.
    :param engines: The incarnations that crashed with it.
    :param crashes: Crashes that count for it.
    :param score: How likely it is the cause of these crashes.
    """

    part_id: str
    sightings: tuple[Sighting, ...]
    is_sound_before: bool
    is_request: bool
    engines: frozenset[Incarnation]
    crashes: int
    score: float

    @classmethod
    def make(
        cls, part_id: str, sightings: list[Sighting], is_sound_before: bool
    ) -> "Candidate":
        """
        Return a part with its crashes.

        :param part_id: The part.
        :param sightings: Crashes with it that no other part explains.
        :param is_sound_before: True if it went well before them.
        """
        sightings.sort(key=lambda sighting: sighting.suspect.seen_seconds)
        counted, counted_seconds = [], -math.inf
        for sighting in sightings:
            # Engines that fall together, as those of a zone, count once.
            if sighting.suspect.sent_seconds >= counted_seconds:
                counted.append(sighting)
                counted_seconds = sighting.suspect.seen_seconds
        return cls(
            part_id,
            tuple(sightings),
            is_sound_before,
            is_request_part(part_id),
            frozenset(sighting.engine for sighting in sightings),
            len(counted),
            sum(sighting.weight for sighting in counted),
        )

    @property
    def required(self) -> int:
        """Crashes after which the part is blamed."""
        has_begun = any(sighting.suspect.has_begun for sighting in self.sightings)
        if self.is_sound_before and not self.is_request:
            return CRASHES_TO_BLAME_SOUND
        if self.is_sound_before or has_begun:
            return CRASHES_TO_BLAME_BEGUN
        return CRASHES_TO_BLAME

    @property
    def may_explain(self) -> bool:
        """
        Whether the part may keep less likely ones from being blamed.

        A shared part can't until it is blamed itself, as a part that many
        prompts share is aboard at most crashes.
        """
        required = CRASHES_TO_BLAME if self.is_request else self.required
        return self.crashes >= required

    @property
    def order(self) -> tuple[bool, int, int, float, float, str]:
        """
        Rank among parts that are about as likely.

        Requests come first, as the fewest are refused with them, then the
        later part in a prompt, as the first ones are shared by the most. Of
        two requests, it is the one with which more engines fell, or the first
        one did: the others are those that it took along.
        """
        position = 0 if self.is_request else self.sightings[-1].suspect.position
        return (
            self.is_request,
            position,
            len(self.engines),
            -min(sighting.crash_seconds for sighting in self.sightings),
            self.score,
            self.part_id,
        )

    def without(self, engines: frozenset[Incarnation]) -> "Candidate":
        """
        Return the part with the crashes that nothing explains yet.

        :param engines: The incarnations whose crashes are explained.
        """
        if self.engines.isdisjoint(engines):
            return self
        left = [found for found in self.sightings if found.engine not in engines]
        return self.make(self.part_id, left, self.is_sound_before)

    def is_as_likely_as(self, other: "Candidate") -> bool:
        """
        Tell whether the part is about as likely to be the cause as another.

        :param other: The other one.
        """
        return (
            self.crashes >= other.crashes and self.score >= LIKELY_RATIO * other.score
        )

    def is_rival_of(self, other: "Candidate") -> bool:
        """
        Tell whether both are requests that their crashes don't tell apart.

        :param other: The other one.
        """
        return (
            self.is_request
            and other.is_request
            and self.engines >= other.engines
            and self.is_as_likely_as(other)
        )


def make_candidates(
    crashes: Mapping[Incarnation, Crash], sound_seconds: Mapping[str, float]
) -> list[Candidate]:
    """Return the parts with enough crashes since they last went well."""
    occurrences = Counter(
        chain.from_iterable(crash.suspects for crash in crashes.values())
    )
    sightings: dict[str, list[Sighting]] = {
        part_id: []
        for part_id, count in occurrences.items()
        if count >= CRASHES_TO_BLAME
    }
    for engine, crash in crashes.items():
        part_ids = crash.suspects.keys() & sightings.keys()
        crash_seconds = crash.seen_seconds if part_ids else math.inf
        for part_id in part_ids:
            suspect = crash.suspects[part_id]
            if suspect.seen_seconds > sound_seconds.get(part_id, -math.inf):
                sightings[part_id].append(Sighting(suspect, engine, crash_seconds))
    return [
        Candidate.make(part_id, found, part_id in sound_seconds)
        for part_id, found in sightings.items()
        if len(found) >= CRASHES_TO_BLAME
    ]
