"""The waiting and running generations of an engine."""

import heapq

from waxwing_testbed.standins._generation import Generation


class Batch:
    """
    A queue ordered by priority, and the generations taken from it.

    :param max_running: Generations that run at most.
    """

    def __init__(self, max_running: int) -> None:
        self._max_running = max_running
        self._waiting: list[Generation] = []
        #: The generations under way.
        self.running: list[Generation] = []

    @property
    def waiting_count(self) -> int:
        """Number of generations that have not begun."""
        return len(self._waiting)

    @property
    def waiting_prompt_tokens(self) -> int:
        """Prompt tokens of the generations that have not begun."""
        return sum(generation.prompt_tokens for generation in self._waiting)

    def all(self) -> list[Generation]:
        """Return all generations, running ones first."""
        return [*self.running, *self._waiting]

    def add(self, generation: Generation) -> None:
        """
        Queue a generation.

        :param generation: The generation.
        """
        heapq.heappush(self._waiting, generation)

    def next_waiting(self) -> Generation | None:
        """Return the generation to begin next; None if there is no room."""
        if not self._waiting or len(self.running) >= self._max_running:
            return None
        return self._waiting[0]

    def begin_next(self) -> None:
        """Move the generation to begin next among the running ones."""
        self.running.append(heapq.heappop(self._waiting))

    def remove(self, generation: Generation) -> None:
        """
        Take out a generation.

        :param generation: A running or waiting generation.
        """
        if generation in self.running:
            self.running.remove(generation)
            return
        self._waiting.remove(generation)
        heapq.heapify(self._waiting)
