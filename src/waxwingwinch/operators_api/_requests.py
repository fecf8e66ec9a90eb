"""Requests of operators, apart from HTTP."""

import hmac
from collections.abc import Callable, Sequence
from http import HTTPStatus
from typing import Protocol

from attrs import frozen

from waxwingwinch._exceptions import Outcome, PlatformUnavailable
from waxwingwinch._types import InstanceId
from waxwingwinch.configuration import (
    STALE_VERSION_PLACE,
    ConfigurationChange,
    Finding,
    Refused,
    closest_name,
)
from waxwingwinch.configuration.service import (
    ConfigurationService,
    Published,
    WithdrawalCoordinator,
    WithdrawalProgress,
)
from waxwingwinch.contracts import DecisionLog
from waxwingwinch.kernel import Health
from waxwingwinch.operators_api._describe import describe_changes
from waxwingwinch.operators_api._messages import (
    BodyInvalid,
    ChangeRequest,
    ConfigurationView,
    DrainedView,
    FindingsView,
    HistoryEntry,
    HistoryView,
    InstanceView,
    PublishedView,
    ReasonsView,
    StatusView,
    UnavailableView,
    WithdrawalView,
    WithdrawRequest,
    read_body,
)
from waxwingwinch.operators_api._metrics_view import MetricsView
from waxwingwinch.settings import OperatorToken

#: How long publishing may take.
PUBLISH_TIMEOUT_SECONDS = 5.0


class InstanceStates(Protocol):
    """What the membership tells operators."""

    def expected_instances(self) -> int:
        """Return how many instances there should be."""

    def instances(self, now_seconds: float) -> tuple[InstanceView, ...]:
        """
        Return the known instances, this one included.

        :param now_seconds: Monotonic time.
        """


@frozen
class ApiRequest:
    """
    A request.

    :param method: HTTP method.
    :param path: Path below the mount point, without slashes at its ends.
    :param name: The query parameter ``name``.
    :param body: The body.
    """

    method: str
    path: str
    name: str = ""
    body: bytes = b""


@frozen
class ApiAnswer:
    """
    An answer.

    :param status: HTTP status.
    :param body: An instance of one of the message classes.
    """

    status: HTTPStatus
    body: object


