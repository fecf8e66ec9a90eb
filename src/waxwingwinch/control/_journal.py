"""Appending records to the fleet stream and reading them back."""

from attrs import evolve

from waxwingwinch._exceptions import PlatformUnavailable
from waxwingwinch._types import Epoch, UpstreamId, UpstreamState
from waxwingwinch.fleet import (
    Directive,
    FleetObserver,
    FleetRecord,
    OrderFate,
    OrderIntent,
    OrderOutcome,
    TermBegun,
)
from waxwingwinch.streams import StreamWriter

#: Timeout of an append, and again of reading it back; below a third of the
#: default lease of 4 s.
JOURNAL_TIMEOUT_SECONDS = 1.0
#: Interval at which directives and open intents are appended again; far
#: below the retention time of the log.
REPUBLISH_INTERVAL_SECONDS = 30.0


class FleetJournal:
    """
    Writes the records of one planner in its current term.

    No order is sent before its intent was read back as valid: a void intent
    means that another process holds the duty.

    :param planner: Name of the planner in the field ``duty`` of its records;
        the buying planner has its own, though it runs under the fleet duty.
    :param writer: Appends to the stream.
    :param observer: Reads the stream.
    """

    def __init__(
        self, planner: str, writer: StreamWriter, observer: FleetObserver
    ) -> None:
        #: Name of the planner in the field ``duty`` of its records.
        self.planner = planner
        self._writer = writer
        self._observer = observer
        self._epoch = Epoch(-1)
        self._is_announced = False
        self._republished_seconds = 0.0

    @property
    def epoch(self) -> Epoch:
        """Fencing token of the term."""
        return self._epoch

    def begin_term(self, epoch: Epoch) -> None:
        """
        Start a term; :meth:`announce_term` announces it.

        :param epoch: Its fencing token.
        """
        self._epoch = epoch
        self._is_announced = False

    def announce_term(self) -> bool:
        """
        Announce the term, which voids later records of older terms.

        :returns: True once the announcement was read back, by which time all
            earlier intents are known.
        """
        if not self._is_announced:
            self._append(TermBegun(self.planner, self._epoch))
            self._is_announced = self._observer.wait_until(
                lambda: self._observer.epoch(self.planner) == self._epoch,
                JOURNAL_TIMEOUT_SECONDS,
            )
        return self._is_announced

    def append_directive(self, directive: Directive) -> bool:
        """
        Append a directive.

        :returns: True once it was read back as valid.
        """
        self._append(directive)
        return self._observer.wait_until(
            lambda: directive in self._observer.directives(), JOURNAL_TIMEOUT_SECONDS
        )

    def return_to_service(self, upstream_id: UpstreamId, reason: str) -> bool:
        """Append a directive that puts an upstream back into service."""
        directive = Directive(
            self.planner, self._epoch, upstream_id, UpstreamState.ACTIVE, reason=reason
        )
        return self.append_directive(directive)

    def open_intent(self, intent: OrderIntent) -> bool:
        """
        Append an intent.

        :returns: True once it was read back as valid; only then may the
            order be sent.
        """
        self._append(intent)
        return self._observer.wait_until(
            lambda: self._observer.is_open(intent.order_id), JOURNAL_TIMEOUT_SECONDS
        )

    def close_intent(self, order_id: str, fate: OrderFate) -> bool:
        """
        Append an outcome.

        :returns: True once it was read back.
        """
        self._append(OrderOutcome(self.planner, self._epoch, order_id, fate))
        return self._observer.wait_until(
            lambda: not self._observer.is_open(order_id), JOURNAL_TIMEOUT_SECONDS
        )

    def open_intents(self) -> tuple[OrderIntent, ...]:
        """Return the planner's intents without an outcome."""
        return tuple(
            intent
            for intent in self._observer.open_intents()
            if intent.duty == self.planner
        )

    def draining_directives(self) -> tuple[Directive, ...]:
        """Return the planner's draining directives in force."""
        return tuple(
            directive
            for directive in self._observer.directives()
            if directive.duty == self.planner
            and directive.state is UpstreamState.DRAINING
        )

    def republish(self, now_seconds: float) -> None:
        """
        Append directives and intents in force again before they expire.

        :param now_seconds: Monotonic time.
        """
        if now_seconds - self._republished_seconds < REPUBLISH_INTERVAL_SECONDS:
            return
        self._republished_seconds = now_seconds
        # Records that carry the epoch of an older term would be void.
        for directive in self.draining_directives():
            self._append(evolve(directive, epoch=self._epoch))
        for intent in self.open_intents():
            self._append(evolve(intent, epoch=self._epoch))

    def _append(self, record: FleetRecord) -> None:
        try:
            self._writer.append(record, JOURNAL_TIMEOUT_SECONDS)
        except PlatformUnavailable:
            # Reading back shows whether the record was appended.
            return
