"""Calls that only the duty holder makes."""

from attrs import define, field
from urllib3 import HTTPHeaderDict

from waxwingwinch._exceptions import PlatformRefused, PlatformUnavailable
from waxwingwinch._types import Address, CustomerId, EngineRole, InstanceId
from waxwingwinch.gateway import (
    OnStatements,
    StaleFencingToken,
    Upstream,
    UpstreamCount,
    ignore_statements,
)
from waxwingwinch.http import (
    ORDER_SOCKET_OPTIONS,
    AnswerMissing,
    HttpReply,
    HttpRequest,
    NotSent,
    exchange,
)
from waxwingwinch.kernel import Clock
from waxwingwinch.platform._headers import (
    DUTY_HOLDER,
    EXPECT_INSTANCE,
    FENCE_TOKEN,
)
from waxwingwinch.platform._statements import report_statements
from waxwingwinch.platform._store import encode_json

#: Time-out of a call; short because the duty holder renews its lease between
#: calls.
CALL_TIMEOUT_SECONDS = 0.7
#: Largest answer to a call; only its status is used.
MAX_ANSWER_BYTES = 64 * 1_024


@define(eq=False)
class PlatformDutyCalls:
    """
    Reports usage, orders upstreams and changes the role of engines.

    :param address: Address for ordering upstreams and reporting usage; None
        if the platform has no such interface, in which case both do nothing.
    :param holder: Id of this instance, the holder of the duty.
    :param clock: Source of the present time.
    :param on_statements: Receives what each answer of an engine states about
        the engine.
    """

    address: Address | None
    holder: InstanceId
    clock: Clock = field(repr=False)
    on_statements: OnStatements = field(default=ignore_statements, repr=False)

    def report_usage(
        self, window: int, counts: dict[CustomerId, int], epoch: int
    ) -> None:
        """
        Report the usage of a usage window.

        :param window: Number of the usage window.
        :param counts: Requests by customer.
        :param epoch: Epoch of the duty, from which the fencing token is made.
        :raises StaleFencingToken: If the platform saw a higher fencing token.
        :raises PlatformRefused: If the platform refused the report.
        :raises PlatformUnavailable: If the platform did not respond.
        """
        self._duty_call("/usage", {"windowId": window, "counts": counts}, epoch)

    def order_upstreams(self, wanted: UpstreamCount, epoch: int) -> None:
        """
        Set the number of upstreams of a service in an availability zone.

        :param wanted: Service, availability zone, number and price class.
        :param epoch: Epoch of the duty, from which the fencing token is made.
        :raises PlatformRefused: If the platform refused the order.
        :raises PlatformUnavailable: If the platform did not respond.
        """
        body: dict[str, object] = {
            "service": wanted.service,
            "zone": wanted.zone,
            "desired": wanted.count,
        }
        if wanted.is_spot:
            body["spot"] = True
        self._duty_call("/scale", body, epoch)

    def change_role(self, engine: Upstream, role: EngineRole, epoch: int) -> None:
        """
        Order an engine to change its role, which the platform calls stage.

        :param engine: The engine.
        :param role: Its new role.
        :param epoch: Epoch of the duty, from which the fencing token is made.
        :raises StaleFencingToken: If the engine saw a higher fencing token.
        :raises PlatformRefused: If the engine refused the order.
        :raises PlatformUnavailable: If the engine did not respond.
        """
        body: dict[str, object] = {
            "op": "stage",
            "stage": role.value,
            "holder": self.holder,
            "fenceToken": fence_token(epoch),
        }
        headers = ((EXPECT_INSTANCE, str(engine.upstream_id)),)
        sent_seconds = self.clock.now_seconds()
        reply = self._call(engine.address, "/v1/order", body, headers)
        report_statements(
            self.on_statements,
            engine,
            sent_seconds,
            reply.status,
            HTTPHeaderDict(reply.headers),
            is_own_call=True,
        )
        if reply.status == 412:
            raise StaleFencingToken(
                f"engine {engine.upstream_id} saw a higher fencing token"
            )
        if reply.status not in (200, 202):
            raise PlatformRefused(
                f"engine {engine.upstream_id} answered /v1/order with status"
                f" {reply.status}, expected 200 or 202"
            )

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
            raise PlatformRefused(
                f"platform answered {path} with status {reply.status}, expected 200"
            )

    def _call(
        self,
        address: Address,
        path: str,
        body: dict[str, object],
        headers: tuple[tuple[str, str], ...],
    ) -> HttpReply:
        json_headers = (*headers, ("Content-Type", "application/json"))
        request = HttpRequest("POST", path, json_headers, encode_json(body))
        try:
            return exchange(
                address,
                request,
                CALL_TIMEOUT_SECONDS,
                socket_options=ORDER_SOCKET_OPTIONS,
                max_body_bytes=MAX_ANSWER_BYTES,
            )
        except NotSent as error:
            raise PlatformUnavailable(str(error), False) from error
        except AnswerMissing as error:
            raise PlatformUnavailable(str(error), True) from error


def fence_token(epoch: int) -> int:
    """
    Return the fencing token of an epoch.

    Offsets start at 0, fencing tokens at 1.

    :param epoch: Offset of the claim in the log.
    """
    return epoch + 1
