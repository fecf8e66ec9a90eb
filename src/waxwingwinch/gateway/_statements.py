"""What answers of upstreams state about the upstreams themselves."""

from collections.abc import Callable

from attrs import field, frozen

from waxwingwinch.gateway._named_limits import NamedLimit, NamedLimits
from waxwingwinch.gateway._statement_log_lines import (
    UpstreamLeaving,
    UpstreamTurnedAway,
)
from waxwingwinch.gateway._telemetry import CounterName, Telemetry
from waxwingwinch.gateway._upstreams import Upstream, UpstreamDirectory
from waxwingwinch.gateway.cold import ColdPeriods
from waxwingwinch.kernel import Clock


@frozen
class UpstreamStatements:
    """
    What an answer states about its upstream.

    :param may_end_limit: True if the answer would name a limit in force: a
        success for a request of a caller.
    :param limit_per_second: Requests per second that the upstream takes from
        all instances together; None if the answer names no limit.
    :param is_leaving: True if the upstream takes no new work any more.
    :param return_seconds: Time for which the upstream wants no request from
        this instance; None if the answer names none.
    :param cold_seconds: Time for which the upstream remains cold; None if the
        answer doesn't say.
    """

    may_end_limit: bool = True
    limit_per_second: float | None = None
    is_leaving: bool = False
    return_seconds: float | None = None
    cold_seconds: float | None = None


#: Receives the statements of an answer, given the upstream and the monotonic
#: time at which the request was sent.
OnStatements = Callable[[Upstream, UpstreamStatements, float], None]


def ignore_statements(
    upstream: Upstream, statements: UpstreamStatements, sent_seconds: float
) -> None:
    """
    Do nothing, as nobody observes statements yet.

    :param upstream: The upstream that answered.
    :param statements: What its answer states.
    :param sent_seconds: Monotonic time at which the request was sent.
    """


@frozen
class StatementObserver:
    """
    Passes what answers state to the decisions that depend on it.

    :param directory: The known upstreams.
    :param limits: Limits that upstreams name.
    :param telemetry: Metrics of the process.
    :param clock: Source of the present time.
    :param cold: The times during which upstreams are cold.
    """

    _directory: UpstreamDirectory = field(repr=False)
    _limits: NamedLimits = field(repr=False)
    _telemetry: Telemetry = field(repr=False)
    _clock: Clock = field(repr=False)
    _cold: ColdPeriods | None = field(default=None, repr=False)

    def observe(
        self, upstream: Upstream, statements: UpstreamStatements, sent_seconds: float
    ) -> None:
        """
        Record what an answer states.

        :param upstream: The upstream that answered.
        :param statements: What its answer states.
        :param sent_seconds: Monotonic time at which the request was sent.
        """
        now_seconds = self._clock.now_seconds()
        self._observe_limit(upstream, statements, sent_seconds, now_seconds)
        if statements.cold_seconds is not None and self._cold is not None:
            self._telemetry.count(CounterName.STATEMENTS, "cold")
            self._cold.record_statement(
                upstream, statements.cold_seconds, sent_seconds, now_seconds
            )
        if statements.is_leaving:
            self._observe_leaving(upstream, now_seconds - sent_seconds)
        if statements.return_seconds is not None:
            self._directory.record_away(
                upstream.upstream_id,
                upstream.started_ms,
                now_seconds + statements.return_seconds,
            )
            self._telemetry.count(CounterName.STATEMENTS, "return")
            UpstreamTurnedAway(
                upstream_id=upstream.upstream_id,
                started_ms=upstream.started_ms,
                return_seconds=statements.return_seconds,
                sent_age_seconds=now_seconds - sent_seconds,
            ).write()

    def _observe_limit(
        self,
        upstream: Upstream,
        statements: UpstreamStatements,
        sent_seconds: float,
        now_seconds: float,
    ) -> None:
        limit_per_second = statements.limit_per_second
        if limit_per_second is None and not statements.may_end_limit:
            return
        observed_seconds = sent_seconds if limit_per_second is None else now_seconds
        self._limits.observe(
            upstream.upstream_id,
            NamedLimit(upstream.started_ms, limit_per_second, observed_seconds),
            now_seconds,
        )

    def _observe_leaving(self, upstream: Upstream, sent_age_seconds: float) -> None:
        self._telemetry.count(CounterName.STATEMENTS, "leaving")
        is_new = self._directory.record_leaving(
            upstream.upstream_id, upstream.started_ms, is_local=True
        )
        if is_new:
            UpstreamLeaving(
                upstream_id=upstream.upstream_id,
                started_ms=upstream.started_ms,
                reporter=None,
                registered_state=upstream.state.value,
                age_seconds=sent_age_seconds,
            ).write()
