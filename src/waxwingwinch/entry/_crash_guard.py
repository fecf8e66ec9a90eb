"""Containing requests that crash each engine that runs them."""

import hashlib
import math
import threading
import time
from collections import OrderedDict
from collections.abc import Callable

from attrs import define, field, frozen

from waxwingwinch._types import CustomerId, InstanceId, UpstreamId
from waxwingwinch.codec import message
from waxwingwinch.kernel import Clock
from waxwingwinch.peers import PeerIdentity

#: Blame for a crash before the upstream gave anything for the request.
BLAME_WITHOUT_PROGRESS = 3
#: Blame for a crash after it gave a part of the answer. A request that
#: crashes upstreams does so again where it is resumed, one that merely ran
#: beside it usually gets on.
BLAME_AFTER_PROGRESS = 1
#: Blame for crashes on several upstreams at which a request is refused.
BLAME_TO_REFUSE = 4
#: Crashes of one upstream within this time are taken as one.
SAME_CRASH_SECONDS = 2.0
#: How long such a request is refused.
CRASH_REFUSAL_SECONDS = 300.0
#: How long a single crash is remembered.
CRASH_MEMORY_SECONDS = 300.0
#: Age of a crash at which peers that ran the same request at that moment have
#: told of theirs; far more than a message between instances takes.
CRASH_SETTLE_SECONDS = 0.1
#: Requests that are remembered at most.
CRASH_RECORDS_MAX = 10_000


@message("crash_notice")
@frozen
class CrashNotice:
    """
    Tells peers that an upstream crashed while it ran a request.

    :param instance_id: The instance that saw it.
    :param fingerprint: The request, see :func:`request_fingerprint`.
    :param upstream_id: The upstream.
    :param had_progress: True if a part of the answer had come from it.
    """

    instance_id: InstanceId
    fingerprint: str
    upstream_id: UpstreamId
    had_progress: bool = False


