"""Decayed token rates by customer, of this instance and its peers."""

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

#: Age from which the last notice of a peer is ignored and dropped.
PEER_NOTICE_TIMEOUT_SECONDS = 5.0
#: Customers with less demand than this are not reported to peers.
MIN_REPORTED_TOKENS_PER_SECOND = 1.0


@frozen
class CustomerLoad:
    """
    Work of one customer at one instance, as reported to the peers.

    :param customer_id: The customer.
    :param demanded_tokens_per_second: Rate of tokens requested.
    :param admitted_tokens_per_second: Rate of tokens admitted.
    """

    customer_id: CustomerId
    demanded_tokens_per_second: float
    admitted_tokens_per_second: float


@message("customer_load_notice")
@frozen
class CustomerLoadNotice:
    """
    Reports this instance's work by customer to the peers.

    With the work of all instances, fair shares are computed over the whole
    fleet.

    :param instance_id: The sending instance.
    :param loads: Work of each customer.
    """

    instance_id: InstanceId
    loads: tuple[CustomerLoad, ...]


@define
class _ReceivedNotice:
    """
    The last notice of one peer.

    :param loads: Work of each customer.
    :param received_seconds: Monotonic time of receipt.
    """

    loads: tuple[CustomerLoad, ...]
    received_seconds: float


class CustomerWorkTracker:
    """
    Tracks the work of all customers, at this instance and at the peers.

    The rates decay exponentially, see
    :func:`waxwingwinch.decisions.decayed`.

    :param instance_id: This instance.
    """

    def __init__(self, instance_id: InstanceId) -> None:
        self._instance_id = instance_id
        self._local: dict[CustomerId, CustomerWork] = {}
        self._peers: dict[InstanceId, _ReceivedNotice] = {}
        self._lock = threading.Lock()

    def record_demand(
        self, customer_id: CustomerId, weight: float, tokens: int, now_seconds: float
    ) -> None:
        """
        Count a request that asks for admission.

        :param customer_id: The customer.
        :param weight: Its share relative to other customers.
        :param tokens: Prompt and expected output tokens.
        :param now_seconds: Monotonic time.
        """
        with self._lock:
            work = self._local.get(customer_id)
            if work is None:
                work = CustomerWork(customer_id, weight, taken_seconds=now_seconds)
            work = evolve(work, weight=weight)
            self._local[customer_id] = after_demand(work, tokens, now_seconds)

    def record_admission(
        self, customer_id: CustomerId, tokens: int, now_seconds: float
    ) -> None:
        """
        Count a request that was admitted.

        :param customer_id: The customer; its demand must have been recorded
            before.
        :param tokens: Prompt and expected output tokens.
        :param now_seconds: Monotonic time.
        """
        with self._lock:
            work = self._local[customer_id]
            self._local[customer_id] = after_admission(work, tokens, now_seconds)

    def record_notice(self, notice: CustomerLoadNotice, now_seconds: float) -> None:
        """
        Store the notice of a peer and drop outdated ones.

        :param notice: The peer's message.
        :param now_seconds: Monotonic time.
        """
        with self._lock:
            self._peers[notice.instance_id] = _ReceivedNotice(notice.loads, now_seconds)
            for name, peer in list(self._peers.items()):
                if now_seconds - peer.received_seconds > PEER_NOTICE_TIMEOUT_SECONDS:
                    del self._peers[name]

    def make_notice(self, now_seconds: float) -> CustomerLoadNotice:
        """
        Build the notice for the peers.

        :param now_seconds: Monotonic time.
        """
        with self._lock:
            works = [decayed(work, now_seconds) for work in self._local.values()]
        return CustomerLoadNotice(
            self._instance_id,
            tuple(
                CustomerLoad(
                    work.customer_id,
                    work.demanded_tokens_per_second,
                    work.admitted_tokens_per_second,
                )
                for work in works
                if work.demanded_tokens_per_second >= MIN_REPORTED_TOKENS_PER_SECOND
            ),
        )

    def total_work(
        self, weights: dict[CustomerId, float], now_seconds: float
    ) -> tuple[CustomerWork, ...]:
        """
        Return the work by customer at this instance and its peers.

        Of the peers, only what their notices of the last 5 s report counts;
        these leave out customers below 1 requested token per second.

        :param weights: Weight by customer.
        :param now_seconds: Monotonic time.
        """
        with self._lock:
            sums = {
                name: decayed(work, now_seconds) for name, work in self._local.items()
            }
            peers = list(self._peers.values())
        for peer in peers:
            if now_seconds - peer.received_seconds > PEER_NOTICE_TIMEOUT_SECONDS:
                continue
            for reported in peer.loads:
                known = sums.get(reported.customer_id) or CustomerWork(
                    reported.customer_id,
                    weights.get(reported.customer_id, 1.0),
                    taken_seconds=now_seconds,
                )
                sums[reported.customer_id] = _add_peer_work(known, reported)
        return tuple(sums[name] for name in sorted(sums))


def _add_peer_work(work: CustomerWork, reported: CustomerLoad) -> CustomerWork:
    demanded = work.demanded_tokens_per_second + reported.demanded_tokens_per_second
    admitted = work.admitted_tokens_per_second + reported.admitted_tokens_per_second
    return evolve(
        work,
        demanded_tokens_per_second=demanded,
        admitted_tokens_per_second=admitted,
    )
