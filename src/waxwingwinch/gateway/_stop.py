"""A planned stop: its times, and the order in which sockets are closed."""

import threading
import time
from collections.abc import Callable, Sequence
from typing import Protocol

from attrs import frozen

from waxwingwinch.gateway._process_log_lines import StopImpaired
from waxwingwinch.gateway._requests import GatewayRequest
from waxwingwinch.kernel import Clock

#: Fraction of the grace period for which requests are taken without condition.
#: By then callers have resolved the addresses again, those that keep them for
#: longer, too.
LATE_GRACE_FRACTION = 0.35
#: Maximum of this time. A request that is sent later than 3 s after the signal
#: is owed a whole answer, however long its upstream works.
LATE_MAX_SECONDS = 2.8
#: Fraction of the grace period for which connections are accepted; callers
#: that have not resolved the addresses again still connect.
ACCEPT_GRACE_FRACTION = 0.55
#: Fraction of the grace period that remains at the exit, for writing the last
#: log lines and ending the process, and its minimum.
EXIT_GRACE_FRACTION = 0.05
EXIT_MIN_SECONDS = 0.15
#: Fraction of the grace period before the exit in which cancelled requests
#: are answered, and its minimum.
CANCEL_GRACE_FRACTION = 0.03
CANCEL_MIN_SECONDS = 0.15
#: Fraction of the grace period between the last deadlines and the cancelling
#: of requests, and its minimum.
ANSWER_GRACE_FRACTION = 0.02
ANSWER_MIN_SECONDS = 0.1
#: Time for withdrawing the instance's record from the store, beside the last
#: answers; a healthy store responds in a tenth of it.
WITHDRAW_SECONDS = 0.5
#: Time for handshakes under way when a socket stops listening; longer than a
#: round trip between availability zones.
HANDSHAKE_SECONDS = 0.05
#: Maximum wait for the thread that closes sockets of a server.
CLOSE_SECONDS = 0.5
#: Maximum wait for the last answers about the instance, which take
#: milliseconds; a connection on which nothing is sent takes no longer either.
INFO_SECONDS = 0.1
#: Interval at which a stop checks for requests in progress.
STOP_POLL_SECONDS = 0.02


@frozen
class StopSchedule:
    """
    Times of a planned stop, monotonic and in this order.

    :param signalled_seconds: When the signal arrived.
    :param late_seconds: From then on only requests are taken whose deadline
        lies before the end of answers.
    :param refuse_seconds: From then on no request is taken, and no connection
        accepted.
    :param answer_seconds: End of answers; bounds the deadlines of requests.
    :param cancel_seconds: When requests in progress are cancelled.
    :param close_seconds: When kept connections are closed.
    :param exit_seconds: When the process stops waiting for answers.
    :param withdraw_seconds: When the record of the instance is withdrawn at
        the latest; after the end of acceptance.
    """

    signalled_seconds: float
    late_seconds: float
    refuse_seconds: float
    answer_seconds: float
    cancel_seconds: float
    close_seconds: float
    exit_seconds: float
    withdraw_seconds: float

    def deadline_seconds(
        self, arrived_seconds: float, end_seconds: float
    ) -> float | None:
        """
        Return the deadline of a request, or None if it is not taken.

        :param arrived_seconds: Monotonic time at which the request was read.
        :param end_seconds: Its deadline without a stop.
        """
        if arrived_seconds >= self.refuse_seconds:
            return None
        if end_seconds <= self.answer_seconds:
            return end_seconds
        if arrived_seconds >= self.late_seconds:
            return None
        return self.answer_seconds


def stop_schedule(signalled_seconds: float, grace_seconds: float) -> StopSchedule:
    """
    Return the times of a stop.

    :param signalled_seconds: Monotonic time of the signal.
    :param grace_seconds: Time from the signal until the process is killed.
    """

    def part(fraction: float, min_seconds: float) -> float:
        return max(fraction * grace_seconds, min_seconds)

    late = min(LATE_GRACE_FRACTION * grace_seconds, LATE_MAX_SECONDS)
    refuse = ACCEPT_GRACE_FRACTION * grace_seconds
    leave = grace_seconds - part(EXIT_GRACE_FRACTION, EXIT_MIN_SECONDS)
    cancel = leave - part(CANCEL_GRACE_FRACTION, CANCEL_MIN_SECONDS)
    answer = cancel - part(ANSWER_GRACE_FRACTION, ANSWER_MIN_SECONDS)
    withdraw = max(refuse, min(leave - WITHDRAW_SECONDS, answer))
    return StopSchedule(
        signalled_seconds=signalled_seconds,
        late_seconds=signalled_seconds + late,
        refuse_seconds=signalled_seconds + refuse,
        answer_seconds=signalled_seconds + answer,
        cancel_seconds=signalled_seconds + cancel,
        close_seconds=signalled_seconds + (cancel + leave) / 2,
        exit_seconds=signalled_seconds + leave,
        withdraw_seconds=signalled_seconds + withdraw,
    )


def run_part(part: str, call: Callable[[], None]) -> None:
    """
    Run a part of a stop; log its error, so that the other parts run.

    A process without a thread or descriptor left still has to answer.

    :param part: Name of the part.
    :param call: Runs it.
    """
    try:
        call()
    except Exception as error:
        StopImpaired(part=part, reason=repr(error)).write()


