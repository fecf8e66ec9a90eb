"""Log lines about what the process believes of others."""

from waxwingwinch.gateway._log_line import LogLine, log_line


@log_line("configuration:in_force")
class ConfigurationInForce(LogLine):
    """
    A version that requests are judged by from now on.

    :param version: Version of the configuration; 0 if none is known.
    :param routes: Number of routes.
    :param customers: Number of customers.
    """

    version: int
    routes: int
    customers: int


@log_line("configuration:malformed")
class ConfigurationMalformed(LogLine):
    """
    A version that could not be read.

    :param reason: What was seen.
    """

    reason: str


@log_line("configuration:unanswered")
class ConfigurationUnanswered(LogLine):
    """
    A peer that did not tell its newer version.

    :param peer: The instance that was asked.
    :param reason: What was seen.
    """

    peer: str
    reason: str


@log_line("store:lost")
class StoreLost(LogLine):
    """
    A topic of the platform's store that can't be read.

    :param topic: The topic.
    :param reason: What was seen.
    """

    topic: str
    reason: str


@log_line("store:back")
class StoreBack(LogLine):
    """
    A topic that can be read again.

    :param topic: The topic.
    :param away_seconds: How long it could not be read.
    """

    topic: str
    away_seconds: float


@log_line("store:history_lost")
class StoreHistoryLost(LogLine):
    """
    Records that were dropped before they were read.

    :param topic: The topic.
    :param first_offset: The oldest offset that is held.
    """

    topic: str
    first_offset: int


@log_line("store:unanswered")
class StoreUnanswered(LogLine):
    """
    A call of the start that the store did not answer.

    :param reason: What was seen.
    """

    reason: str


@log_line("peer:lost")
class PeerLost(LogLine):
    """
    An instance that no reports reach.

    :param address: Where the instance listens for others.
    :param reason: What was seen.
    """

    address: str
    reason: str


@log_line("peer:reached")
class PeerReached(LogLine):
    """
    An instance that reports reach again.

    :param address: Where the instance listens for others.
    """

    address: str


@log_line("cell:lost")
class CellLost(LogLine):
    """
    An instance that no longer tells what its cell has under way.

    :param zone: Availability zone of the cell.
    :param number: Tells the cells of a zone apart.
    :param address: Where the instance listens for others.
    :param reason: What was seen.
    """

    zone: str
    number: int
    address: str
    reason: str


@log_line("cell:reached")
class CellReached(LogLine):
    """
    An instance that tells what its cell has under way.

    :param zone: Availability zone of the cell.
    :param number: Tells the cells of a zone apart.
    :param address: Where the instance listens for others.
    """

    zone: str
    number: int
    address: str


@log_line("cell:collecting")
class CollectingBegan(LogLine):
    """
    This instance collects for its cell.

    :param cell: The cell.
    """

    cell: str


@log_line("cell:collecting_ended")
class CollectingEnded(LogLine):
    """
    This instance no longer collects for its cell.

    :param cell: The cell.
    """

    cell: str


@log_line("limits:shared")
class LimitsShared(LogLine):
    """
    How many instances share quotas and budgets.

    :param instances: Instances that share, this one included.
    """

    instances: int


@log_line("member:malformed")
class MemberMalformed(LogLine):
    """
    An instance's record that could not be read.

    :param instance_id: The instance.
    :param reason: What was seen.
    """

    instance_id: str
    reason: str


@log_line("upstream:registered")
class UpstreamRegistered(LogLine):
    """
    A new upstream, or one in a new state.

    :param upstream_id: The upstream.
    :param service: Its service.
    :param zone: The availability zone.
    :param state: Its state.
    :param role: Its stage; None if it has none.
    :param is_spot: True if it may be reclaimed.
    :param cold_seconds: How much longer it is slow after its start.
    :param offset: Position of the record.
    """

    upstream_id: str
    service: str
    zone: str
    state: str
    role: str | None
    is_spot: bool
    cold_seconds: float
    offset: int


@log_line("upstream:malformed")
class UpstreamMalformed(LogLine):
    """
    An entry that could not be read.

    :param upstream_id: The upstream.
    :param reason: What was seen.
    """

    upstream_id: str
    reason: str


@log_line("upstream:entry_gone")
class UpstreamEntryGone(LogLine):
    """
    An entry that was dropped.

    :param upstream_id: The upstream.
    :param may_be_back: True if the entry may only have lapsed.
    """

    upstream_id: str
    may_be_back: bool


@log_line("upstream:lapsed")
class UpstreamLapsed(LogLine):
    """
    An upstream whose entry did not come back.

    :param upstream_id: The upstream.
    """

    upstream_id: str


@log_line("upstream:handle_kept")
class KvHandleNotReleased(LogLine):
    """
    A KV cache that an engine could not be told to drop.

    :param upstream_id: The upstream.
    :param reason: What was seen.
    """

    upstream_id: str
    reason: str


@log_line("survey:read")
class SurveyRead(LogLine):
    """
    What an engine held after a start.

    :param upstream_id: The upstream.
    :param parts: Shared parts of prompts that it holds.
    :param held: Their tokens.
    """

    upstream_id: str
    parts: int
    held: int


@log_line("survey:unanswered")
class SurveyUnanswered(LogLine):
    """
    An engine that did not tell what it holds.

    :param upstream_id: The upstream.
    :param reason: What was seen.
    """

    upstream_id: str
    reason: str
