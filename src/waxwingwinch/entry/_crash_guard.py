"""Quarantine of requests that crash the upstreams which run them."""

import math
import threading
import time
from collections import OrderedDict
from collections.abc import Callable

import eliot
from attrs import define, field, frozen

from waxwingwinch._types import InstanceId, UpstreamId
from waxwingwinch.codec import message
from waxwingwinch.kernel import Clock
from waxwingwinch.peers import PeerIdentity

#: Blame for a crash before the upstream returned any part of the answer.
BLAME_WITHOUT_PROGRESS = 3
#: Blame for a crash after the upstream returned a part of the answer. A
#: request that causes crashes crashes the next upstream when it is resumed; a
#: request that merely ran on the same upstream usually makes progress.
BLAME_AFTER_PROGRESS = 1
#: Total blame, over the upstreams that crashed, from which a request is
#: refused.
BLAME_TO_REFUSE = 4
#: Crashes of one upstream within this time count as the same crash.
SAME_CRASH_SECONDS = 2.0
#: Time for which a request is refused after its last crash.
CRASH_REFUSAL_SECONDS = 300.0
#: Time after its last crash from which a request that is not refused is no
#: longer suspect.
CRASH_RETENTION_SECONDS = 300.0
#: Wait after a crash for notices of peers that ran the same request at the
#: same time; far longer than a message between instances takes.
CRASH_SETTLE_SECONDS = 0.1
#: Largest number of requests with recorded crashes; beyond it the least
#: recently updated record is dropped.
CRASH_RECORDS_MAX = 10_000
#: Leading characters of a fingerprint that the logs name.
LOGGED_FINGERPRINT_CHARACTERS = 16


@message("crash_notice")
@frozen
class CrashNotice:
    """
    Notifies peers that an upstream crashed while it ran a request.

    :param instance_id: The instance that observed the crash.
    :param fingerprint: Fingerprint of the request, see
        :func:`waxwingwinch._fingerprints.request_fingerprint`.
    :param upstream_id: The upstream that crashed.
    :param had_progress: True if the upstream had returned a part of the
        answer.
    """

    instance_id: InstanceId
    fingerprint: str
    upstream_id: UpstreamId
    had_progress: bool = False


def logged_fingerprint(fingerprint: str) -> str:
    """
    Return the part of a fingerprint by which the logs name a request.

    :param fingerprint: The fingerprint.
    """
    return fingerprint[:LOGGED_FINGERPRINT_CHARACTERS]


@frozen
class _Crash:
    """
    A crash of an upstream while it ran the request.

    :param blame: Blame of the request for the crash.
    :param learned_seconds: Monotonic time at which this instance learned of
        it.
    """

    blame: int
    learned_seconds: float


@define
class _CrashRecord:
    """
    Crashes during all requests with one fingerprint.

    :param crashes: Crashes of upstreams that ran the request, by upstream.
    :param last_seconds: Monotonic time of the last crash.
    """

    crashes: dict[UpstreamId, _Crash] = field(factory=dict)
    last_seconds: float = 0.0

    def settle_wait_seconds(self, now_seconds: float) -> float:
        """
        Return the time until notices of simultaneous crashes have arrived.

        Only crashes without progress are waited for.

        :param now_seconds: Monotonic time.
        """
        newest_seconds = max(
            (
                crash.learned_seconds
                for crash in self.crashes.values()
                if crash.blame == BLAME_WITHOUT_PROGRESS
            ),
            default=-math.inf,
        )
        return max(newest_seconds + CRASH_SETTLE_SECONDS - now_seconds, 0.0)

    def blame(self) -> int:
        """Return the total blame for all crashes."""
        return sum(crash.blame for crash in self.crashes.values())

    def add(self, upstream_id: UpstreamId, crash: _Crash) -> None:
        """
        Add a crash; for each upstream only the crash with most blame counts.

        :param upstream_id: The upstream.
        :param crash: The crash of the upstream.
        """
        known = self.crashes.get(upstream_id)
        if known is None or known.blame < crash.blame:
            self.crashes[upstream_id] = crash
        self.last_seconds = crash.learned_seconds


