"""One holder of the fleet duty is hindered, and another takes over."""

import signal
import time

from attrs import evolve

from waxwing_testbed.deployment import Instance
from waxwing_testbed.history import OrderArrival, Violation, check_epochs_of_orders
from waxwing_testbed.scenario._authority import AuthorityWatch
from waxwing_testbed.scenario._world import World
from waxwingwinch._types import Epoch
from waxwingwinch.fleet import OrderIntent


class Takeover:
    """
    Hinders the holder of the fleet duty and watches its successor.

    :param world: The deployment.
    """

    def __init__(self, world: World) -> None:
        self._world = world
        #: Reads the log and the journals.
        self.watch = AuthorityWatch(world)
        self._holder: Instance | None = None
        self._epoch = Epoch(-1)
        self._ended_seconds: float | None = None
        self._ends_before = 0
        self._known_ids: set[str] = set()

    @property
    def holder(self) -> Instance:
        """
        The instance that held the duty when it was last noted.

        :raises LookupError: If it was never noted.
        """
        if self._holder is None:
            raise LookupError("no holder was noted")
        return self._holder

    def note_holder(self) -> Instance:
        """Wait for a holder of the duty and remember it with its epoch."""
        self._world.wait_until(self.watch.has_holder, "the fleet duty is held")
        self._holder = self.watch.holder()
        self._epoch = self.watch.epoch()
        return self._holder

    def note_orders(self) -> None:
        """Leave out of account all orders that are known by now."""
        self._known_ids = {one.order_id for one in self.watch.logged_orders()}

    def new_intents(self) -> list[OrderIntent]:
        """Return the open orders since :meth:`note_orders`."""
        intents = self.watch.open_intents()
        return [one for one in intents if one.order_id not in self._known_ids]

    def new_arrivals(self) -> list[OrderArrival]:
        """Return engine orders since :meth:`note_orders`, oldest first."""
        arrivals = self.watch.engine_arrivals()
        new = [one for one in arrivals if one.order_id not in self._known_ids]
        return sorted(new, key=lambda one: one.seconds)

    def later_arrivals(self) -> list[OrderArrival]:
        """Return engine orders of newer terms than the noted one."""
        arrivals = self.watch.engine_arrivals()
        later = [one for one in arrivals if one.epoch > self._epoch]
        return sorted(later, key=lambda one: one.seconds)

    def is_taken_over(self) -> bool:
        """Tell whether the duty is held under a newer epoch."""
        return self.watch.has_holder() and self.watch.epoch() > self._epoch

    def pause(self) -> None:
        """Pause the present holder's control."""
        self.note_holder().control.pause()

    def resume(self) -> None:
        """Let the paused control go on."""
        self._ends_before = len(self.holder.control.exit_statuses)
        self.holder.control.resume()

    def kill(self) -> None:
        """Kill the present holder's control; it is started again."""
        self.note_holder().control.kill()
        self._ended_seconds = time.time()

    def wait_fenced(self) -> None:
        """
        Wait for the end of the resumed control.

        :raises AssertionError: If it wasn't the fence that ended it.
        """
        statuses = self.holder.control.exit_statuses
        self._world.wait_until(
            lambda: len(statuses) > self._ends_before, "the resumed control ends"
        )
        if statuses[self._ends_before] != -signal.SIGALRM:
            raise AssertionError(f"ended with {statuses[self._ends_before]}")

    def late_orders(self) -> list[Violation]:
        """
        Return the orders of an old term that came after any of a newer one.

        All receivers count as one here: once a successor ordered anything,
        the old holder must order nothing more anywhere.
        """
        arrivals = (*self.watch.engine_arrivals(), *self.watch.platform_arrivals())
        ordered = sorted(arrivals, key=lambda one: one.seconds)
        return check_epochs_of_orders(evolve(one, receiver="any") for one in ordered)

    def print_gap(self, arrival: OrderArrival) -> None:
        """
        Print the time from the kill to an order, if there was a kill.

        :param arrival: First order of the successor.
        """
        if self._ended_seconds is not None:
            seconds = arrival.seconds - self._ended_seconds
            print(f"kill of the holder to the next first order: {seconds:.2f} s")
