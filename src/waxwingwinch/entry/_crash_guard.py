"""Containing requests that crash each engine that runs them."""

import hashlib
import threading
from collections import OrderedDict
from collections.abc import Callable

from attrs import define, field, frozen

from waxwingwinch._types import CustomerId, InstanceId, UpstreamId
from waxwingwinch.codec import message
from waxwingwinch.peers import PeerIdentity

#: Crashes on different upstreams after which a request is refused.
CRASHES_TO_REFUSE = 2
#: How long such a request is refused.
CRASH_REFUSAL_SECONDS = 300.0
#: How long a single crash is remembered.
CRASH_MEMORY_SECONDS = 300.0
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
    """

    instance_id: InstanceId
    fingerprint: str
    upstream_id: UpstreamId


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


@define
class _CrashRecord:
    """
    What is known of one request.

    :param upstream_ids: Upstreams that crashed while they ran it.
    :param last_seconds: Monotonic time of the last crash.
    """

    upstream_ids: set[UpstreamId] = field(factory=set)
    last_seconds: float = 0.0


@frozen
class NotSuspect:
    """The request never crashed an upstream, as far as known."""


@frozen
class Suspect:
    """
    The request may have crashed one upstream.

    :param upstream_ids: That upstream.
    """

    upstream_ids: frozenset[UpstreamId]


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
            if len(record.upstream_ids) >= CRASHES_TO_REFUSE:
                if elapsed_seconds < CRASH_REFUSAL_SECONDS:
                    return Quarantined(CRASH_REFUSAL_SECONDS - elapsed_seconds)
            elif elapsed_seconds < CRASH_MEMORY_SECONDS:
                return Suspect(frozenset(record.upstream_ids))
            del self._records[fingerprint]
            return NotSuspect()

    def crashed(
        self, fingerprint: str, upstream_id: UpstreamId, now_seconds: float
    ) -> None:
        """
        Remember a crash that this instance saw, and tell the peers.

        :param fingerprint: The request.
        :param upstream_id: The upstream.
        :param now_seconds: Monotonic time.
        """
        self._remember(fingerprint, upstream_id, now_seconds)
        self._broadcast(CrashNotice(self._instance_id, fingerprint, upstream_id))

    def learn(self, notice: CrashNotice, now_seconds: float) -> None:
        """
        Remember a crash that a peer saw.

        :param notice: What it told.
        :param now_seconds: Monotonic time.
        """
        self._remember(notice.fingerprint, notice.upstream_id, now_seconds)

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

    def _remember(
        self, fingerprint: str, upstream_id: UpstreamId, now_seconds: float
    ) -> None:
        with self._lock:
            record = self._records.setdefault(fingerprint, _CrashRecord())
            record.upstream_ids.add(upstream_id)
            record.last_seconds = now_seconds
            self._records.move_to_end(fingerprint)
            while len(self._records) > CRASH_RECORDS_MAX:
                self._records.popitem(last=False)
