"""Recent work by customer, here and at the peers."""

import threading

from attrs import define, evolve, frozen

from waxwingwinch._types import CustomerId, InstanceId
from waxwingwinch.codec import message
from waxwingwinch.decisions import (
    CustomerWork,
    after_admission,
    after_demand,
    decayed,
)

#: What a peer told is forgotten after this time without news.
PEER_LOAD_SECONDS = 5.0
#: Work below this rate isn't told to peers.
TOLD_TOKENS_PER_SECOND_MIN = 1.0


@frozen
class CustomerLoad:
    """
    Work of one customer at one instance.

    :param customer_id: The customer.
    :param demanded_tokens_per_second: Work that it asked for.
    :param admitted_tokens_per_second: Work that was admitted.
    """

    customer_id: CustomerId
    demanded_tokens_per_second: float
    admitted_tokens_per_second: float


@message("customer_load_notice")
@frozen
class CustomerLoadNotice:
    """
    Tells peers what each customer does here, so that shares are fleet-wide.

    :param instance_id: The sending instance.
    :param loads: By customer.
    """

    instance_id: InstanceId
    loads: tuple[CustomerLoad, ...]


@define
class _PeerLoads:
    """
    What one peer told.

    :param loads: By customer.
    :param heard_seconds: Monotonic time.
    """

    loads: tuple[CustomerLoad, ...]
    heard_seconds: float


class CustomerWorkBook:
    """
    Keeps the recent work of all customers.

    :param instance_id: This instance.
    """

    def __init__(self, instance_id: InstanceId) -> None:
        self._instance_id = instance_id
        self._own: dict[CustomerId, CustomerWork] = {}
        self._peers: dict[InstanceId, _PeerLoads] = {}
        self._lock = threading.Lock()

    def demanded(
        self, customer_id: CustomerId, weight: float, tokens: int, now_seconds: float
    ) -> None:
        """
        Count a request that asked to be served.

        :param customer_id: The customer.
        :param weight: Its share relative to others.
        :param tokens: Prompt and expected output tokens.
        :param now_seconds: Monotonic time.
        """
        with self._lock:
            work = self._own.get(customer_id)
            if work is None:
                work = CustomerWork(customer_id, weight, taken_seconds=now_seconds)
            work = evolve(work, weight=weight)
            self._own[customer_id] = after_demand(work, tokens, now_seconds)

    def admitted(
        self, customer_id: CustomerId, tokens: int, now_seconds: float
    ) -> None:
        """
        Count a request that was admitted.

        :param customer_id: The customer, counted as demanding before.
        :param tokens: Prompt and expected output tokens.
        :param now_seconds: Monotonic time.
        """
        with self._lock:
            work = self._own[customer_id]
            self._own[customer_id] = after_admission(work, tokens, now_seconds)

    def observe(self, notice: CustomerLoadNotice, now_seconds: float) -> None:
        """
        Keep what a peer told.

        :param notice: The peer's message.
        :param now_seconds: Monotonic time.
        """
        with self._lock:
            self._peers[notice.instance_id] = _PeerLoads(notice.loads, now_seconds)
            for name, peer in list(self._peers.items()):
                if now_seconds - peer.heard_seconds > PEER_LOAD_SECONDS:
                    del self._peers[name]

    def notice(self, now_seconds: float) -> CustomerLoadNotice:
        """
        Return what the peers are told.

        :param now_seconds: Monotonic time.
        """
        with self._lock:
            works = [decayed(work, now_seconds) for work in self._own.values()]
        return CustomerLoadNotice(
            self._instance_id,
            tuple(
                CustomerLoad(
                    work.customer_id,
                    work.demanded_tokens_per_second,
                    work.admitted_tokens_per_second,
                )
                for work in works
                if work.demanded_tokens_per_second >= TOLD_TOKENS_PER_SECOND_MIN
            ),
        )

    def fleet_wide(
        self, weights: dict[CustomerId, float], now_seconds: float
    ) -> tuple[CustomerWork, ...]:
        """
        Return the work of all customers at all instances.

        :param weights: Weight by customer.
        :param now_seconds: Monotonic time.
        """
        with self._lock:
            sums = {
                name: decayed(work, now_seconds) for name, work in self._own.items()
            }
            peers = list(self._peers.values())
        for peer in peers:
            if now_seconds - peer.heard_seconds > PEER_LOAD_SECONDS:
                continue
            for load in peer.loads:
                present = sums.get(load.customer_id) or CustomerWork(
                    load.customer_id,
                    weights.get(load.customer_id, 1.0),
                    taken_seconds=now_seconds,
                )
                sums[load.customer_id] = _added(present, load)
        return tuple(sums[name] for name in sorted(sums))


def _added(work: CustomerWork, load: CustomerLoad) -> CustomerWork:
    demanded = work.demanded_tokens_per_second + load.demanded_tokens_per_second
    admitted = work.admitted_tokens_per_second + load.admitted_tokens_per_second
    return evolve(
        work,
        demanded_tokens_per_second=demanded,
        admitted_tokens_per_second=admitted,
    )
