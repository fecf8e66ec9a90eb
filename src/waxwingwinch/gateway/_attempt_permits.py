"""The permits of one attempt to serve a request."""

from waxwingwinch._types import UpstreamId
from waxwingwinch.gateway._permits import NoPermit, PermitBroker
from waxwingwinch.gateway._upstreams import Upstream


class AttemptPermits:
    """
    The permits of one attempt to serve a request.

    An upstream whose limit was unknown when the attempt was placed has none,
    so that its limit, if known by then, is asked for when the request is sent.

    :param broker: Obtains the permits.
    :param request_id: Id of the request.
    """

    def __init__(self, broker: PermitBroker, request_id: str) -> None:
        self._broker = broker
        self._request_id = request_id
        self._granted: set[UpstreamId] = set()

    def acquire(self, upstream: Upstream, is_last: bool = False) -> NoPermit | None:
        """
        Obtain a permit for an upstream unless this attempt has one.

        :param upstream: The upstream.
        :param is_last: True if the caller is refused without the permit.
        :returns: None if the request may be sent.
        """
        if upstream.upstream_id in self._granted or not self._broker.is_needed(
            upstream
        ):
            # A permit for a cold upstream expires before a prefill ends.
            return self._broker.acquire_cold(self._request_id, upstream)
        refusal = self._broker.acquire(self._request_id, upstream, is_last)
        if refusal is None:
            self._granted.add(upstream.upstream_id)
        return refusal
