"""What is known of crashes of engines, here and at the other instances."""

import hashlib
import threading
from collections import OrderedDict, deque
from collections.abc import Mapping
from itertools import chain, islice

from attrs import frozen

from waxwingwinch._types import InstanceId
from waxwingwinch.gateway._bounded_tables import put_newest
from waxwingwinch.gateway._crash_blame import Blame
from waxwingwinch.gateway._crash_log_lines import CrashReportMalformed
from waxwingwinch.gateway._crash_messages import (
    AnsweringEngine,
    CrashEvidenceReport,
    CrashReport,
)
from waxwingwinch.gateway._crash_observations import (
    MAX_REPORTED_CRASHES,
    MAX_REPORTED_PARTS,
    Observation,
    is_valid_age,
    is_valid_answer,
    is_valid_part_id,
    make_crash_report,
    read_crash_report,
)
from waxwingwinch.gateway._crash_suspects import Incarnation, Source, is_request_part
from waxwingwinch.gateway._crash_table import (
    CRASH_RETENTION_SECONDS,
    DISPROOF_MARGIN_SECONDS,
    MAX_CRASHES,
    MAX_SOUND_PARTS,
    CrashTable,
)

#: Instances try a part again at different times, spread over this fraction of
#: the block, so that the crash of the first reaches the others.
RETRIAL_SPREAD = 0.5
#: Time after a crash in which an answer of the same engine disproves it. A
#: crashed engine is back after some seconds.
DISPROOF_SECONDS = 2.0
#: Time for which the crashes that explain a blame, or may lead to one, are
#: reported after an instance started, whoever observed them.
SHARING_SECONDS = 4.0
#: Bound on what is reported of the observations of others.
MAX_SHARED_CRASHES = MAX_REPORTED_CRASHES // 2
#: Crashes beyond which reports are judged before the next request.
MAX_UNJUDGED_CRASHES = 2 * MAX_CRASHES
#: Number of incarnations of other instances that are remembered.
MAX_INCARNATIONS = 1_024


@frozen
class PartBlock:
    """
    The refusal of requests with a part.

    :param part_id: The part.
    :param blame: Why it is blamed.
    :param until_seconds: Monotonic time at which it is tried again.
    """

    part_id: str
    blame: Blame
    until_seconds: float


