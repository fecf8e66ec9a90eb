"""The recent placements of prompts of this process."""

import threading
from collections import deque

from waxwingwinch._types import UpstreamId
from waxwingwinch.gateway._report_messages import PromptPlacement
from waxwingwinch.gateway._requests import PromptPart

#: Placements retained until they were reported to all peers; far more than
#: one instance makes in a report interval.
MAX_PLACEMENTS = 256


class PlacementLog:
    """Retains the most recent placements; may be used from all threads."""

    def __init__(self) -> None:
        self._placements: deque[PromptPlacement] = deque(maxlen=MAX_PLACEMENTS)
        self._sequence = 0
        self._lock = threading.Lock()

    def add(self, upstream_id: UpstreamId, parts: tuple[PromptPart, ...]) -> None:
        """
        Record a placement.

        :param upstream_id: The engine.
        :param parts: The parts of the prompt that may be shared.
        """
        with self._lock:
            self._sequence += 1
            self._placements.append(
                PromptPlacement(
                    self._sequence,
                    upstream_id,
                    tuple(part.part_id for part in parts),
                    tuple(part.tokens for part in parts),
                )
            )

    def recent(self) -> tuple[PromptPlacement, ...]:
        """Return the retained placements, oldest first."""
        with self._lock:
            return tuple(self._placements)
