"""Traces of single requests, built from the saved logs of all processes."""

import json
from collections.abc import Iterable, Iterator
from typing import Any

from attrs import frozen

#: Subjects of lines that log a process's view of the cluster, and the fields
#: that distinguish the objects of a subject.
STATE_KEYS: dict[str, tuple[str, ...]] = {
    "configuration": (),
    "duty": (),
    "gateway": (),
    "limit": ("upstream_id",),
    "limits": (),
    "peer": ("address",),
    "settings": (),
    "steward": ("upstream_id", "service", "zone", "window"),
    "store": ("topic",),
    "survey": ("upstream_id",),
    "upstream": ("upstream_id",),
}
#: Lines that log failed requests to an upstream; they are retained in
#: addition to the line about the upstream's state.
FAILURE_TYPES = frozenset(
    {"upstream:failed", "upstream:rejected", "upstream:turned_away"}
)
#: Lines that don't change a process's view of the cluster.
STATELESS_TYPES = frozenset(
    {
        "limit:decided",
        "limit:sent",
        "limit:unanswered",
        "upstream:answered",
        "upstream:began",
        "upstream:kept",
        "upstream:statement_malformed",
    }
)
#: Fields that eliot adds to each line.
_ENVELOPE_FIELDS = frozenset({"timestamp", "task_uuid", "task_level", "message_type"})
#: Fields in which a process logs the number of lines that it dropped.
DROPPED_COUNT_FIELDS = ("dropped_before", "logs_dropped")


@frozen
class LoggedLine:
    """
    A line of a saved log.

    :param source: Instance that wrote the line, or name of the file.
    :param wall_seconds: Unix time by the clock of the instance.
    :param message_type: Subject and event.
    :param fields: The other fields.
    """

    source: str
    wall_seconds: float
    message_type: str
    fields: dict[str, Any]

    @property
    def subject(self) -> str:
        """Subject of the line: the message type up to the colon."""
        return self.message_type.partition(":")[0]

    @property
    def state_key(self) -> tuple[str, ...] | None:
        """Identifies the logged state; None if the line logs no state."""
        keys = STATE_KEYS.get(self.subject)
        if keys is None or self.message_type in STATELESS_TYPES:
            return None
        kind = self.message_type if self.message_type in FAILURE_TYPES else self.subject
        key_values = (str(self.fields.get(key, "")) for key in keys)
        return (self.source, kind, *key_values)


@frozen
class RequestTrace:
    """
    Log lines about one request and the state of the processes handling it.

    :param beliefs: The newest line about each state of the processes that
        handled the request, before the request's first line there.
    :param lines: The lines of the request, and lines about states that changed
        meanwhile, ordered by time.
    :param left_out: Number of lines that those processes logged as dropped, up
        to the request's last line there.
    """

    beliefs: tuple[LoggedLine, ...]
    lines: tuple[LoggedLine, ...]
    left_out: int


def read_log(name: str, lines: Iterable[str]) -> Iterator[LoggedLine]:
    """
    Read the lines of a saved log; lines without valid JSON are skipped.

    The log may contain lines of several processes if each line begins with
    the name of its instance.

    :param name: Name of the file, used as the source of lines before the
        first line that names the instance.
    :param lines: The lines.
    """
    source = name
    for text in lines:
        prefix, brace, rest = text.partition("{")
        try:
            fields = json.loads(brace + rest)
        except ValueError:
            continue
        if prefix.strip():
            source = prefix.split()[-1]
        elif fields.get("message_type") == "gateway:starting":
            source = str(fields.get("instance_id", name))
        yield LoggedLine(
            source,
            float(fields.get("timestamp", 0.0)),
            str(fields.get("message_type", "")),
            {
                key: value
                for key, value in fields.items()
                if key not in _ENVELOPE_FIELDS
            },
        )


def trace_request(request_id: str, lines: Iterable[LoggedLine]) -> RequestTrace:
    """
    Build the trace of one request.

    :param request_id: Id of the request.
    :param lines: The lines of all processes, in order within each process.
    """
    all_lines = list(lines)
    request_lines = [line for line in all_lines if _is_about(line, request_id)]
    first_seconds: dict[str, float] = {}
    last_seconds: dict[str, float] = {}
    for line in request_lines:
        first_seconds.setdefault(line.source, line.wall_seconds)
        last_seconds[line.source] = line.wall_seconds
    upstreams = _contacted_upstreams(request_lines)
    beliefs: dict[tuple[str, ...], LoggedLine] = {}
    changes: list[LoggedLine] = []
    left_out = 0
    for line in all_lines:
        if (
            line.source not in first_seconds
            or line.wall_seconds > last_seconds[line.source]
        ):
            continue
        left_out += sum(int(line.fields.get(name, 0)) for name in DROPPED_COUNT_FIELDS)
        key = line.state_key
        if key is None or _is_about(line, request_id):
            continue
        if not _is_relevant(line, upstreams):
            continue
        if line.wall_seconds < first_seconds[line.source]:
            beliefs[key] = line
        else:
            changes.append(line)
    return RequestTrace(
        _in_order(beliefs.values()), _in_order([*request_lines, *changes]), left_out
    )


def _is_about(line: LoggedLine, request_id: str) -> bool:
    return line.fields.get("request_id") == request_id


def _in_order(lines: Iterable[LoggedLine]) -> tuple[LoggedLine, ...]:
    return tuple(sorted(lines, key=lambda line: line.wall_seconds))


def _contacted_upstreams(request_lines: list[LoggedLine]) -> frozenset[str]:
    """Return the upstreams that a request was sent to."""
    named = (line.fields.get("upstream_id") for line in request_lines)
    return frozenset(str(name) for name in named if name is not None)


def _is_relevant(line: LoggedLine, upstreams: frozenset[str]) -> bool:
    """Return whether a line is general, or its upstream was or may be used."""
    named = line.fields.get("upstream_id")
    return named is None or not upstreams or str(named) in upstreams
