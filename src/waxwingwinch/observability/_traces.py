"""From saved logs to what one request met, in all processes."""

import json
from collections.abc import Iterable, Iterator
from typing import Any

from attrs import frozen

#: Subjects of lines that tell what a process believes, and the fields that
#: tell several beliefs of a subject apart.
BELIEF_KEYS: dict[str, tuple[str, ...]] = {
    "configuration": (),
    "duty": (),
    "gateway": (),
    "limits": (),
    "peer": ("address",),
    "settings": (),
    "steward": ("upstream_id", "service", "zone", "window"),
    "store": ("topic",),
    "survey": ("upstream_id",),
    "upstream": ("upstream_id",),
}
#: Lines about an upstream that tell how requests to it went; they are kept
#: beside its entry.
TROUBLE_TYPES = frozenset({"upstream:failed", "upstream:rejected"})
#: Lines that change nothing that a process believes.
UNCHANGING_TYPES = frozenset({"upstream:answered"})
#: What eliot writes besides the fields of a line.
_ENVELOPE = frozenset({"timestamp", "task_uuid", "task_level", "message_type"})
#: Fields by which a process tells that lines were left out.
LEFT_OUT_FIELDS = ("dropped_before", "logs_dropped")


@frozen
class LoggedLine:
    """
    A line of a saved log.

    :param source: The instance that wrote it, or the name of the file.
    :param wall_seconds: Unix time on the clock of the instance.
    :param message_type: Subject and event.
    :param fields: The other fields.
    """

    source: str
    wall_seconds: float
    message_type: str
    fields: dict[str, Any]

    @property
    def subject(self) -> str:
        """What the line is about."""
        return self.message_type.partition(":")[0]

    @property
    def belief_key(self) -> tuple[str, ...] | None:
        """Tells the beliefs of a process apart; None if it tells of none."""
        keys = BELIEF_KEYS.get(self.subject)
        if keys is None or self.message_type in UNCHANGING_TYPES:
            return None
        kind = self.message_type if self.message_type in TROUBLE_TYPES else self.subject
        told = (str(self.fields.get(key, "")) for key in keys)
        return (self.source, kind, *told)


@frozen
class RequestTrace:
    """
    What one request met.

    :param beliefs: The newest line about each belief of the processes that
        handled it, as of its first line there.
    :param lines: Its lines, and the beliefs that changed meanwhile, in the
        order of their times.
    :param left_out: Lines that those processes did not write, as far as told.
    """

    beliefs: tuple[LoggedLine, ...]
    lines: tuple[LoggedLine, ...]
    left_out: int


def read_log(name: str, lines: Iterable[str]) -> Iterator[LoggedLine]:
    """
    Read the lines of a saved log; what is no JSON object is skipped.

    The log may hold several processes if each line begins with the name of
    its instance.

    :param name: Name of the file, for lines before a process told its own.
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
            {key: value for key, value in fields.items() if key not in _ENVELOPE},
        )


def trace_request(request_id: str, lines: Iterable[LoggedLine]) -> RequestTrace:
    """
    Put together what one request met.

    :param request_id: Its id.
    :param lines: The lines of all processes, in the order of each.
    """
    everything = list(lines)
    own = [line for line in everything if _is_about(line, request_id)]
    begins: dict[str, float] = {}
    ends: dict[str, float] = {}
    for line in own:
        begins.setdefault(line.source, line.wall_seconds)
        ends[line.source] = line.wall_seconds
    upstreams = _named_upstreams(own)
    beliefs: dict[tuple[str, ...], LoggedLine] = {}
    changes: list[LoggedLine] = []
    left_out = 0
    for line in everything:
        if line.source not in begins or line.wall_seconds > ends[line.source]:
            continue
        left_out += sum(int(line.fields.get(name, 0)) for name in LEFT_OUT_FIELDS)
        key = line.belief_key
        if key is None or _is_about(line, request_id):
            continue
        if not _concerns(line, upstreams):
            continue
        if line.wall_seconds < begins[line.source]:
            beliefs[key] = line
        else:
            changes.append(line)
    return RequestTrace(
        _in_order(beliefs.values()), _in_order([*own, *changes]), left_out
    )


def _is_about(line: LoggedLine, request_id: str) -> bool:
    return line.fields.get("request_id") == request_id


def _in_order(lines: Iterable[LoggedLine]) -> tuple[LoggedLine, ...]:
    return tuple(sorted(lines, key=lambda line: line.wall_seconds))


def _named_upstreams(own: list[LoggedLine]) -> frozenset[str]:
    """Return the upstreams that a request was sent to."""
    named = (line.fields.get("upstream_id") for line in own)
    return frozenset(str(name) for name in named if name is not None)


def _concerns(line: LoggedLine, upstreams: frozenset[str]) -> bool:
    """Tell whether a belief may have mattered; all do if none was asked."""
    named = line.fields.get("upstream_id")
    return named is None or not upstreams or str(named) in upstreams
