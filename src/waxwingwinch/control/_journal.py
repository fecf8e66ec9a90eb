"""Appending to the stream of the fleet and reading it back."""

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

#: How long an append with its reading back may take; below a third of the
#: shortest sensible lease.
JOURNAL_TIMEOUT_SECONDS = 1.0
#: Directives and open intents are repeated this often, far below the time
#: for which the log keeps records.
REPEAT_SECONDS = 30.0


class FleetJournal:
    """
    Writes the records of one planner in one term.

    No order is sent before its intent was read back as valid: an intent
    that turns out void means that another process is in charge.

    :param planner: Name that the records carry as their duty.
    :param writer: Appends to the stream.
    :param observer: Reads the stream.
    """

    def __init__(
        self, planner: str, writer: StreamWriter, observer: FleetObserver
    ) -> None:
        #: Name that the records carry as their duty.
        self.planner = planner
        self._writer = writer
        self._observer = observer
        self._epoch = Epoch(-1)
        self._begun = False
        self._repeated_seconds = 0.0

    @property
    def epoch(self) -> Epoch:
        """Fencing token of the term."""
        return self._epoch

    def begin(self, epoch: Epoch) -> None:
        """
        Start a term; :meth:`ready` announces it.

        :param epoch: Its fencing token.
        """
        self._epoch = epoch
        self._begun = False

    def ready(self) -> bool:
        """
        Announce the term, which voids later records of older ones.

        :returns: True once the announcement was read back; all earlier
            intents are known then.
        """
        if not self._begun:
            self._append(TermBegun(self.planner, self._epoch))
            self._begun = self._observer.wait_until(
                lambda: self._observer.epoch(self.planner) == self._epoch,
                JOURNAL_TIMEOUT_SECONDS,
            )
        return self._begun

    def direct(self, directive: Directive) -> bool:
        """
        Append a directive.

        :returns: True once it was read back as valid.
        """
        self._append(directive)
        return self._observer.wait_until(
            lambda: directive in self._observer.directives(), JOURNAL_TIMEOUT_SECONDS
        )

    def put_back(self, upstream_id: UpstreamId, reason: str) -> bool:
        """Direct that an upstream gets work again."""
        directive = Directive(
            self.planner, self._epoch, upstream_id, UpstreamState.ACTIVE, reason=reason
        )
        return self.direct(directive)

    def open(self, intent: OrderIntent) -> bool:
        """
        Append an intent.

        :returns: True once it was read back as valid; only then may the
            order be sent.
        """
        self._append(intent)
        return self._observer.wait_until(
            lambda: self._observer.is_open(intent.order_id), JOURNAL_TIMEOUT_SECONDS
        )

    def close(self, order_id: str, fate: OrderFate) -> bool:
        """
        Append an outcome.

        :returns: True once it was read back.
        """
        self._append(OrderOutcome(self.planner, self._epoch, order_id, fate))
        return self._observer.wait_until(
            lambda: not self._observer.is_open(order_id), JOURNAL_TIMEOUT_SECONDS
        )

    def open_intents(self) -> tuple[OrderIntent, ...]:
        """Return the planner's orders without outcome."""
        return tuple(
            intent
            for intent in self._observer.open_intents()
            if intent.duty == self.planner
        )

    def drains(self) -> tuple[Directive, ...]:
        """Return the planner's drains in force."""
        return tuple(
            directive
            for directive in self._observer.directives()
            if directive.duty == self.planner
            and directive.state is UpstreamState.DRAINING
        )

    def repeat(self, now_seconds: float) -> None:
        """
        Repeat what is in force before the log drops it.

        :param now_seconds: Monotonic time.
        """
        if now_seconds - self._repeated_seconds < REPEAT_SECONDS:
            return
        self._repeated_seconds = now_seconds
        # Under their older epoch repeats would be void by now.
        for directive in self.drains():
            self._append(evolve(directive, epoch=self._epoch))
        for intent in self.open_intents():
            self._append(evolve(intent, epoch=self._epoch))

    def _append(self, record: FleetRecord) -> None:
        try:
            self._writer.append(record, JOURNAL_TIMEOUT_SECONDS)
        except PlatformUnavailable:
            # Reading back tells whether it arrived.
            return