class CrashEvidence:
    """
    Crashes of engines, and the parts that are blamed for them.

    May be used from all threads.

    :param instance_id: This instance.
    """

    def __init__(self, instance_id: InstanceId) -> None:
        self._instance_id = instance_id
        self._table = CrashTable()
        # What this process saw itself. Times from others are estimates, so
        # they are not passed on as its own.
        self._observations: deque[tuple[int, Observation]] = deque(
            maxlen=MAX_REPORTED_CRASHES
        )
        self._sound_seconds: OrderedDict[str, float] = OrderedDict()
        self._answered_seconds: OrderedDict[Incarnation, float] = OrderedDict()
        self._sequence = 0
        # Last sequence of the observations applied, by incarnation.
        self._applied: OrderedDict[str, int] = OrderedDict()
        # Incarnations whose reports were out of bounds.
        self._malformed: OrderedDict[str, None] = OrderedDict()
        self._sharing_until_seconds = 0.0
        self._lock = threading.Lock()

    def record_crash(self, observation: Observation) -> None:
        """
        Record that an upstream broke the connection of a request.

        :param observation: The observation of this process.
        """
        with self._lock:
            self._sequence += 1
            self._observations.append((self._sequence, observation))
            self._table.add(observation, Source(self._instance_id, self._sequence))
            self._table.judge(observation.seen_seconds)

    def record_sound(self, part_ids: tuple[str, ...], now_seconds: float) -> None:
        """
        Record that a request went well.

        A request itself is remembered only while it is suspect.

        :param part_ids: Shared parts of its prompt, and the request.
        :param now_seconds: Monotonic time.
        """
        if not self._table.crashes:
            # Read without the lock, as this is called for each request.
            part_ids = tuple(part for part in part_ids if not is_request_part(part))
        if not part_ids:
            return
        with self._lock:
            for part_id in part_ids:
                if is_request_part(part_id) and not self._table.is_suspect(part_id):
                    continue
                put_newest(self._sound_seconds, part_id, now_seconds, MAX_SOUND_PARTS)
                self._table.record_sound(part_id, now_seconds)
            if not self._table.blames.keys().isdisjoint(part_ids):
                self._table.judge(now_seconds)

    def record_answer(
        self, engine: Incarnation, sent_seconds: float, now_seconds: float
    ) -> None:
        """
        Record that an engine answers a request, so that it runs.

        :param engine: The incarnation of the engine.
        :param sent_seconds: Monotonic time at which the request was sent.
        :param now_seconds: Monotonic time.
        """
        # Read without the lock, as this is called for each answer.
        if engine not in self._table.crashes:
            return
        with self._lock:
            crash = self._table.crashes.get(engine)
            if crash is None:
                return
            age_seconds = sent_seconds - crash.seen_seconds
            if DISPROOF_MARGIN_SECONDS < age_seconds < DISPROOF_SECONDS:
                put_newest(self._answered_seconds, engine, sent_seconds, MAX_CRASHES)
                self._table.disprove(engine, sent_seconds, now_seconds)
                self._table.judge(now_seconds)

    def block(self, part_ids: tuple[str, ...], now_seconds: float) -> PartBlock | None:
        """
        Return why a request must not be sent to an engine; None if it may.

        :param part_ids: Shared parts of its prompt.
        :param now_seconds: Monotonic time.
        """
        # Read without the lock, as this is called for each request.
        if self._table.must_judge(now_seconds):
            with self._lock:
                self._table.judge(now_seconds)
        blames = self._table.blames
        blocks = [
            PartBlock(part_id, blames[part_id], self._until(part_id, blames[part_id]))
            for part_id in part_ids
            if part_id in blames
        ]
        blocks = [block for block in blocks if block.until_seconds > now_seconds]
        return max(blocks, key=lambda block: block.until_seconds, default=None)

    def blamed_count(self) -> int:
        """Return the number of parts that were blamed when last judged."""
        return len(self._table.blames)

    def report(self, now_seconds: float) -> CrashEvidenceReport:
        """
        Return what the other instances should know.

        Crashes are reported as long as they are remembered.

        :param now_seconds: Monotonic time.
        """
        with self._lock:
            self._table.judge(now_seconds)
            self._table.delete_outdated(now_seconds)
            self._table.judge(now_seconds)
            crashes = [
                make_crash_report(sequence, observation, now_seconds)
                for sequence, observation in self._observations
                if observation.engine in self._table.crashes
            ]
            if now_seconds < self._sharing_until_seconds:
                shared = self._shared_crashes(now_seconds)[:MAX_SHARED_CRASHES]
                crashes = crashes[-MAX_REPORTED_CRASHES + len(shared) :] + shared
            answering = tuple(
                AnsweringEngine(
                    engine.upstream_id, engine.started_ms, now_seconds - seconds
                )
                for engine, seconds in self._answered_seconds.items()
                if now_seconds - seconds < CRASH_RETENTION_SECONDS
            )
            return CrashEvidenceReport(
                tuple(crashes), self._sound_ages(now_seconds), answering
            )

    def apply(
        self, report: CrashEvidenceReport, incarnation: str, made_seconds: float
    ) -> None:
        """
        Apply the report of another instance.

        :param report: The report.
        :param incarnation: Incarnation of the other instance.
        :param made_seconds: Monotonic time at which it was made.
        """
        with self._lock:
            if incarnation not in self._applied:
                # It may have started just now and know nothing.
                self._sharing_until_seconds = max(
                    self._sharing_until_seconds, made_seconds + SHARING_SECONDS
                )
            applied = self._applied.get(incarnation, 0)
            put_newest(self._applied, incarnation, applied, MAX_INCARNATIONS)
            if report.is_empty:
                return
            for crash_report in report.crashes[:MAX_REPORTED_CRASHES]:
                self._apply_crash(crash_report, incarnation, made_seconds)
            self._apply_sound(report.sound_ages_seconds, made_seconds)
            for answering in report.answering[:MAX_CRASHES]:
                if is_valid_answer(answering):
                    self._table.disprove(
                        Incarnation(answering.upstream_id, answering.started_ms),
                        made_seconds - answering.age_seconds,
                        made_seconds,
                    )
            # Otherwise the next request judges, once for all reports until
            # then: many arrive at once in one thread.
            if len(self._table.crashes) > MAX_UNJUDGED_CRASHES:
                self._table.judge(made_seconds)

    def _apply_crash(
        self, report: CrashReport, incarnation: str, made_seconds: float
    ) -> None:
        observation = read_crash_report(report, made_seconds)
        source = Source(incarnation, report.sequence)
        if observation is None:
            self._log_malformed(incarnation)
        elif report.sequence == 0:
            # Passed on by another than the observer, so the times are less
            # exact than those already known.
            known = self._table.crashes.get(observation.engine)
            if known is None or known.suspects.keys().isdisjoint(report.part_ids):
                self._table.add(observation, source)
        elif report.sequence > self._applied[incarnation]:
            self._applied[incarnation] = report.sequence
            self._table.add(observation, source)
        else:
            self._table.refine(observation, source, made_seconds)

    def _log_malformed(self, incarnation: str) -> None:
        # Once, as reports repeat what they say.
        if incarnation not in self._malformed:
            CrashReportMalformed(incarnation).write()
        put_newest(self._malformed, incarnation, None, MAX_INCARNATIONS)

    def _apply_sound(
        self, ages_seconds: Mapping[str, float], made_seconds: float
    ) -> None:
        for part_id, age_seconds in islice(ages_seconds.items(), MAX_REPORTED_PARTS):
            if is_valid_age(age_seconds) and is_valid_part_id(part_id):
                self._table.record_sound(part_id, made_seconds - age_seconds)

    def _shared_crashes(self, now_seconds: float) -> list[CrashReport]:
        """
        Return crashes observed by any instance.

        Those that explain blames come first, then those of the parts that
        were aboard at the most crashes.
        """
        blames, crashes = self._table.blames, self._table.crashes
        engines_by_part: dict[str, list[Incarnation]] = {}
        for engine, crash in crashes.items():
            for part_id in crash.suspects.keys() - blames.keys():
                engines_by_part.setdefault(part_id, []).append(engine)
        aboard = sorted(engines_by_part.items(), key=lambda item: -len(item[1]))
        explaining = [(part_id, blame.engines) for part_id, blame in blames.items()]
        reports = []
        for part_id, engines in chain(explaining, aboard):
            for engine in engines:
                suspect = crashes[engine].suspects[part_id]
                observation = Observation(
                    engine,
                    (part_id,),
                    suspect.sent_seconds,
                    suspect.seen_seconds,
                    suspect.position,
                    suspect.has_begun,
                )
                reports.append(make_crash_report(0, observation, now_seconds))
        return reports

    def _sound_ages(self, now_seconds: float) -> dict[str, float]:
        """Return the ages of sound generations with suspect parts."""
        ages = {
            part_id: now_seconds - self._sound_seconds[part_id]
            for crash in self._table.crashes.values()
            for part_id in crash.suspects
            if part_id in self._sound_seconds
        }
        newest = sorted(ages, key=lambda part_id: ages[part_id])
        return {part_id: ages[part_id] for part_id in newest[:MAX_REPORTED_PARTS]}

    def _until(self, part_id: str, blame: Blame) -> float:
        digest = hashlib.sha256(f"{self._instance_id} {part_id}".encode()).digest()
        spread = RETRIAL_SPREAD * digest[0] / 255
        return blame.last_seconds + blame.block_seconds * (1.0 + spread)
