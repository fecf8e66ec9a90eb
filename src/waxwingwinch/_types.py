"""Small types shared by all packages."""

import enum
from typing import NewType

from attrs import frozen

#: Name of a customer, as the configuration spells it.
CustomerId = NewType("CustomerId", str)
#: Name of one process start on an instance; a restart gets a new one.
InstanceId = NewType("InstanceId", str)
#: Name of an upstream, as the platform lists it.
UpstreamId = NewType("UpstreamId", str)
#: Name of a model, as callers ask for it.
ModelName = NewType("ModelName", str)
#: Name of an availability zone.
ZoneName = NewType("ZoneName", str)
#: A fencing token: the log offset of the winning claim.
Epoch = NewType("Epoch", int)

#: Number of tokens in one piece of KV cache, the unit in which the
#: capacity of an engine is stated.
TOKENS_PER_KV_PIECE = 1_024


class UpstreamKind(enum.Enum):
    """What an upstream serves."""

    ENGINE = "engine"
    PLAIN = "plain"


class EngineRole(enum.Enum):
    """Which phase of generation an engine is set up for."""

    #: Reads prompts and exports the KV cache.
    PREFILL = "prefill"
    #: Imports KV cache and generates tokens.
    DECODE = "decode"
    #: Does both.
    MIXED = "mixed"


class PriceClass(enum.Enum):
    """How an upstream is paid for."""

    ON_DEMAND = "on_demand"
    #: Costs less and may be reclaimed on a few seconds' notice.
    CHEAP = "cheap"


class UpstreamState(enum.Enum):
    """Where an upstream is in its life."""

    STARTING = "starting"
    ACTIVE = "active"
    #: Gets no new work; running work finishes.
    DRAINING = "draining"
    #: Will be withdrawn by the platform; gets no new work.
    LEAVING = "leaving"


@frozen
class ProcessId:
    """
    Identity of one start of an entry process.

    :param instance_id: Its instance.
    :param incarnation: Unique name of the process start.
    """

    instance_id: InstanceId
    incarnation: str


@frozen
class Address:
    """
    An IP address and a port.

    :param host: IP number.
    :param port: TCP port.
    """

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> "Address":
        """
        Read an address in ``host:port`` form.

        :param text: The written form.
        :raises ValueError: If the port is missing or not a number.
        """
        host, separator, port = text.rpartition(":")
        if not separator or not host:
            raise ValueError(f"{text!r} is not of the form host:port")
        return cls(host, int(port))

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@frozen
class LogRecord:
    """
    One record of a stream.

    :param offset: Position in the stream; grows by one a record.
    :param payload: The bytes that were appended.
    """

    offset: int
    payload: bytes


@frozen
class LogPage:
    """
    Part of a stream.

    :param first_offset: The oldest offset that the stream still holds.
    :param end_offset: The offset that the next appended record will get.
    :param records: Consecutive records, starting at the asked offset; empty
        if there are none yet.
    """

    first_offset: int
    end_offset: int
    records: tuple[LogRecord, ...]
