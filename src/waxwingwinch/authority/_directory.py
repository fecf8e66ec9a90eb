"""Following the stream ``duties``: who holds which duty."""

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
class DutyPosition:
    """
    Who holds a duty, as far as the log was read.

    :param instance_id: The holder.
    :param address: Where its control process serves peers.
    :param epoch: Fencing token of its term.
    """

    instance_id: InstanceId
    address: Address
    epoch: Epoch


class DutyDirectory:
    """
    A service that follows the duties without standing for any.

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
        """The lock that guards the table."""
        return self._lock

    @property
    def table(self) -> DutyTable:
        """The fold; to be used under :attr:`lock`."""
        return self._table

    def listen(self, listener: Callable[[list[str], AppliedRecord], None]) -> None:
        """
        Set who is told of changes, before the start.

        :param listener: Called under :attr:`lock` from the reading thread
            with the duties that changed and the record that changed them.
        """
        self._listener = listener

    def start(self) -> None:
        """Start reading."""
        self._follower.start()

    def stop(self) -> None:
        """Stop reading."""
        self._follower.stop()

    def health(self) -> Health:
        """Return the state of the follower."""
        return self._follower.health()

    def caught_up_seconds(self) -> float | None:
        """Return until when all records are known; None before the first."""
        return self._follower.caught_up_seconds

    def holder_of(self, duty: str) -> DutyPosition | None:
        """
        Return the last holder that the log shows.

        It may have died since; a message to it is then unanswered.

        :param duty: Name of the duty.
        :returns: None if nobody holds the duty.
        """
        with self._lock:
            state = self._table.state(duty)
        if state is None or state.released:
            return None
        return DutyPosition(state.holder, state.holder_address, state.epoch)

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
