"""Work in progress at each upstream, from local counts and peer reports."""

import threading
from collections.abc import Callable, Mapping

from attrs import define, field, frozen

from waxwingwinch._types import InstanceId, UpstreamId
from waxwingwinch.gateway._silence import silence_limit_seconds

#: Prefill work, as tokens without attention, from which it is announced to
#: peers at once. An engine is busy with so many tokens for longer than the
#: interval between reports, so that peers would otherwise place more work on
#: it.
MIN_ANNOUNCED_TOKENS = 1_000
#: How long the loads reported by a peer are used; derived from the peers'
#: report interval.
PEER_LOADS_TIMEOUT_SECONDS = 1.5


@frozen
class UpstreamLoad:
    """
    Work at one upstream.

    :param waiting_tokens: Prefill work not done yet, as tokens without
        attention.
    :param running: Requests in progress.
    """

    waiting_tokens: int = 0
    running: int = 0

    def __add__(self, other: "UpstreamLoad") -> "UpstreamLoad":
        """
        Return the sum of two loads.

        :param other: The load to add.
        """
        return UpstreamLoad(
            self.waiting_tokens + other.waiting_tokens, self.running + other.running
        )


NO_LOAD = UpstreamLoad()


@define
class _PeerLoads:
    """
    Loads that one peer has reported.

    :param loads: The peer's work by upstream.
    :param last_message_seconds: Monotonic time of its last message.
    """

    loads: dict[UpstreamId, UpstreamLoad]
    last_message_seconds: float


@define(eq=False)
class TrackedRequest:
    """
    One request in progress at one upstream.

    :param tracker: The tracker that counts it.
    :param upstream_id: The upstream.
    :param waiting_tokens: Prefill work not done yet there, as tokens without
        attention.
    """

    tracker: "LoadTracker" = field(repr=False)
    upstream_id: UpstreamId
    waiting_tokens: int
    _is_open: bool = True

    def mark_prefilled(self) -> None:
        """Record that the prefill of the prompt has finished."""
        self.tracker.change(self.upstream_id, -self.waiting_tokens, 0)
        self.waiting_tokens = 0

    def end(self) -> None:
        """Record that the request has ended at the upstream; idempotent."""
        if self._is_open:
            self._is_open = False
            self.tracker.change(self.upstream_id, -self.waiting_tokens, -1)


class LoadTracker:
    """Counts the work of this process and the work that its peers report."""

    def __init__(self) -> None:
        self._local_loads: dict[UpstreamId, UpstreamLoad] = {}
        self._peers: dict[str, _PeerLoads] = {}
        self._lock = threading.Lock()
        #: Announces large new work to the peers at once.
        self.announce: Callable[[UpstreamId, int], None] = lambda _, __: None

    def begin(self, upstream_id: UpstreamId, waiting_tokens: int) -> TrackedRequest:
        """
        Count a request that is sent to an upstream.

        :param upstream_id: The upstream.
        :param waiting_tokens: Prefill work, as tokens without attention.
        """
        self.change(upstream_id, waiting_tokens, 1)
        if waiting_tokens >= MIN_ANNOUNCED_TOKENS:
            self.announce(upstream_id, waiting_tokens)
        return TrackedRequest(self, upstream_id, waiting_tokens)

    def change(self, upstream_id: UpstreamId, tokens: int, requests: int) -> None:
        """
        Adjust the load of this process at an upstream.

        :param upstream_id: The upstream.
        :param tokens: Waiting prefill work to add, as tokens without
            attention; may be negative.
        :param requests: Running requests to add; may be negative.
        """
        with self._lock:
            changed = self._local_loads.get(upstream_id, NO_LOAD) + UpstreamLoad(
                tokens, requests
            )
            if changed == NO_LOAD:
                self._local_loads.pop(upstream_id, None)
            else:
                self._local_loads[upstream_id] = changed

    def record_loads(
        self,
        instance_id: str,
        loads: dict[UpstreamId, UpstreamLoad],
        is_full: bool,
        now_seconds: float,
    ) -> None:
        """
        Record the loads reported by a peer.

        :param instance_id: The peer.
        :param loads: The peer's work by upstream.
        :param is_full: False if unchanged loads are omitted.
        :param now_seconds: Monotonic time.
        """
        with self._lock:
            known = self._peers.get(instance_id)
            if known is not None and not is_full:
                loads = known.loads | loads
            running = {key: load for key, load in loads.items() if load != NO_LOAD}
            self._peers[instance_id] = _PeerLoads(running, now_seconds)

    def confirm_unchanged(self, made_seconds: Mapping[InstanceId, float]) -> None:
        """
        Record that the loads of peers are unchanged since their last report.

        :param made_seconds: Monotonic times at which the unchanged reports
            were made, by instance id.
        """
        with self._lock:
            for instance_id, at_seconds in made_seconds.items():
                known = self._peers.get(instance_id)
                if known is not None:
                    known.last_message_seconds = at_seconds

    def add_announced_work(
        self, instance_id: str, upstream_id: UpstreamId, tokens: int
    ) -> None:
        """
        Add work that a peer has announced, until its next report.

        :param instance_id: The peer.
        :param upstream_id: The upstream.
        :param tokens: Prefill work there, as tokens without attention.
        """
        with self._lock:
            peer_loads = self._peers.get(instance_id)
            if peer_loads is not None:
                known = peer_loads.loads.get(upstream_id, NO_LOAD)
                peer_loads.loads[upstream_id] = known + UpstreamLoad(tokens, 1)

    def local_loads(self) -> dict[UpstreamId, UpstreamLoad]:
        """Return the work of this process by upstream."""
        with self._lock:
            return dict(self._local_loads)

    def total(self, upstream_id: UpstreamId, now_seconds: float) -> UpstreamLoad:
        """
        Return the work of this process and its current peers at one upstream.

        :param upstream_id: The upstream.
        :param now_seconds: Monotonic time.
        """
        with self._lock:
            oldest_seconds = self._oldest_seconds(now_seconds)
            load = self._local_loads.get(upstream_id, NO_LOAD)
            waiting, running = load.waiting_tokens, load.running
            for peer_loads in self._peers.values():
                peer_load = peer_loads.loads.get(upstream_id)
                if (
                    peer_load is not None
                    and peer_loads.last_message_seconds >= oldest_seconds
                ):
                    waiting += peer_load.waiting_tokens
                    running += peer_load.running
        return UpstreamLoad(waiting, running)

    def _oldest_seconds(self, now_seconds: float) -> float:
        """Return the time from which messages of peers count."""
        return now_seconds - silence_limit_seconds(
            PEER_LOADS_TIMEOUT_SECONDS, len(self._peers) + 1
        )

    def totals(self, now_seconds: float) -> dict[UpstreamId, UpstreamLoad]:
        """
        Return the work of this process and its current peers by upstream.

        :param now_seconds: Monotonic time.
        """
        with self._lock:
            oldest_seconds = self._oldest_seconds(now_seconds)
            load_tables = [self._local_loads] + [
                peer_loads.loads
                for peer_loads in self._peers.values()
                if peer_loads.last_message_seconds >= oldest_seconds
            ]
            # Integers are summed without UpstreamLoad objects: a deployment
            # has hundreds of loads, which are summed for each request.
            waiting: dict[UpstreamId, int] = {}
            running: dict[UpstreamId, int] = {}
            for loads in load_tables:
                for key, load in loads.items():
                    waiting[key] = waiting.get(key, 0) + load.waiting_tokens
                    running[key] = running.get(key, 0) + load.running
        return {
            key: UpstreamLoad(waiting[key], count) for key, count in running.items()
        }
