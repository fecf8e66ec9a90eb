"""Basic types shared by all packages."""

import enum
import re
from typing import NewType

from attrs import frozen

#: Name of a customer, as in the configuration.
CustomerId = NewType("CustomerId", str)
#: Id of one process start on an instance; a restart gets a new id.
InstanceId = NewType("InstanceId", str)
#: Id of an upstream, as listed by the platform.
UpstreamId = NewType("UpstreamId", str)
#: Name of a model, as in callers' requests.
ModelName = NewType("ModelName", str)
#: Name of an availability zone.
ZoneName = NewType("ZoneName", str)
#: Name of a region, which holds one or more availability zones.
RegionName = NewType("RegionName", str)
#: A fencing token: the log offset of the winning claim.
Epoch = NewType("Epoch", int)

#: Number of tokens in one piece of KV cache, the unit of an engine's
#: capacity.
TOKENS_PER_KV_PIECE = 1_024
#: Largest TCP port.
MAX_PORT = 65_535
MAX_PORT_DIGITS = 5
#: Maximum length of a malformed value in the text of an error.
MAX_SHOWN_CHARACTERS = 100

_DIGITS = re.compile(r"[0-9]+")


class UpstreamKind(enum.Enum):
    """Kinds of upstreams."""

    ENGINE = "engine"
    PLAIN = "plain"


class EngineRole(enum.Enum):
    """Phases of generation that an engine performs."""

    #: Processes prompts and exports the KV cache.
    PREFILL = "prefill"
    #: Imports the KV cache and generates tokens.
    DECODE = "decode"
    #: Performs prefill and decode.
    MIXED = "mixed"


class PriceClass(enum.Enum):
    """Pricing model of an upstream."""

    ON_DEMAND = "on_demand"
    #: Costs less; the platform may reclaim it on a few seconds' notice.
    CHEAP = "cheap"


class UpstreamState(enum.Enum):
    """Lifecycle state of an upstream."""

    STARTING = "starting"
    ACTIVE = "active"
    #: Gets no new requests; requests in progress are completed.
    DRAINING = "draining"
    #: Will be reclaimed by the platform; gets no new requests.
    LEAVING = "leaving"


@frozen
class ProcessId:
    """
    Identity of one start of an entry process.

    :param instance_id: Instance of the process.
    :param incarnation: Unique id of the process start.
    """

    instance_id: InstanceId
    incarnation: str


def parse_port(text: str) -> int:
    """
    Parse a port number.

    :param text: Decimal digits.
    :raises ValueError: If the text is not a number from 1 to ``MAX_PORT``.
    """
    shown = text[:MAX_SHOWN_CHARACTERS]
    if not _DIGITS.fullmatch(text):
        raise ValueError(f"port {shown!r} is not a number")
    # Longer numbers are out of range, and may be too long to convert.
    if len(text) > MAX_PORT_DIGITS or not 1 <= int(text) <= MAX_PORT:
        raise ValueError(f"port {shown} is not within 1 to {MAX_PORT}")
    return int(text)


@frozen
class Address:
    """
    An IP address and a port.

    :param host: IP address.
    :param port: TCP port.
    """

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> "Address":
        """
        Parse an address of the form ``host:port``.

        :param text: The address.
        :raises ValueError: If the port is missing or not a port number.
        """
        host, separator, port = text.rpartition(":")
        if not separator or not host:
            shown = text[:MAX_SHOWN_CHARACTERS]
            raise ValueError(f"{shown!r} is not of the form host:port")
        return cls(host, parse_port(port))

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@frozen
class LogRecord:
    """
    One record of a stream.

    :param offset: Position in the stream, incremented by one per record.
    :param payload: The appended bytes.
    """

    offset: int
    payload: bytes


@frozen
class LogPage:
    """
    A range of consecutive records of a stream.

    :param first_offset: The oldest offset that the stream still contains.
    :param end_offset: The offset that the next appended record will get.
    :param records: Consecutive records, starting at the requested offset;
        empty if there are none yet.
    """

    first_offset: int
    end_offset: int
    records: tuple[LogRecord, ...]
