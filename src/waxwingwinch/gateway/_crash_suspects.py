"""What was at engines when they crashed."""

from attrs import define, field, frozen

from waxwingwinch._types import UpstreamId

#: Differences between estimates of a time that are ignored.
ESTIMATE_TOLERANCE_SECONDS = 0.01
#: Observations of one crash with one part whose times are kept.
MAX_SOURCES = 16
#: Beginning of the ids of requests among those of parts.
REQUEST_PART_PREFIX = "request-"


def is_request_part(part_id: str) -> bool:
    """
    Tell whether the id of a part is that of a request.

    :param part_id: The id.
    """
    return part_id.startswith(REQUEST_PART_PREFIX)


@frozen
class Incarnation:
    """
    An incarnation of an engine.

    :param upstream_id: The engine.
    :param started_ms: Unix time of its start in milliseconds.
    """

    upstream_id: UpstreamId
    started_ms: int


@frozen
class Source:
    """
    Where an observation of a crash is from.

    :param incarnation: Incarnation of the instance that reported it.
    :param sequence: Its sequence there; 0 if that instance passed it on.
    """

    incarnation: str
    sequence: int


@define
class Suspect:
    """
    A part of a request that was at an engine when it crashed.

    :param position: Position of the part in the prompt.
    :param sent_seconds: Monotonic time at which the last such request before
        the crash was sent to the engine.
    :param seen_seconds: Monotonic time at which its connection broke.
    :param has_begun: True if the upstream had begun to answer it.
    :param sent_by_source: The first by the observations that it is from.
    """

    position: int
    sent_seconds: float
    seen_seconds: float
    has_begun: bool = False
    sent_by_source: dict[Source, float] = field(factory=dict)

    def add(self, source: Source, sent_seconds: float, seen_seconds: float) -> None:
        """
        Add an observation.

        :param source: Where it is from.
        :param sent_seconds: Monotonic time at which the request was sent.
        :param seen_seconds: Monotonic time at which its connection broke.
        """
        self.seen_seconds = min(self.seen_seconds, seen_seconds)
        if len(self.sent_by_source) < MAX_SOURCES:
            self.sent_by_source[source] = sent_seconds
        self._date_sent()

    def refine(self, source: Source, sent_seconds: float, seen_seconds: float) -> bool:
        """
        Date an observation earlier; return whether this changed anything.

        :param source: Where it is from.
        :param sent_seconds: Monotonic time at which the request was sent.
        :param seen_seconds: Monotonic time at which its connection broke.
        """
        known_seconds = self.sent_by_source.get(source)
        if (
            known_seconds is None
            or known_seconds - sent_seconds < ESTIMATE_TOLERANCE_SECONDS
        ):
            return False
        self.sent_by_source[source] = sent_seconds
        self.seen_seconds = min(self.seen_seconds, seen_seconds)
        self._date_sent()
        return True

    def _date_sent(self) -> None:
        # A request sent later can't have caused the crash.
        sent_before = [
            sent_seconds
            for sent_seconds in self.sent_by_source.values()
            if sent_seconds <= self.seen_seconds
        ]
        self.sent_seconds = max(sent_before, default=min(self.sent_by_source.values()))


@define
class Crash:
    """
    A crash of an engine.

    :param suspects: The suspect parts.
    """

    suspects: dict[str, Suspect] = field(factory=dict)

    @property
    def seen_seconds(self) -> float:
        """Monotonic time at which the crash was seen first."""
        return min(suspect.seen_seconds for suspect in self.suspects.values())
