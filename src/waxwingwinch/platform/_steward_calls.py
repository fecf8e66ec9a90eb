"""The calls that only the holder of the steward's duty makes."""

from attrs import define

from waxwingwinch._exceptions import PlatformRefused, PlatformUnavailable
from waxwingwinch._types import Address, CustomerId, EngineRole, InstanceId
from waxwingwinch.gateway import StaleFencingToken, Upstream, UpstreamCount
from waxwingwinch.http import (
    ORDER_SOCKET_OPTIONS,
    AnswerMissing,
    HttpReply,
    HttpRequest,
    NotSent,
    exchange,
)
from waxwingwinch.platform._headers import (
    DUTY_HOLDER,
    EXPECT_INSTANCE,
    FENCE_TOKEN,
)
from waxwingwinch.platform._store import encode_json

#: Longest wait for an answer; the holder renews its lease between calls.
CALL_SECONDS = 0.7


@define(eq=False)
class PlatformStewardCalls:
    """
    Reports usage and gives orders.

    :param address: Where upstreams are ordered and usage is reported; None
        if the platform has no such interface.
    :param holder: Name of this instance.
    """

    address: Address | None
    holder: InstanceId

    def report_usage(
        self, window: int, counts: dict[CustomerId, int], epoch: int
    ) -> None:
        """
        Report the usage of a window.

        :param window: Number of the window.
        :param counts: Requests by customer.
        :param epoch: The fencing token.
        """
        self._duty_call("/usage", {"windowId": window, "counts": counts}, epoch)

    def order_upstreams(self, wanted: UpstreamCount, epoch: int) -> None:
        """
        Order a number of upstreams.

        :param wanted: The number, and of which kind.
        :param epoch: The fencing token.
        """
        body: dict[str, object] = {
            "service": wanted.service,
            "zone": wanted.zone,
            "desired": wanted.count,
        }
        if wanted.is_spot:
            body["spot"] = True
        self._duty_call("/scale", body, epoch)

    def change_stage(self, engine: Upstream, role: EngineRole, epoch: int) -> None:
        """
        Order an engine to change its stage.

        :param engine: The engine.
        :param role: Its new stage.
        :param epoch: The fencing token.
        """
        body: dict[str, object] = {
            "op": "stage",
            "stage": role.value,
            "holder": self.holder,
            "fenceToken": fence_token(epoch),
        }
        headers = ((EXPECT_INSTANCE, str(engine.upstream_id)),)
        reply = self._call(engine.address, "/v1/order", body, headers)
        if reply.status == 412:
            raise StaleFencingToken(f"{engine.upstream_id} saw a higher fencing token")
        if reply.status not in (200, 202):
            raise PlatformRefused(f"order was answered {reply.status}")

    def _duty_call(self, path: str, body: dict[str, object], epoch: int) -> None:
        if self.address is None:
            return
        headers = (
            (DUTY_HOLDER, str(self.holder)),
            (FENCE_TOKEN, str(fence_token(epoch))),
        )
        reply = self._call(self.address, path, body, headers)
        if reply.status == 409 and path == "/usage":
            raise StaleFencingToken("the platform saw a higher fencing token")
        if reply.status != 200:
            raise PlatformRefused(f"{path} was answered {reply.status}")

    def _call(
        self,
        address: Address,
        path: str,
        body: dict[str, object],
        headers: tuple[tuple[str, str], ...],
    ) -> HttpReply:
        typed = (*headers, ("Content-Type", "application/json"))
        request = HttpRequest("POST", path, typed, encode_json(body))
        try:
            return exchange(
                address,
                request,
                CALL_SECONDS,
                socket_options=ORDER_SOCKET_OPTIONS,
            )
        except NotSent as error:
            raise PlatformUnavailable(str(error), False) from error
        except AnswerMissing as error:
            raise PlatformUnavailable(str(error), True) from error


def fence_token(epoch: int) -> int:
    """
    Return the fencing token of an epoch; tokens begin at 1.

    :param epoch: Offset of the claim.
    """
    return epoch + 1
