"""The services and incarnations of upstreams with measurements."""

from collections import OrderedDict

from attrs import define, field

from waxwingwinch._types import UpstreamId
from waxwingwinch.gateway._upstreams import Upstream
from waxwingwinch.gateway.capacity._estimates import Phase
from waxwingwinch.gateway.capacity._rows import ServiceCapacity, UpstreamCapacity

#: Incarnations whose measurements are kept, the last measured ones; those that
#: are alike the rest of their service lose nothing by being forgotten.
MAX_UPSTREAMS = 600


@define
class CapacityTable:
    """
    Measurements by service and by upstream.

    :param services: What the upstreams of each service have in common.
    :param upstreams: The upstreams, the last measured one last.
    """

    services: dict[str, ServiceCapacity] = field(factory=dict)
    upstreams: OrderedDict[UpstreamId, UpstreamCapacity] = field(factory=OrderedDict)

    def service(self, name: str) -> ServiceCapacity:
        """
        Return what the upstreams of a service have in common.

        :param name: Name of the service.
        """
        return self.services.setdefault(name, ServiceCapacity())

    def known(self, upstream: Upstream) -> UpstreamCapacity | None:
        """
        Return the measurements of an incarnation, to be added to.

        :param upstream: The upstream.
        :returns: None if a later incarnation is known.
        """
        known = self.upstreams.get(upstream.upstream_id)
        if known is not None and known.started_ms > upstream.started_ms:
            return None
        if known is None or known.started_ms < upstream.started_ms:
            known = UpstreamCapacity(
                upstream.started_ms, upstream.service, upstream.role
            )
            self.upstreams[upstream.upstream_id] = known
            if len(self.upstreams) > MAX_UPSTREAMS:
                self.upstreams.popitem(last=False)
        if known.role is not upstream.role:
            known.role = upstream.role
            known.signals.pop(Phase.PREFILL, None)
        self.upstreams.move_to_end(upstream.upstream_id)
        return known

    def unusual_count(self, now_seconds: float) -> int:
        """
        Return the number of upstreams that differ from their service.

        :param now_seconds: Monotonic time.
        """
        return sum(
            known.compute(self.services[known.service], now_seconds)
            != self.services[known.service].default_estimate(known.role)
            for known in self.upstreams.values()
        )