def request_fingerprint(customer_id: CustomerId, route: str, body: bytes) -> str:
    """
    Return a name that a repeated request shares with the first one.

    :param customer_id: Its customer; empty on open routes.
    :param route: Its route and model.
    :param body: Its body.
    """
    digest = hashlib.sha256()
    for part in (customer_id.encode(), route.encode(), body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


@frozen
class _Crash:
    """
    One crash of one upstream.

    :param blame: What it counts against the request.
    :param seconds: Monotonic time at which it became known.
    """

    blame: int
    seconds: float


@define
class _CrashRecord:
    """
    What is known of one request.

    :param crashes: Crashes while they ran it, by upstream.
    :param last_seconds: Monotonic time of the last crash.
    """

    crashes: dict[UpstreamId, _Crash] = field(factory=dict)
    last_seconds: float = 0.0

    def settle_seconds(self, now_seconds: float) -> float:
        """
        Return the time until peers have told of crashes of the same moment.

        :param now_seconds: Monotonic time.
        """
        newest_seconds = max(
            (
                crash.seconds
                for crash in self.crashes.values()
                if crash.blame == BLAME_WITHOUT_PROGRESS
            ),
            default=-math.inf,
        )
        return max(newest_seconds + CRASH_SETTLE_SECONDS - now_seconds, 0.0)

    def blame(self) -> int:
        """Return the blame for all crashes."""
        return sum(crash.blame for crash in self.crashes.values())

    def add(self, upstream_id: UpstreamId, crash: _Crash) -> None:
        """
        Count a crash, each upstream once.

        :param upstream_id: The upstream.
        :param crash: Its crash.
        """
        before = self.crashes.get(upstream_id)
        if before is None or before.blame < crash.blame:
            self.crashes[upstream_id] = crash
        self.last_seconds = crash.seconds


@frozen
class NotSuspect:
    """The request never crashed an upstream, as far as known."""


@frozen
class Suspect:
    """
    The request may have crashed upstreams.

    :param upstream_ids: Upstreams that crashed while they ran it.
    :param settle_seconds: Time until peers have told of crashes of the same
        moment; 0 if it was seen to get on.
    """

    upstream_ids: frozenset[UpstreamId]
    settle_seconds: float = 0.0


@frozen
class Quarantined:
    """
    The request crashed so many upstreams that it is refused.

    :param retry_after_seconds: How long.
    """

    retry_after_seconds: float


CrashVerdict = NotSuspect | Suspect | Quarantined


class CrashGuard:
    """
    Remembers crashes and shares them with the peers.

    :param instance_id: This instance.
    :param broadcast: Sends a message to all peers without waiting.
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
        Tell how a request may run.

        :param fingerprint: The request.
        :param now_seconds: Monotonic time.
        """
        with self._lock:
            record = self._records.get(fingerprint)
            if record is None:
                return NotSuspect()
            elapsed_seconds = now_seconds - record.last_seconds
            is_refused = self._blame(record) >= BLAME_TO_REFUSE
            limit_seconds = CRASH_MEMORY_SECONDS
            if is_refused:
                limit_seconds = CRASH_REFUSAL_SECONDS
            if elapsed_seconds >= limit_seconds:
                del self._records[fingerprint]
                return NotSuspect()
            if is_refused:
                return Quarantined(limit_seconds - elapsed_seconds)
            settle_seconds = record.settle_seconds(now_seconds)
            return Suspect(frozenset(record.crashes), settle_seconds)

    def judge_settled(
        self,
        fingerprint: str,
        clock: Clock,
        pause: Callable[[float], None] = time.sleep,
    ) -> CrashVerdict:
        """
        Tell how a request may run, once peers have told what they saw.

        A prompt that is sent to several instances at once crashes an engine
        of each; without the pause each would crash a second one.

        :param fingerprint: The request.
        :param clock: Source of the present time.
        :param pause: Waits for a time in seconds.
        """
        verdict = self.judge(fingerprint, clock.now_seconds())
        while isinstance(verdict, Suspect) and verdict.settle_seconds > 0:
            pause(verdict.settle_seconds)
            verdict = self.judge(fingerprint, clock.now_seconds())
        return verdict

    def crashed(
        self,
        fingerprint: str,
        upstream_id: UpstreamId,
        now_seconds: float,
        had_progress: bool = False,
    ) -> None:
        """
        Remember a crash that this instance saw, and tell the peers.

        :param fingerprint: The request.
        :param upstream_id: The upstream.
        :param now_seconds: Monotonic time.
        :param had_progress: True if a part of the answer had come from it.
        """
        notice = CrashNotice(self._instance_id, fingerprint, upstream_id, had_progress)
        self.learn(notice, now_seconds)
        self._broadcast(notice)

    def learn(self, notice: CrashNotice, now_seconds: float) -> None:
        """
        Remember a crash that a peer or this instance saw.

        :param notice: What it told.
        :param now_seconds: Monotonic time.
        """
        blame = BLAME_WITHOUT_PROGRESS
        if notice.had_progress:
            blame = BLAME_AFTER_PROGRESS
        crash = _Crash(blame, now_seconds)
        self._remember(notice.fingerprint, notice.upstream_id, crash)

    def peer_handler(
        self, now_seconds: Callable[[], float]
    ) -> Callable[[PeerIdentity, CrashNotice], None]:
        """
        Return a handler for :meth:`waxwingwinch.peers.PeerServer.handle`.

        :param now_seconds: Returns monotonic time.
        """

        def handle(_: PeerIdentity, notice: CrashNotice) -> None:
            self.learn(notice, now_seconds())

        return handle

    def succeeded(self, fingerprint: str) -> None:
        """
        Forget a request that ran to its end.

        :param fingerprint: The request.
        """
        with self._lock:
            self._records.pop(fingerprint, None)

    def _blame(self, record: _CrashRecord) -> int:
        """
        Return the blame for the crashes that no other request explains.

        A request that ran beside one with more blame is not blamed for the
        crashes that they share.
        """
        return sum(
            crash.blame
            for upstream_id, crash in record.crashes.items()
            if not any(
                _explains(other, record, upstream_id)
                for other in self._records.values()
            )
        )

    def _remember(
        self, fingerprint: str, upstream_id: UpstreamId, crash: _Crash
    ) -> None:
        with self._lock:
            record = self._records.setdefault(fingerprint, _CrashRecord())
            record.add(upstream_id, crash)
            self._records.move_to_end(fingerprint)
            while len(self._records) > CRASH_RECORDS_MAX:
                self._records.popitem(last=False)


def _explains(
    other: _CrashRecord, record: _CrashRecord, upstream_id: UpstreamId
) -> bool:
    """
    Tell whether a crash is rather due to another request.

    :param other: The other request.
    :param record: The request with the crash.
    :param upstream_id: The upstream that crashed.
    """
    crash, theirs = record.crashes[upstream_id], other.crashes.get(upstream_id)
    if theirs is None or abs(theirs.seconds - crash.seconds) > SAME_CRASH_SECONDS:
        return False
    return theirs.blame > crash.blame or other.blame() > record.blame()
