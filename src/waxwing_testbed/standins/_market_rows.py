"""Rows of the platform's list of upstreams."""

from attrs import define, evolve

from waxwing_testbed.standins._settings import EngineSettings, PlainSettings
from waxwingwinch._types import PriceClass, UpstreamKind, UpstreamState
from waxwingwinch.interfaces import ListedUpstream

_SECONDS_PER_HOUR = 3_600


@define
class MarketRow:
    """
    An upstream that the platform runs.

    :param listed: What callers see.
    :param since_seconds: When it began to cost.
    :param leaves_at_seconds: When it will be withdrawn; None if it won't.
    """

    listed: ListedUpstream
    since_seconds: float
    leaves_at_seconds: float | None = None

    @property
    def cheap(self) -> bool:
        """True if the upstream may be reclaimed."""
        return self.listed.price_class is PriceClass.CHEAP

    def with_notice(self, now_seconds: float) -> ListedUpstream:
        """
        Return what callers see, with the time left.

        :param now_seconds: Present time.
        """
        if self.leaves_at_seconds is None:
            return self.listed
        left_seconds = max(0.0, self.leaves_at_seconds - now_seconds)
        return evolve(self.listed, leaves_in_seconds=left_seconds)

    def cost(self, now_seconds: float) -> float:
        """
        Return the price of the running time so far.

        :param now_seconds: Present time.
        """
        hours = (now_seconds - self.since_seconds) / _SECONDS_PER_HOUR
        return self.listed.price_per_hour * hours


def listed_engine(settings: EngineSettings) -> ListedUpstream:
    """
    Return the row of an engine.

    :param settings: The engine's settings.
    """
    return ListedUpstream(
        upstream_id=settings.name,
        kind=UpstreamKind.ENGINE,
        address=settings.address,
        zone=settings.zone,
        price_class=settings.price_class,
        price_per_hour=0.0,
        state=UpstreamState.ACTIVE,
        model=settings.model,
        role=settings.role,
        checks_fencing=settings.checks_fencing,
    )


def listed_plain(settings: PlainSettings) -> ListedUpstream:
    """
    Return the row of a plain service.

    :param settings: The service's settings.
    """
    return ListedUpstream(
        upstream_id=settings.name,
        kind=UpstreamKind.PLAIN,
        address=settings.address,
        zone=settings.zone,
        price_class=settings.price_class,
        price_per_hour=0.0,
        state=UpstreamState.ACTIVE,
        service=settings.service,
        checks_fencing=False,
    )