class OperatorRequests:
    """
    Answers operators.

    :param configuration: The configuration.
    :param withdrawals: Withdraws keys.
    :param instances: The instances and their heartbeats.
    :param decisions: Reasons of decisions.
    :param drain: Begins the planned stop of this instance; gets the name of
        the operator.
    :param health: Returns the state of the services.
    :param instance_id: This instance.
    :param tokens: Who may ask.
    :param metrics: Returns what was recorded; None if nothing is.
    """

    def __init__(
        self,
        configuration: ConfigurationService,
        withdrawals: WithdrawalCoordinator,
        instances: InstanceStates,
        decisions: DecisionLog,
        drain: Callable[[str], None],
        health: Callable[[], dict[str, Health]],
        instance_id: InstanceId,
        tokens: Sequence[OperatorToken],
        metrics: Callable[[], MetricsView] | None = None,
    ) -> None:
        self._configuration = configuration
        self._withdrawals = withdrawals
        self._instances = instances
        self._decisions = decisions
        self._drain = drain
        self._health = health
        self._instance_id = instance_id
        self._tokens = tuple(tokens)
        self._metrics = metrics

    def find_operator(self, token: str) -> str | None:
        """
        Return the operator that a token names; None if there is none.

        :param token: The bearer token.
        """
        found = None
        for known in self._tokens:
            # All are compared, so that the time tells nothing.
            if hmac.compare_digest(known.token.encode(), token.encode("utf-8")):
                found = known.name
        return found

    def answer(
        self, request: ApiRequest, operator: str, now_seconds: float
    ) -> ApiAnswer:
        """
        Answer a request of a known operator.

        :param request: The request.
        :param operator: Who asks.
        :param now_seconds: Monotonic time.
        """
        try:
            return self._route(request, operator, now_seconds)
        except BodyInvalid as error:
            return ApiAnswer(HTTPStatus.BAD_REQUEST, FindingsView(error.findings))
        except PlatformUnavailable as error:
            is_unknown = error.may_have_taken_effect
            outcome = Outcome.UNKNOWN if is_unknown else Outcome.NOT_RUN
            body = UnavailableView(str(error), outcome)
            return ApiAnswer(HTTPStatus.SERVICE_UNAVAILABLE, body)

    def _route(
        self, request: ApiRequest, operator: str, now_seconds: float
    ) -> ApiAnswer:
        match request.method, request.path:
            case "GET", "configuration":
                return self._show_configuration()
            case "POST", "changes":
                return self._publish(read_body(request.body, ChangeRequest), operator)
            case "GET", "history":
                return self._show_history()
            case "GET", "withdrawals":
                return self._show_withdrawal(request.name)
            case "POST", "withdrawals":
                wanted = read_body(request.body, WithdrawRequest)
                return self._withdraw(wanted, operator)
            case "GET", "status":
                return self._show_status(now_seconds)
            case "GET", "reasons":
                reasons = self._decisions.about(request.name)
                return ApiAnswer(HTTPStatus.OK, ReasonsView(reasons))
            case "GET", "metrics-snapshot" if self._metrics is not None:
                return ApiAnswer(HTTPStatus.OK, self._metrics())
            case "POST", "drain":
                self._drain(operator)
                body = DrainedView(self._instance_id)
                return ApiAnswer(HTTPStatus.ACCEPTED, body)
            case _:
                place = f"{request.method} {request.path}"
                return _refuse(HTTPStatus.NOT_FOUND, Finding(place, "does not exist"))

    def _show_configuration(self) -> ApiAnswer:
        if not self._configuration.is_ready():
            raise PlatformUnavailable("this instance has no configuration yet", False)
        configuration = self._configuration.current()
        withdrawn = tuple(sorted(self._configuration.withdrawn_key_ids()))
        body = ConfigurationView(configuration.version, configuration, withdrawn)
        return ApiAnswer(HTTPStatus.OK, body)

    def _publish(self, request: ChangeRequest, operator: str) -> ApiAnswer:
        if not request.change_id.strip():
            finding = Finding("change_id", "must not be empty")
            return _refuse(HTTPStatus.BAD_REQUEST, finding)
        change = ConfigurationChange(
            request.supersedes_version,
            operator,
            request.change_id,
            request.reason,
            request.changes,
        )
        match self._configuration.publish(change, PUBLISH_TIMEOUT_SECONDS):
            case Published(version):
                return ApiAnswer(HTTPStatus.OK, PublishedView(version))
            case Refused(findings):
                is_stale = any(
                    finding.place == STALE_VERSION_PLACE for finding in findings
                )
                status = HTTPStatus.CONFLICT if is_stale else HTTPStatus.BAD_REQUEST
                return ApiAnswer(status, FindingsView(findings))

    def _show_history(self) -> ApiAnswer:
        entries = tuple(
            HistoryEntry(
                entry.version,
                entry.change.operator,
                entry.change.change_id,
                entry.change.reason,
                describe_changes(entry.change),
            )
            for entry in self._configuration.history()
        )
        return ApiAnswer(HTTPStatus.OK, HistoryView(entries))

    def _withdraw(self, request: WithdrawRequest, operator: str) -> ApiAnswer:
        if not request.reason.strip():
            finding = Finding("reason", "a withdrawal needs a reason")
            return _refuse(HTTPStatus.BAD_REQUEST, finding)
        if not self._configuration.is_ready():
            raise PlatformUnavailable("this instance has no configuration yet", False)
        known = self._known_key_ids()
        if request.key_id not in known:
            suggestion = closest_name(request.key_id, known)
            finding = Finding("key_id", f"unknown key {request.key_id!r}", suggestion)
            return _refuse(HTTPStatus.BAD_REQUEST, finding)
        progress = self._withdrawals.begin(request.key_id, operator, request.reason)
        return ApiAnswer(HTTPStatus.ACCEPTED, _withdrawal_view(progress))

    def _known_key_ids(self) -> set[str]:
        customers = self._configuration.current().customers.values()
        configured = {key.key_id for item in customers for key in item.keys}
        return configured | self._configuration.withdrawn_key_ids()

    def _show_withdrawal(self, key_id: str) -> ApiAnswer:
        progress = self._withdrawals.progress(key_id)
        if progress is None:
            finding = Finding("name", f"no withdrawal of {key_id!r} was begun here")
            return _refuse(HTTPStatus.NOT_FOUND, finding)
        return ApiAnswer(HTTPStatus.OK, _withdrawal_view(progress))

    def _show_status(self, now_seconds: float) -> ApiAnswer:
        body = StatusView(
            self._instance_id,
            self._configuration.current().version,
            self._configuration.withdrawals_digest(),
            self._instances.expected_instances(),
            self._instances.instances(now_seconds),
            self._health(),
        )
        return ApiAnswer(HTTPStatus.OK, body)


def _refuse(status: HTTPStatus, finding: Finding) -> ApiAnswer:
    return ApiAnswer(status, FindingsView((finding,)))


def _withdrawal_view(progress: WithdrawalProgress) -> WithdrawalView:
    return WithdrawalView(
        progress.key_id,
        tuple(sorted(progress.confirmed)),
        progress.expected_instances,
        progress.is_logged,
        progress.is_accepted,
    )
