"""Log lines about the process, its settings and the duty."""

from waxwingwinch.gateway._log_line import LogLine, log_line


@log_line("gateway:starting")
class GatewayStarting(LogLine):
    """
    The process starts.

    :param instance_id: The instance.
    :param incarnation: Unique id of this start of the instance.
    :param is_first_start: True if no gateway process has run before.
    """

    instance_id: str
    incarnation: str
    is_first_start: bool


@log_line("gateway:joined")
class GatewayJoined(LogLine):
    """
    The process has published its record to the other instances.

    :param instance_id: The instance.
    """

    instance_id: str


@log_line("gateway:stopping")
class GatewayStopping(LogLine):
    """
    A graceful stop has begun.

    :param under_way: Number of requests in progress.
    :param noticed_after_seconds: Time since the signal.
    """

    under_way: int
    noticed_after_seconds: float


@log_line("gateway:stopped")
class GatewayStopped(LogLine):
    """
    A graceful stop has ended.

    :param under_way: Number of requests still in progress.
    :param unread: Connections closed without reading from them.
    :param cancelled: Requests cancelled at their upstreams.
    :param took_seconds: Duration of the stop.
    """

    under_way: int
    unread: int
    cancelled: int
    took_seconds: float


@log_line("listener:filter_refused")
class ListenerFilterRefused(LogLine):
    """
    The kernel refused the filter that holds back new connections at a stop.

    :param reason: The error or condition observed.
    """

    reason: str


@log_line("gateway:malloc_unchanged")
class MallocUnchanged(LogLine):
    """
    The C library's allocator keeps its settings; it may keep freed memory.

    :param reason: Why they couldn't be changed.
    """

    reason: str


@log_line("gateway:not_serving")
class GatewayNotServing(LogLine):
    """
    The process was stopped before it served callers.

    :param reason: The condition observed.
    """

    reason: str


@log_line("gateway:memory_used")
class MemoryUsed(LogLine):
    """
    The memory that the process has used, written at its end.

    :param resident_peak_bytes: Largest resident memory of the process.
    :param memory_bytes: Memory that it may use.
    :param held_peak_bytes: Most that requests and answers held at once.
    :param limit_bytes: Maximum of what they may hold.
    """

    resident_peak_bytes: int
    memory_bytes: int
    held_peak_bytes: int
    limit_bytes: int


@log_line("gateway:stop_impaired")
class StopImpaired(LogLine):
    """
    A part of a planned stop failed; the others go on.

    :param part: The part.
    :param reason: The error.
    """

    part: str
    reason: str


@log_line("gateway:not_withdrawn")
class GatewayNotWithdrawn(LogLine):
    """
    The record of the instance could not be withdrawn at its stop.

    :param reason: The error or condition observed.
    """

    reason: str


@log_line("gateway:member_rewritten")
class MemberRewritten(LogLine):
    """
    The store lacks this instance's member record, which is written again.

    :param incarnation: The incarnation in the record.
    """

    incarnation: str


@log_line("gateway:secret_replaced")
class SecretReplaced(LogLine):
    """The store holds another shared secret than before; both are accepted."""


@log_line("gateway:secret_exists")
class SecretExists(LogLine):
    """Another instance created the shared secret first."""


@log_line("front:server_error")
class FrontServerError(LogLine):
    """
    The HTTP server logged a message.

    :param reason: The error or condition observed.
    :param level: Numeric log level of the message.
    """

    reason: str
    level: int


@log_line("front:accept_failed")
class AcceptFailed(LogLine):
    """
    A connection could not be accepted.

    Idle connections are closed to make room; if there are none, the next
    attempt follows after a pause.

    :param reason: The error.
    :param closed: Number of idle connections that were closed.
    """

    reason: str
    closed: int


@log_line("settings:reload_requested")
class SettingsReloadRequested(LogLine):
    """A signal requested a reload of the settings file."""


@log_line("settings:reloaded")
class SettingsReloaded(LogLine):
    """
    A changed settings file was applied.

    :param instance_id: The instance.
    """

    instance_id: str


@log_line("settings:invalid")
class SettingsRejected(LogLine):
    """
    A changed settings file is invalid and was not applied.

    :param findings: The errors found and their locations in the file.
    """

    findings: str


@log_line("settings:unreadable")
class SettingsUnreadable(LogLine):
    """
    The settings file can't be read.

    :param reason: The error or condition observed.
    """

    reason: str


@log_line("duty:claimed")
class DutyClaimed(LogLine):
    """
    This instance has claimed the duty.

    :param epoch: Epoch (fencing token) of the duty.
    """

    epoch: int


@log_line("duty:released")
class DutyReleased(LogLine):
    """
    This instance has released the duty.

    :param epoch: Epoch (fencing token) of the duty.
    """

    epoch: int


@log_line("duty:stepped_down")
class DutySteppedDown(LogLine):
    """
    This instance has stopped acting as the holder of the duty.

    :param epoch: Epoch (fencing token) of the duty.
    :param reason: The error or condition observed.
    """

    epoch: int
    reason: str


@log_line("ledger:conflict")
class LedgerConflict(LogLine):
    """
    A conditional append failed, as another record was appended first.

    :param at_offset: Expected end offset of the topic.
    :param end_offset: Actual end offset of the topic.
    """

    at_offset: int | None
    end_offset: int


@log_line("ledger:unanswered")
class LedgerUnanswered(LogLine):
    """
    The store did not respond to an append or read of the ledger.

    :param reason: The error or condition observed.
    """

    reason: str


@log_line("ledger:refused")
class LedgerRefused(LogLine):
    """
    The store rejected an append to the ledger.

    :param reason: The error or condition observed.
    """

    reason: str


@log_line("ledger:malformed")
class LedgerMalformed(LogLine):
    """
    A record of the ledger could not be decoded.

    :param offset: Offset of the record in the ledger topic.
    :param reason: The error or condition observed.
    """

    offset: int
    reason: str


@log_line("steward:unanswered")
class DutyWorkFailed(LogLine):
    """
    Work of the duty failed, as a dependency did not respond or refused.

    :param work: Name of the failed work.
    :param reason: The error or condition observed.
    """

    work: str
    reason: str


@log_line("steward:spot_refused")
class SpotOrderRefused(LogLine):
    """
    An order for spot upstreams was refused.

    :param zone: The availability zone.
    :param reason: The error or condition observed.
    """

    zone: str
    reason: str


@log_line("steward:ordered")
class UpstreamsOrdered(LogLine):
    """
    The wanted number of upstreams of a kind was ordered.

    :param service: Service of the upstreams.
    :param zone: The availability zone.
    :param count: Ordered total number of upstreams.
    :param present: Number of ready upstreams at the time of the order.
    :param is_spot: True for spot (reclaimable) upstreams.
    """

    service: str
    zone: str
    count: int
    present: int
    is_spot: bool


@log_line("steward:stage_changed")
class RoleChangeOrdered(LogLine):
    """
    An engine was ordered to change its role.

    :param upstream_id: The upstream.
    :param role: The new role (prefill or decode).
    """

    upstream_id: str
    role: str | None


@log_line("steward:usage_reported")
class UsageReported(LogLine):
    """
    The usage of a window was reported.

    :param window: Number of the window.
    :param requests: Number of requests that started to run in the window.
    """

    window: int
    requests: int
