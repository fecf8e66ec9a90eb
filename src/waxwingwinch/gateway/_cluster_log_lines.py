"""Log lines about configuration, store, peers and upstreams."""

from waxwingwinch.gateway._log_line import LogLine, log_line


@log_line("configuration:in_force")
class ConfigurationInForce(LogLine):
    """
    A configuration version is active for all further requests.

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
    A configuration version could not be decoded.

    :param reason: The error or condition observed.
    """

    reason: str


@log_line("configuration:unanswered")
class ConfigurationUnanswered(LogLine):
    """
    A peer did not send its newer configuration version.

    :param peer: The instance that was asked.
    :param reason: The error or condition observed.
    """

    peer: str
    reason: str


@log_line("store:lost")
class StoreLost(LogLine):
    """
    A topic of the platform's store can't be read.

    :param topic: The topic.
    :param reason: The error or condition observed.
    """

    topic: str
    reason: str


@log_line("store:back")
class StoreBack(LogLine):
    """
    A topic can be read again.

    :param topic: The topic.
    :param away_seconds: Duration of the failure.
    """

    topic: str
    away_seconds: float


@log_line("store:history_lost")
class StoreHistoryLost(LogLine):
    """
    Records of a topic expired before they were read.

    :param topic: The topic.
    :param first_offset: Offset of the oldest available record.
    """

    topic: str
    first_offset: int


@log_line("store:returned")
class StoreReturned(LogLine):
    """
    The store has returned from an older copy.

    :param era: Era of its present history.
    :param known_era: Era of the history known before.
    :param topic: The topic at which this was seen.
    """

    era: int
    known_era: int
    topic: str


@log_line("store:era_malformed")
class StoreEraMalformed(LogLine):
    """
    An answer of the store states no valid era.

    :param value: The value in the answer.
    """

    value: str


@log_line("store:unanswered")
class StoreUnanswered(LogLine):
    """
    The store did not respond to a call during the start.

    :param reason: The error or condition observed.
    """

    reason: str


@log_line("peer:lost")
class PeerLost(LogLine):
    """
    Reports can no longer be sent to an instance.

    :param address: Address on which the instance listens for peers.
    :param reason: The error or condition observed.
    """

    address: str
    reason: str


@log_line("peer:reached")
class PeerReached(LogLine):
    """
    Reports can be sent to an instance again.

    :param address: Address on which the instance listens for peers.
    """

    address: str


@log_line("cell:lost")
class CellLost(LogLine):
    """
    An instance of a cell is not or no longer used as a source of reports.

    :param zone: Availability zone of the cell.
    :param number: Number of the cell within its zone.
    :param address: Address on which the instance listens for peers.
    :param reason: The error or condition observed.
    """

    zone: str
    number: int
    address: str
    reason: str


@log_line("cell:reached")
class CellReached(LogLine):
    """
    An instance of a cell is used as a source of reports.

    :param zone: Availability zone of the cell.
    :param number: Number of the cell within its zone.
    :param address: Address on which the instance listens for peers.
    """

    zone: str
    number: int
    address: str


@log_line("cell:collecting")
class CollectingBegan(LogLine):
    """
    This instance has become the collector of its cell.

    :param cell: The cell.
    """

    cell: str


@log_line("cell:collecting_ended")
class CollectingEnded(LogLine):
    """
    This instance is no longer the collector of its cell.

    :param cell: The cell.
    """

    cell: str


@log_line("limits:shared")
class LimitsShared(LogLine):
    """
    The number of instances that share quotas and budgets has changed.

    :param instances: Number of sharing instances, including this one.
    """

    instances: int


@log_line("member:malformed")
class MemberMalformed(LogLine):
    """
    An instance's record could not be decoded.

    :param instance_id: The instance.
    :param reason: The error or condition observed.
    """

    instance_id: str
    reason: str


@log_line("upstream:registered")
class UpstreamRegistered(LogLine):
    """
    A new upstream was registered, or an upstream changed its state.

    :param upstream_id: The upstream.
    :param service: Its service.
    :param zone: The availability zone.
    :param state: Its state.
    :param role: Role of the engine (prefill or decode); None if it has none.
    :param is_spot: True for a spot (reclaimable) upstream.
    :param cold_seconds: Remaining time of the warm-up after its start.
    :param offset: Offset of the record in its topic.
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
    An upstream's entry could not be decoded.

    :param upstream_id: The upstream.
    :param reason: The error or condition observed.
    """

    upstream_id: str
    reason: str


@log_line("upstream:entry_gone")
class UpstreamEntryGone(LogLine):
    """
    An upstream's entry is no longer in the store.

    :param upstream_id: The upstream.
    :param may_be_back: True if the entry may have lapsed during an outage of
        the store, so that the upstream may register again.
    """

    upstream_id: str
    may_be_back: bool


@log_line("upstream:lapsed")
class UpstreamLapsed(LogLine):
    """
    A lapsed upstream was removed, as its entry did not reappear.

    :param upstream_id: The upstream.
    """

    upstream_id: str


@log_line("upstream:handle_kept")
class HandleNotReleased(LogLine):
    """
    A request to an engine to release a KV handle failed.

    :param upstream_id: The upstream.
    :param reason: The error or condition observed.
    """

    upstream_id: str
    reason: str


@log_line("survey:read")
class SurveyRead(LogLine):
    """
    An engine's cached prefixes were read after the process started.

    :param upstream_id: The upstream.
    :param parts: Number of shared prompt parts in its KV cache.
    :param held: Number of tokens in these parts.
    """

    upstream_id: str
    parts: int
    held: int


@log_line("survey:unanswered")
class SurveyUnanswered(LogLine):
    """
    An engine did not report its cached prefixes.

    :param upstream_id: The upstream.
    :param reason: The error or condition observed.
    """

    upstream_id: str
    reason: str