class StoppingServer(Protocol):
    """A server that closes its sockets in order."""

    def refuse_handshakes(self) -> None:
        """Begin no further handshake; those under way are completed."""

    def stop_listening(self, timeout_seconds: float) -> None:
        """
        Accept what is in the queue, then let the kernel refuse connections.

        :param timeout_seconds: Maximum wait.
        """

    def close_idle(self, timeout_seconds: float) -> None:
        """
        Close the connections on which nothing has arrived.

        :param timeout_seconds: Maximum wait.
        """


class StoppingInfoServer(StoppingServer, Protocol):
    """A server of short answers about the instance."""

    @property
    def is_busy(self) -> bool:
        """True while a connection is read or answered."""


class StoppingFront(StoppingServer, Protocol):
    """The server of callers."""

    @property
    def under_way(self) -> int:
        """Number of connections with a request waited for or answered."""

    @property
    def is_awaited(self) -> bool:
        """True if a request is in progress or a connection was kept."""

    def begin_stop(self) -> None:
        """Close each connection after its answer."""

    def close_to_callers(self) -> None:
        """Wait for no further request."""

    def record_cancelled(self, requests: tuple[GatewayRequest, ...]) -> None:
        """
        Record the connections of requests that were cancelled.

        :param requests: The requests.
        """

    def record_left(self) -> None:
        """Record the connections that are left without an answer."""


class StoppingHandler(Protocol):
    """The handler of callers' requests."""

    def begin_stop(self, schedule: StopSchedule) -> None:
        """
        Answer all requests before the process ends.

        :param schedule: Until when requests are taken and answered.
        """

    def cancel_all(self) -> tuple[GatewayRequest, ...]:
        """Cancel the requests in progress, and return those not yet so."""


class StopSequence:
    """
    Runs a planned stop; closes all listening sockets of the process.

    :param schedule: The times of the stop.
    :param front: The server of callers.
    :param handler: Handles the requests of callers.
    :param info_servers: The other servers, which answer until the end.
    :param withdraw: Withdraws the record of the instance.
    :param clock: Source of the present time.
    """

    def __init__(
        self,
        schedule: StopSchedule,
        front: StoppingFront,
        handler: StoppingHandler,
        info_servers: Sequence[StoppingInfoServer],
        withdraw: Callable[[], None],
        clock: Clock,
    ) -> None:
        self._schedule = schedule
        self._front = front
        self._handler = handler
        self._info_servers = info_servers
        self._withdrawal = threading.Thread(target=withdraw, daemon=True)
        self._clock = clock

    def begin(self) -> None:
        """Begin to refuse what could outlast the stop."""
        self._handler.begin_stop(self._schedule)
        self._front.begin_stop()

    def run(self) -> None:
        """
        Run the phases of the stop, until the process may exit.

        An error in one phase must not keep the process from answering.
        """
        self._wait_until(self._schedule.refuse_seconds)
        for phase in (self._close_front, self._answer, self._close_info_servers):
            run_part(phase.__name__, phase)
        self._wait_while_answering()
        self._front.record_left()

    def _close_front(self) -> None:
        self._stop_listening([self._front])

    def _close_info_servers(self) -> None:
        self._stop_listening(self._info_servers)
        for server in self._info_servers:
            server.close_idle(self._left_seconds())

    def _answer(self) -> None:
        """Answer what is in progress or arrives on kept connections."""
        while self._clock.now_seconds() < self._schedule.close_seconds:
            now_seconds = self._clock.now_seconds()
            is_awaited = self._front.is_awaited
            if now_seconds >= self._schedule.cancel_seconds:
                self._cancel()
            if now_seconds >= self._schedule.withdraw_seconds or not is_awaited:
                self._withdraw()
            if not is_awaited:
                break
            time.sleep(STOP_POLL_SECONDS)
        self._withdraw()
        self._front.close_to_callers()
        self._front.close_idle(self._left_seconds())

    def _wait_while_answering(self) -> None:
        info_until_seconds = self._clock.now_seconds() + INFO_SECONDS
        while (
            now_seconds := self._clock.now_seconds()
        ) < self._schedule.exit_seconds and (
            self._front.under_way
            or self._withdrawal.is_alive()
            or (now_seconds < info_until_seconds and self._is_asked())
        ):
            if now_seconds >= self._schedule.cancel_seconds:
                self._cancel()
            time.sleep(STOP_POLL_SECONDS)

    def _is_asked(self) -> bool:
        return any(server.is_busy for server in self._info_servers)

    def _stop_listening(self, servers: Sequence[StoppingServer]) -> None:
        for server in servers:
            server.refuse_handshakes()
        time.sleep(min(HANDSHAKE_SECONDS, self._left_seconds()))
        for server in servers:
            server.stop_listening(min(CLOSE_SECONDS, self._left_seconds()))

    def _cancel(self) -> None:
        self._front.record_cancelled(self._handler.cancel_all())

    def _withdraw(self) -> None:
        if self._withdrawal.ident is None:
            run_part("withdrawal", self._withdrawal.start)

    def _wait_until(self, end_seconds: float) -> None:
        time.sleep(max(end_seconds - self._clock.now_seconds(), 0.0))

    def _left_seconds(self) -> float:
        return max(self._schedule.exit_seconds - self._clock.now_seconds(), 0.0)
