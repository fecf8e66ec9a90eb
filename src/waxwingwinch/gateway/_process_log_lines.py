"""Log lines about the process itself and its duty."""

from waxwingwinch.gateway._log_line import LogLine, log_line


@log_line("gateway:starting")
class GatewayStarting(LogLine):
    """
    The start of the process.

    :param instance_id: The instance.
    :param incarnation: Unique name of the start.
    :param is_first_start: True if nothing was started before.
    """

    instance_id: str
    incarnation: str
    is_first_start: bool


@log_line("gateway:joined")
class GatewayJoined(LogLine):
    """
    The process is known to the other instances.

    :param instance_id: The instance.
    """

    instance_id: str


@log_line("gateway:stopping")
class GatewayStopping(LogLine):
    """
    A planned stop began.

    :param under_way: Requests that are being served.
    """

    under_way: int


@log_line("gateway:stopped")
class GatewayStopped(LogLine):
    """
    A planned stop ended.

    :param under_way: Requests that are being served.
    :param took_seconds: Time that it took.
    """

    under_way: int
    took_seconds: float


@log_line("gateway:not_withdrawn")
class GatewayNotWithdrawn(LogLine):
    """
    The record of the process stands after its stop.

    :param reason: What was seen.
    """

    reason: str


@log_line("gateway:secret_exists")
class SecretExists(LogLine):
    """Another instance made the shared secret."""


@log_line("front:server_error")
class FrontServerError(LogLine):
    """
    A message of the HTTP server.

    :param reason: What was seen.
    :param level: Level of the message.
    """

    reason: str
    level: int


@log_line("settings:reload_requested")
class SettingsReloadRequested(LogLine):
    """A signal asks for the settings file."""


@log_line("settings:reloaded")
class SettingsReloaded(LogLine):
    """
    The settings file has changed.

    :param instance_id: The instance.
    """

    instance_id: str


@log_line("settings:invalid")
class SettingsRejected(LogLine):
    """
    A changed settings file with mistakes, which is not used.

    :param findings: The mistakes with their places.
    """

    findings: str


@log_line("settings:unreadable")
class SettingsUnreadable(LogLine):
    """
    A settings file that can't be read.

    :param reason: What was seen.
    """

    reason: str


@log_line("duty:claimed")
class DutyClaimed(LogLine):
    """
    The duty is held here.

    :param epoch: Epoch of the duty.
    """

    epoch: int


@log_line("duty:released")
class DutyReleased(LogLine):
    """
    The duty was handed back.

    :param epoch: Epoch of the duty.
    """

    epoch: int


@log_line("duty:stepped_down")
class DutySteppedDown(LogLine):
    """
    The duty is no longer held here.

    :param epoch: Epoch of the duty.
    :param reason: What was seen.
    """

    epoch: int
    reason: str


@log_line("ledger:conflict")
class LedgerConflict(LogLine):
    """
    Another instance wrote to the ledger first.

    :param at_offset: Where the topic was expected to end.
    :param end_offset: Where it ends.
    """

    at_offset: int | None
    end_offset: int


@log_line("ledger:unanswered")
class LedgerUnanswered(LogLine):
    """
    An append or read whose outcome is unknown.

    :param reason: What was seen.
    """

    reason: str


@log_line("ledger:refused")
class LedgerRefused(LogLine):
    """
    An append that the store turned away.

    :param reason: What was seen.
    """

    reason: str


@log_line("ledger:malformed")
class LedgerMalformed(LogLine):
    """
    A record of the ledger that could not be read.

    :param offset: Position of the record.
    :param reason: What was seen.
    """

    offset: int
    reason: str


@log_line("steward:unanswered")
class DutyWorkFailed(LogLine):
    """
    Work of the duty that a dependency did not answer.

    :param work: What was being done.
    :param reason: What was seen.
    """

    work: str
    reason: str


@log_line("steward:spot_refused")
class SpotOrderRefused(LogLine):
    """
    Spot upstreams that were not to be had.

    :param zone: The availability zone.
    :param reason: What was seen.
    """

    zone: str
    reason: str


@log_line("steward:ordered")
class UpstreamsOrdered(LogLine):
    """
    Upstreams that were ordered.

    :param service: Its service.
    :param zone: The availability zone.
    :param count: Upstreams that were ordered.
    :param present: Upstreams that are there.
    :param is_spot: True if it may be reclaimed.
    """

    service: str
    zone: str
    count: int
    present: int
    is_spot: bool


@log_line("steward:stage_changed")
class StageChangeOrdered(LogLine):
    """
    An engine that was told to change its stage.

    :param upstream_id: The upstream.
    :param role: Its stage; None if it has none.
    """

    upstream_id: str
    role: str | None


@log_line("steward:usage_reported")
class UsageReported(LogLine):
    """
    A usage window that was reported.

    :param window: Number of the window.
    :param requests: Requests that began in it.
    """

    window: int
    requests: int
