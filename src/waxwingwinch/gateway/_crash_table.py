"""The known crashes of engines, and the parts that are blamed for them."""

import math
from collections import OrderedDict
from collections.abc import Mapping

from waxwingwinch.gateway._bounded_tables import put_newest
from waxwingwinch.gateway._crash_blame import SETTLING_SECONDS, Blame, blame_parts
from waxwingwinch.gateway._crash_log_lines import (
    CrashDisproved,
    PartBlamed,
    PartCleared,
)
from waxwingwinch.gateway._crash_observations import Observation
from waxwingwinch.gateway._crash_suspects import Crash, Incarnation, Source, Suspect

#: Time for which a crash that no blamed part explains is remembered.
CRASH_RETENTION_SECONDS = 60.0
#: Time for which a blamed part is remembered, relative to its block. A crash
#: within it blocks the part again, for longer.
BLAME_RETENTION_RATIO = 3.0
#: Delay with which instances may see a crash. An answer to a request that was
#: sent later disproves it.
DISPROOF_MARGIN_SECONDS = 0.2
#: Bounds on what is remembered.
MAX_CRASHES = 64
MAX_SUSPECTS = 256
MAX_SOUND_PARTS = 4_096


class CrashTable:
    """Crashes of engines, by incarnation; used under the lock of its owner."""

    def __init__(self) -> None:
        self.crashes: dict[Incarnation, Crash] = {}
        #: The blamed parts; replaced, never changed.
        self.blames: Mapping[str, Blame] = {}
        #: Whether anything has changed since the last judgement.
        self.has_changed = False
        # When what was aboard at the crashes judged last will be known.
        self._settled_seconds = math.inf
        self._sound_seconds: OrderedDict[str, float] = OrderedDict()
        self._answered_seconds: OrderedDict[Incarnation, float] = OrderedDict()

    def add(self, observation: Observation, source: Source) -> None:
        """
        Add an observation of a crash; it counts once :meth:`judge` is called.

        :param observation: The observation.
        :param source: Where it is from.
        """
        engine = observation.engine
        if self._is_disproved(engine, observation.seen_seconds):
            return
        self.has_changed = True
        suspects = self.crashes.setdefault(engine, Crash()).suspects
        for index, part_id in enumerate(observation.part_ids):
            known = suspects.get(part_id)
            if known is None and len(suspects) < MAX_SUSPECTS:
                known = suspects[part_id] = Suspect(
                    observation.first_position + index,
                    observation.sent_seconds,
                    observation.seen_seconds,
                )
            if known is not None:
                known.add(source, observation.sent_seconds, observation.seen_seconds)
                known.has_begun = known.has_begun or observation.has_begun

    def is_suspect(self, part_id: str) -> bool:
        """
        Tell whether a known crash may be due to a part.

        :param part_id: The part.
        """
        return any(part_id in crash.suspects for crash in self.crashes.values())

    def refine(
        self, observation: Observation, source: Source, now_seconds: float
    ) -> None:
        """
        Date an observation that was added before by a repeat of its report.

        Each repeat dates it too late by the delay of its report, so that the
        earliest times are the most exact.

        :param observation: The observation as of the repeat.
        :param source: Where it is from.
        :param now_seconds: Monotonic time.
        """
        crash = self.crashes.get(observation.engine)
        if crash is None:
            return
        for part_id in observation.part_ids:
            known = crash.suspects.get(part_id)
            if known is not None and known.refine(
                source, observation.sent_seconds, observation.seen_seconds
            ):
                self.has_changed = True
        if self._is_disproved(observation.engine, crash.seen_seconds):
            self._delete_disproved(observation.engine, now_seconds)

    def record_sound(self, part_id: str, sound_seconds: float) -> None:
        """
        Record that a generation with a part went well.

        :param part_id: The part.
        :param sound_seconds: Monotonic time.
        """
        if sound_seconds > self._sound_seconds.get(part_id, -math.inf):
            put_newest(self._sound_seconds, part_id, sound_seconds, MAX_SOUND_PARTS)
            self.has_changed = self.has_changed or part_id in self.blames

    def disprove(
        self, engine: Incarnation, answered_seconds: float, now_seconds: float
    ) -> None:
        """
        Delete a crash of an engine that answered a later request.

        :param engine: The engine.
        :param answered_seconds: Monotonic time at which the request was sent.
        :param now_seconds: Monotonic time.
        """
        if answered_seconds > self._answered_seconds.get(engine, -math.inf):
            put_newest(self._answered_seconds, engine, answered_seconds, MAX_CRASHES)
        crash = self.crashes.get(engine)
        if crash is None:
            return
        if answered_seconds > crash.seen_seconds + DISPROOF_MARGIN_SECONDS:
            self._delete_disproved(engine, now_seconds)

    def must_judge(self, now_seconds: float) -> bool:
        """
        Tell whether :meth:`judge` has anything to decide.

        :param now_seconds: Monotonic time.
        """
        return self.has_changed or now_seconds >= self._settled_seconds

    def judge(self, now_seconds: float) -> None:
        """
        Decide which parts are blamed, if something has changed.

        :param now_seconds: Monotonic time.
        """
        self._judge_changes(now_seconds)
        if len(self.crashes) > MAX_CRASHES:
            self.delete_outdated(now_seconds)
            self._judge_changes(now_seconds)

    def _judge_changes(self, now_seconds: float) -> None:
        if not self.must_judge(now_seconds):
            return
        before = self.blames
        self.blames = blame_parts(self.crashes, self._sound_seconds, now_seconds)
        newest_seconds = max(
            (crash.seen_seconds for crash in self.crashes.values()), default=-math.inf
        )
        settled_seconds = newest_seconds + SETTLING_SECONDS
        self._settled_seconds = (
            settled_seconds if now_seconds < settled_seconds else math.inf
        )
        # Last, as it is read without the lock.
        self.has_changed = False
        for part_id, blame in self.blames.items():
            if part_id not in before or before[part_id].crashes < blame.crashes:
                self._log_blame(part_id, blame, now_seconds)
        for part_id in before.keys() - self.blames.keys():
            PartCleared(
                part_id,
                before[part_id].crashes,
                now_seconds - before[part_id].last_seconds,
                self._sound_age(part_id, now_seconds),
            ).write()

    def delete_outdated(self, now_seconds: float) -> None:
        """
        Delete outdated crashes, and those beyond the bound.

        :param now_seconds: Monotonic time.
        """
        if not self.crashes:
            return
        kept_until_seconds = {
            engine: crash.seen_seconds + CRASH_RETENTION_SECONDS
            for engine, crash in self.crashes.items()
        }
        explained = set()
        for blame in self.blames.values():
            until = blame.last_seconds + BLAME_RETENTION_RATIO * blame.block_seconds
            for engine in blame.engines & kept_until_seconds.keys():
                explained.add(engine)
                kept_until_seconds[engine] = max(kept_until_seconds[engine], until)
        for engine, until in kept_until_seconds.items():
            if now_seconds > until:
                self._delete(engine)
        # Those that explain a blame are kept before all others.
        by_value = sorted(
            self.crashes,
            key=lambda engine: (
                engine in explained,
                self.crashes[engine].seen_seconds,
            ),
        )
        for engine in by_value[: max(len(by_value) - MAX_CRASHES, 0)]:
            self._delete(engine)

    def _is_disproved(self, engine: Incarnation, seen_seconds: float) -> bool:
        answered_seconds = self._answered_seconds.get(engine, -math.inf)
        return answered_seconds > seen_seconds + DISPROOF_MARGIN_SECONDS

    def _delete_disproved(self, engine: Incarnation, now_seconds: float) -> None:
        age_seconds = now_seconds - self.crashes[engine].seen_seconds
        self._delete(engine)
        CrashDisproved(engine.upstream_id, engine.started_ms, age_seconds).write()

    def _delete(self, engine: Incarnation) -> None:
        del self.crashes[engine]
        self.has_changed = True

    def _sound_age(self, part_id: str, now_seconds: float) -> float | None:
        sound_seconds = self._sound_seconds.get(part_id)
        return None if sound_seconds is None else now_seconds - sound_seconds

    def _log_blame(self, part_id: str, blame: Blame, now_seconds: float) -> None:
        PartBlamed(
            part_id,
            blame.crashes,
            blame.required,
            now_seconds - blame.last_seconds,
            blame.block_seconds,
            self._sound_age(part_id, now_seconds),
            tuple(sorted(str(engine.upstream_id) for engine in blame.engines)),
        ).write()
