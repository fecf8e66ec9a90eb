"""Following the holders of duties in the stream ``duties``."""

import threading
from collections.abc import Callable

from attrs import frozen

from waxwingwinch._types import Address, Epoch, InstanceId
from waxwingwinch.authority._records import DUTIES_STREAM
from waxwingwinch.authority._table import DutyTable
from waxwingwinch.interfaces import PlatformLog
from waxwingwinch.kernel import Clock, Health
from waxwingwinch.streams import AppliedRecord, StreamFollower


@frozen
class DutyHolderInfo:
    """
    The holder of a duty according to the records read so far.

    :param instance_id: The instance that holds the duty.
    :param address: Peer address of its control process.
    :param epoch: Fencing token of its term.
    """

    instance_id: InstanceId
    address: Address
    epoch: Epoch


class DutyDirectory:
    """
    A service that follows all duties without claiming any.

    :param log: The platform's log.
    :param clock: Source of the present time.
    """

    def __init__(self, log: PlatformLog, clock: Clock) -> None:
        self._table = DutyTable()
        self._lock = threading.RLock()
        self._listener: Callable[[list[str], AppliedRecord], None] | None = None
        self._follower = StreamFollower(
            log, DUTIES_STREAM, clock, self._apply, on_expired=self._restart
        )

    @property
    def lock(self) -> threading.RLock:
        """Lock that guards the table."""
        return self._lock

    @property
    def table(self) -> DutyTable:
        """State of all duties; to be used under :attr:`lock` only."""
        return self._table

    def set_listener(
        self, listener: Callable[[list[str], AppliedRecord], None]
    ) -> None:
        """
        Set the listener to changes; call it before :meth:`start`.

        :param listener: Called under :attr:`lock` from the reading thread
            with the names of the changed duties and the applied record.
        """
        self._listener = listener

    def start(self) -> None:
        """Start following the stream."""
        self._follower.start()

    def stop(self) -> None:
        """Stop following the stream."""
        self._follower.stop()

    def health(self) -> Health:
        """Return the state of the follower."""
        return self._follower.health()

    def caught_up_seconds(self) -> float | None:
        """Return the time up to which all records are known; None before."""
        return self._follower.caught_up_seconds

    def holder_of(self, duty: str) -> DutyHolderInfo | None:
        """
        Return the last holder of a duty according to the log.

        Its process may have died since; messages to it stay unanswered then.

        :param duty: Name of the duty.
        :returns: None if the duty was never claimed or was released.
        """
        with self._lock:
            state = self._table.state(duty)
        if state is None or state.released:
            return None
        return DutyHolderInfo(state.holder, state.holder_address, state.epoch)

    def _apply(self, applied: AppliedRecord) -> None:
        with self._lock:
            changed = self._table.apply(
                applied.offset, applied.body, applied.now_seconds
            )
            if self._listener is not None and changed:
                self._listener(changed, applied)

    def _restart(self, first_offset: int) -> None:
        with self._lock:
            self._table.restart(first_offset)
