"""The growing journal of an engine."""

import threading
import time

from waxwing_testbed.standins._header_recorder import HeaderRecorder
from waxwing_testbed.standins._journal import (
    EngineJournal,
    GenerationRow,
    ReceivedEngineOrder,
)
from waxwingwinch.interfaces import EngineOrder, GenerateCall


class EngineRecorder:
    """Records what happens to an engine, across its crashes."""

    def __init__(self) -> None:
        self.headers = HeaderRecorder()
        self._lock = threading.Lock()
        self._orders: list[ReceivedEngineOrder] = []
        self._generations: list[GenerationRow] = []
        self._cut_streams = 0
        self._crashed_streams = 0
        self._cancelled = 0
        self._crashes = 0

    def order(self, order: EngineOrder, result: str) -> None:
        """
        Record an order.

        :param order: The order.
        :param result: ``run``, ``repeated`` or ``refused``.
        """
        with self._lock:
            self._orders.append(ReceivedEngineOrder(time.time(), order, result))

    def generation(self, call: GenerateCall) -> None:
        """
        Record a generation that was taken.

        :param call: The call.
        """
        row = GenerationRow(call.request_id, time.time(), call.resume_from_token)
        with self._lock:
            self._generations.append(row)

    def cut(self, streams: int) -> None:
        """
        Record generations cut by a change.

        :param streams: Their number.
        """
        with self._lock:
            self._cut_streams += streams

    def crashed(self, streams: int) -> None:
        """
        Record a crash or withdrawal.

        :param streams: Number of generations that it cut.
        """
        with self._lock:
            self._crashes += 1
            self._crashed_streams += streams

    def cancelled(self) -> None:
        """Record a generation that its caller gave up."""
        with self._lock:
            self._cancelled += 1

    def journal(self) -> EngineJournal:
        """Return everything recorded."""
        with self._lock:
            return EngineJournal(
                tuple(self._orders),
                tuple(self._generations),
                self._cut_streams,
                self._crashed_streams,
                self._cancelled,
                self._crashes,
                self.headers.seen(),
            )
