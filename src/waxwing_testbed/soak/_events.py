"""What a soak records; all times are seconds since its start."""

import enum

from attrs import frozen


class Kind(enum.Enum):
    """Kinds of requests."""

    PLAIN = "plain"
    ONCE = "once"
    GET = "get"
    UPLOAD = "upload"
    DOWNLOAD = "download"
    STREAM = "stream"
    IDLE = "idle"
    PROBE = "probe"


@frozen
class Answered:
    """
    A complete answer.

    :param status: HTTP status.
    :param stamp: The upstream's signature; empty for none.
    """

    status: int
    stamp: str = ""


@frozen
class Cut:
    """
    The connection ended before a complete answer.

    :param status: Status of the answer that had begun; 0 for none.
    :param reason: The caller's error.
    """

    status: int
    reason: str


@frozen
class GaveUp:
    """The caller waited longer than its deadline."""


@frozen
class NotSent:
    """
    The connection failed before the last byte was sent.

    :param reason: The caller's error.
    """

    reason: str


Result = Answered | Cut | GaveUp | NotSent


@frozen
class Call:
    """
    One request as its caller saw it.

    :param request_id: Its id.
    :param kind: Its kind.
    :param instance: The instance it was sent to.
    :param route: Name of its route.
    :param key: The caller's key.
    :param started_seconds: Before its first byte.
    :param sent_seconds: After its last byte.
    :param ended_seconds: When the result was known.
    :param deadline_seconds: How long the caller was to wait.
    :param is_kept: True if the connection had served a request before.
    :param result: What came of it.
    :param flaw: How the answer differs from the upstream's; empty if not.
    """

    request_id: str
    kind: Kind
    instance: str
    route: str
    key: str
    started_seconds: float
    sent_seconds: float
    ended_seconds: float
    deadline_seconds: float
    is_kept: bool
    result: Result
    flaw: str = ""


class RunEnd(enum.Enum):
    """How the work of an upstream ended."""

    WHOLE = "whole"
    ABANDONED = "abandoned"
    BROKEN = "broken"


@frozen
class Run:
    """
    The work of an upstream on a request.

    :param request_id: The request.
    :param stamp: The upstream's signature; not given to callers if the
        request's body was another one than its caller's.
    :param started_seconds: When it began.
    :param ended_seconds: When it ended.
    :param end: How it ended.
    """

    request_id: str
    stamp: str
    started_seconds: float
    ended_seconds: float
    end: RunEnd


class Cause(enum.Enum):
    """What was done to a part of the system."""

    START = "start"
    TERM = "term"
    HANGUP = "hangup"
    KILL = "kill"
    FREEZE = "freeze"
    STORE = "store"
    UPSTREAM = "upstream"
    LINK = "link"
    LEAVE = "leave"


#: Causes after which a cut request may be excused. The store's excuses none,
#: a leaving upstream serves on.
UNPLANNED = frozenset((Cause.KILL, Cause.FREEZE, Cause.UPSTREAM, Cause.LINK))


@frozen
class Disruption:
    """
    Something that was done, planned or not.

    :param cause: What was done.
    :param target: The instance, upstream or other part.
    :param started_seconds: When it began.
    :param ended_seconds: When it ended.
    :param detail: More on it; for a start, the log file.
    """

    cause: Cause
    target: str
    started_seconds: float
    ended_seconds: float
    detail: str = ""


@frozen
class Published:
    """
    A version of the configuration.

    :param version: Its number.
    :param routes: Names of its routes.
    :param keys: Its keys.
    :param timeout_seconds: Timeout of its routes.
    :param idle_seconds: How long a caller's connection may be idle.
    :param sent_seconds: When it was sent to the store.
    :param acknowledged_seconds: When the store had accepted it.
    """

    version: int
    routes: frozenset[str]
    keys: frozenset[str]
    timeout_seconds: float
    idle_seconds: float
    sent_seconds: float
    acknowledged_seconds: float


@frozen
class Ended:
    """
    The end of an instance's process.

    :param instance: The instance.
    :param at_seconds: When it ended.
    :param status: Exit status; negative for a signal.
    :param is_expected: True if it was told to.
    :param peak_bytes: Its largest resident memory.
    """

    instance: str
    at_seconds: float
    status: int
    is_expected: bool
    peak_bytes: int


Event = Call | Run | Disruption | Published | Ended
