"""Decides which parts of prompts crash engines, from crashes of engines."""

import math
from collections import Counter
from collections.abc import Mapping, Set as AbstractSet
from itertools import chain

from attrs import define, field, frozen

from waxwingwinch._types import UpstreamId

#: Crashes after which a part is blamed, one after the other.
CRASHES_TO_BLAME = 2
#: The same for a part that generations have gone well with before.
CRASHES_TO_BLAME_SOUND = 4
#: Time for which a part is blocked after the crash that led to its blame;
#: doubles with each further crash.
FIRST_BLOCK_SECONDS = 30.0
#: Longest time for which a part is blocked.
MAX_BLOCK_SECONDS = 3_600.0
#: Differences between estimates of a time that are ignored.
ESTIMATE_TOLERANCE_SECONDS = 0.01
#: Observations of one crash with one part whose times are kept.
MAX_SOURCES = 16


@frozen
class Incarnation:
    """
    An incarnation of an engine.

    :param upstream_id: The engine.
    :param started_ms: Unix time of its start in milliseconds.
    """

    upstream_id: UpstreamId
    started_ms: int


@frozen
class Source:
    """
    Where an observation of a crash is from.

    :param incarnation: Incarnation of the instance that reported it.
    :param sequence: Its sequence there; 0 if that instance passed it on.
    """

    incarnation: str
    sequence: int


@define
class Suspect:
    """
    A part of a generation that an engine was about to begin when it crashed.

    :param position: Position of the part in the prompt.
    :param sent_seconds: Monotonic time at which the last such request before
        the crash was sent to the engine.
    :param seen_seconds: Monotonic time at which its connection broke.
    :param sent_by_source: The first by the observations that it is from.
    """

    position: int
    sent_seconds: float
    seen_seconds: float
    sent_by_source: dict[Source, float] = field(factory=dict)

    def add(self, source: Source, sent_seconds: float, seen_seconds: float) -> None:
        """
        Add an observation.

        :param source: Where it is from.
        :param sent_seconds: Monotonic time at which the request was sent.
        :param seen_seconds: Monotonic time at which its connection broke.
        """
        self.seen_seconds = min(self.seen_seconds, seen_seconds)
        if len(self.sent_by_source) < MAX_SOURCES:
            self.sent_by_source[source] = sent_seconds
        self._date_sent()

    def refine(self, source: Source, sent_seconds: float, seen_seconds: float) -> bool:
        """
        Date an observation earlier; return whether this changed anything.

        :param source: Where it is from.
        :param sent_seconds: Monotonic time at which the request was sent.
        :param seen_seconds: Monotonic time at which its connection broke.
        """
        known_seconds = self.sent_by_source.get(source)
        if (
            known_seconds is None
            or known_seconds - sent_seconds < ESTIMATE_TOLERANCE_SECONDS
        ):
            return False
        self.sent_by_source[source] = sent_seconds
        self.seen_seconds = min(self.seen_seconds, seen_seconds)
        self._date_sent()
        return True

    def _date_sent(self) -> None:
        # A request sent later can't have caused the crash.
        sent_before = [
            sent_seconds
            for sent_seconds in self.sent_by_source.values()
            if sent_seconds <= self.seen_seconds
        ]
        self.sent_seconds = max(sent_before, default=min(self.sent_by_source.values()))


@define
class Crash:
    """
    A crash of an engine.

    :param suspects: The suspect parts.
    """

    suspects: dict[str, Suspect] = field(factory=dict)

    @property
    def seen_seconds(self) -> float:
        """Monotonic time at which the crash was seen first."""
        return min(suspect.seen_seconds for suspect in self.suspects.values())


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


@frozen
class _Sighting:
    """
    A crash with a part.

    :param seen_seconds: Monotonic time at which the crash was seen.
    :param sent_seconds: Monotonic time at which the request with the part was
        sent.
    :param position: Position of the part in the prompt.
    :param engine: The incarnation that crashed.
    """

    seen_seconds: float
    sent_seconds: float
    position: int
    engine: Incarnation


def blame_parts(
    crashes: Mapping[Incarnation, Crash], sound_seconds: Mapping[str, float]
) -> dict[str, Blame]:
    """
    Return the parts that explain the crashes of engines.

    A part counts with each crash since a generation with it last went well.
    The part with the most crashes is blamed first, and its crashes count for
    no other part. Of several parts with as many crashes, the later one in the
    prompt is blamed: the first parts are shared by the most prompts.

    :param crashes: The known crashes.
    :param sound_seconds: Monotonic time at which a generation last went well,
        by part.
    """
    blamed: dict[str, Blame] = {}
    occurrences = Counter(
        chain.from_iterable(crash.suspects for crash in crashes.values())
    )
    required = {
        part_id: CRASHES_TO_BLAME_SOUND
        if part_id in sound_seconds
        else CRASHES_TO_BLAME
        for part_id, count in occurrences.items()
        if count >= CRASHES_TO_BLAME
    }
    sightings = _sightings(crashes, sound_seconds, required.keys())
    while True:
        counts = {
            part_id: _count(found)
            for part_id, found in sightings.items()
            if len(found) >= required[part_id]
        }
        eligible = [
            part_id for part_id, count in counts.items() if count >= required[part_id]
        ]
        if not eligible:
            return blamed
        part_id = max(
            eligible,
            key=lambda key: (counts[key], sightings[key][-1].position, key),
        )
        explained = sightings.pop(part_id)
        engines = frozenset(sighting.engine for sighting in explained)
        blamed[part_id] = Blame(
            counts[part_id], required[part_id], explained[-1].seen_seconds, engines
        )
        sightings = {
            key: [sighting for sighting in found if sighting.engine not in engines]
            for key, found in sightings.items()
            if len(found) >= required[key]
        }


def _sightings(
    crashes: Mapping[Incarnation, Crash],
    sound_seconds: Mapping[str, float],
    part_ids: AbstractSet[str],
) -> dict[str, list[_Sighting]]:
    """Return the crashes that count for each part, the earliest first."""
    sightings: dict[str, list[_Sighting]] = {}
    for engine, crash in crashes.items():
        for part_id in crash.suspects.keys() & part_ids:
            suspect = crash.suspects[part_id]
            if suspect.seen_seconds > sound_seconds.get(part_id, -math.inf):
                sighting = _Sighting(
                    suspect.seen_seconds, suspect.sent_seconds, suspect.position, engine
                )
                sightings.setdefault(part_id, []).append(sighting)
    for found in sightings.values():
        found.sort(key=lambda sighting: sighting.seen_seconds)
    return sightings


def _count(sightings: list[_Sighting]) -> int:
    """Count crashes; engines that fall together, as those of a zone, once."""
    count, counted_seconds = 0, -math.inf
    for sighting in sightings:
        if sighting.sent_seconds >= counted_seconds:
            count, counted_seconds = count + 1, sighting.seen_seconds
    return count