@frozen
class NotSuspect:
    """No upstream is known to have crashed while it ran the request."""


@frozen
class Suspect:
    """
    The request may have crashed upstreams.

    :param upstream_ids: Upstreams that crashed while they ran the request.
    :param settle_wait_seconds: Time until notices of simultaneous crashes
        have arrived from peers; 0 if they have, or if the request made
        progress before each crash.
    """

    upstream_ids: frozenset[UpstreamId]
    settle_wait_seconds: float = 0.0


@frozen
class Quarantined:
    """
    The request is refused since upstreams crashed repeatedly during it.

    :param retry_after_seconds: Time for which it is still refused.
    """

    retry_after_seconds: float


CrashVerdict = NotSuspect | Suspect | Quarantined


class CrashGuard:
    """
    Records crashes during requests, and shares them with the peers.

    :param instance_id: Id of this instance.
    :param broadcast: Sends a message to all peers without blocking.
    """

    def __init__(
        self, instance_id: InstanceId, broadcast: Callable[[object], None]
    ) -> None:
        self._instance_id = instance_id
        self._broadcast = broadcast
        self._records: OrderedDict[str, _CrashRecord] = OrderedDict()
        self._lock = threading.Lock()

    def judge(self, fingerprint: str, now_seconds: float) -> CrashVerdict:
        """
        Return whether a request is unsuspected, suspect or quarantined.

        :param fingerprint: Fingerprint of the request.
        :param now_seconds: Monotonic time.
        """
        with self._lock:
            record = self._records.get(fingerprint)
            if record is None:
                return NotSuspect()
            elapsed_seconds = now_seconds - record.last_seconds
            attributed_blame = self._attributed_blame(record)
            crashed, blame = sorted(record.crashes), record.blame()
            verdict = self._judge_record(
                fingerprint, record, attributed_blame, now_seconds
            )
        eliot.log_message(
            "crash:judged",
            fingerprint=logged_fingerprint(fingerprint),
            crashed=crashed,
            blame=blame,
            attributed_blame=attributed_blame,
            last_age_seconds=elapsed_seconds,
            verdict=type(verdict).__name__,
        )
        return verdict

    def _judge_record(
        self,
        fingerprint: str,
        record: _CrashRecord,
        attributed_blame: int,
        now_seconds: float,
    ) -> CrashVerdict:
        elapsed_seconds = now_seconds - record.last_seconds
        is_refused = attributed_blame >= BLAME_TO_REFUSE
        limit_seconds = CRASH_RETENTION_SECONDS
        if is_refused:
            limit_seconds = CRASH_REFUSAL_SECONDS
        if elapsed_seconds >= limit_seconds:
            del self._records[fingerprint]
            return NotSuspect()
        if is_refused:
            return Quarantined(limit_seconds - elapsed_seconds)
        settle_wait_seconds = record.settle_wait_seconds(now_seconds)
        return Suspect(frozenset(record.crashes), settle_wait_seconds)

    def judge_settled(
        self,
        fingerprint: str,
        clock: Clock,
        pause: Callable[[float], None] = time.sleep,
    ) -> CrashVerdict:
        """
        Judge a request after notices of simultaneous crashes have arrived.

        If a prompt is sent to several instances at once and crashes an engine
        at each of them, each instance would crash a second engine without
        this pause.

        :param fingerprint: Fingerprint of the request.
        :param clock: Source of the current time.
        :param pause: Sleeps for a number of seconds.
        """
        verdict = self.judge(fingerprint, clock.now_seconds())
        while isinstance(verdict, Suspect) and verdict.settle_wait_seconds > 0:
            pause(verdict.settle_wait_seconds)
            verdict = self.judge(fingerprint, clock.now_seconds())
        return verdict

    def judge_arrival(
        self,
        fingerprint: str,
        clock: Clock,
        pause: Callable[[float], None] = time.sleep,
    ) -> CrashVerdict:
        """
        Judge a request of a caller, who may have been refused by a peer.

        A caller may return sooner than the notice of the crash that its
        request caused at that peer, so a suspect waits for it.

        :param fingerprint: Fingerprint of the request.
        :param clock: Source of the current time.
        :param pause: Sleeps for a number of seconds.
        """
        verdict = self.judge(fingerprint, clock.now_seconds())
        if not isinstance(verdict, Suspect):
            return verdict
        pause(CRASH_SETTLE_SECONDS)
        return self.judge_settled(fingerprint, clock, pause)

    def record_crash(
        self,
        fingerprint: str,
        upstream_id: UpstreamId,
        now_seconds: float,
        had_progress: bool = False,
    ) -> None:
        """
        Record a crash that this instance observed, and notify the peers.

        :param fingerprint: Fingerprint of the request.
        :param upstream_id: The upstream that crashed.
        :param now_seconds: Monotonic time.
        :param had_progress: True if the upstream had returned a part of the
            answer.
        """
        notice = CrashNotice(self._instance_id, fingerprint, upstream_id, had_progress)
        self.apply_notice(notice, now_seconds)
        self._broadcast(notice)

    def apply_notice(self, notice: CrashNotice, now_seconds: float) -> None:
        """
        Record a crash that a peer or this instance observed.

        :param notice: The notice of the crash.
        :param now_seconds: Monotonic time.
        """
        blame = BLAME_WITHOUT_PROGRESS
        if notice.had_progress:
            blame = BLAME_AFTER_PROGRESS
        eliot.log_message(
            "crash:recorded",
            fingerprint=logged_fingerprint(notice.fingerprint),
            upstream_id=notice.upstream_id,
            observer=notice.instance_id,
            had_progress=notice.had_progress,
            blame=blame,
        )
        crash = _Crash(blame, now_seconds)
        self._record_crash(notice.fingerprint, notice.upstream_id, crash)

    def peer_handler(
        self, now_seconds: Callable[[], float]
    ) -> Callable[[PeerIdentity, CrashNotice], None]:
        """
        Return a handler for :meth:`waxwingwinch.peers.PeerServer.handle`.

        :param now_seconds: Returns monotonic time.
        """

        def handle(_: PeerIdentity, notice: CrashNotice) -> None:
            self.apply_notice(notice, now_seconds())

        return handle

    def record_success(self, fingerprint: str) -> None:
        """
        Delete the crashes of a request that completed.

        :param fingerprint: Fingerprint of the request.
        """
        with self._lock:
            self._records.pop(fingerprint, None)

    def _attributed_blame(self, record: _CrashRecord) -> int:
        """
        Return the blame for crashes not attributed to another request.

        A crash is not counted if another request also ran on the upstream and
        has more blame, for this crash or in total.
        """
        return sum(
            crash.blame
            for upstream_id, crash in record.crashes.items()
            if not any(
                _is_attributed_to(other, record, upstream_id)
                for other in self._records.values()
            )
        )

    def _record_crash(
        self, fingerprint: str, upstream_id: UpstreamId, crash: _Crash
    ) -> None:
        with self._lock:
            record = self._records.setdefault(fingerprint, _CrashRecord())
            record.add(upstream_id, crash)
            self._records.move_to_end(fingerprint)
            while len(self._records) > CRASH_RECORDS_MAX:
                self._records.popitem(last=False)


def _is_attributed_to(
    other: _CrashRecord, record: _CrashRecord, upstream_id: UpstreamId
) -> bool:
    """
    Return whether a crash is attributed to another request.

    It is if the other request ran on the upstream at the same time and has
    more blame, for this crash or in total.

    :param other: Crashes of the other request.
    :param record: Crashes of the request under judgement.
    :param upstream_id: The upstream that crashed.
    """
    crash, other_crash = record.crashes[upstream_id], other.crashes.get(upstream_id)
    if (
        other_crash is None
        or abs(other_crash.learned_seconds - crash.learned_seconds) > SAME_CRASH_SECONDS
    ):
        return False
    return other_crash.blame > crash.blame or other.blame() > record.blame()
