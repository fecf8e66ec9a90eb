import json
from http import HTTPStatus
from typing import Any

import pytest

from waxwing_testbed.fakes import MemoryLog
from waxwingwinch._exceptions import Outcome
from waxwingwinch._types import (
    Address,
    CustomerId,
    InstanceId,
    ModelName,
    PriceClass,
    UpstreamId,
    UpstreamKind,
    UpstreamState,
    ZoneName,
)
from waxwingwinch.configuration import (
    AddKey,
    Change,
    ConfigurationChange,
    Finding,
    PutCustomer,
    SetDefault,
    create_key,
    wrap_change,
)
from waxwingwinch.configuration.service import (
    ConfigurationService,
    WithdrawalCoordinator,
)
from waxwingwinch.contracts import DecisionKind, Freshness, Reason, UpstreamView
from waxwingwinch.interfaces import ListedUpstream
from waxwingwinch.kernel import Health, SystemClock
from waxwingwinch.observability import LatencyKind, MetricKey, Metrics, RequestResult
from waxwingwinch.operators_api import (
    OPEN_ROUTES,
    ApiAnswer,
    ApiRequest,
    BodyInvalid,
    ChangeRequest,
    ConfigurationView,
    FindingsView,
    HistoryView,
    MetricsReporter,
    MetricsView,
    OperatorRequests,
    PublishedView,
    ReasonsView,
    UnavailableView,
    WithdrawalView,
    WithdrawRequest,
    read_body,
    write_body,
)
from waxwingwinch.settings import OperatorToken

WAIT_SECONDS = 20.0
CLOCK = SystemClock()
SELF = InstanceId("i0")
REASON = Reason(DecisionKind.ROUTED, "r1", 0.0, "The engine was idle.")


class OneEngine:
    """A fleet of one cheap engine."""

    def all(self) -> tuple[UpstreamView, ...]:
        listed = ListedUpstream(
            UpstreamId("e1"),
            UpstreamKind.ENGINE,
            Address("127.0.0.1", 1),
            ZoneName("cebu"),
            PriceClass.CHEAP,
            1.5,
            UpstreamState.ACTIVE,
        )
        return (UpstreamView(listed, UpstreamState.ACTIVE),)

    def engines(self, model: ModelName) -> tuple[UpstreamView, ...]:
        return self.all()

    def plain(self, service: str) -> tuple[UpstreamView, ...]:
        return ()

    def fleet_offset(self) -> int:
        return 0


class Alone:
    """An instance without others."""

    def expected_instances(self) -> int:
        return 1

    def instances(self, now_seconds: float) -> tuple[Any, ...]:
        return ()

    def broadcast(self, notice: Any, timeout_seconds: float) -> frozenset[InstanceId]:
        return frozenset()

    def about(self, name: str) -> tuple[Reason, ...]:
        return (REASON,) if name == "r1" else ()

    def add(self, reason: Reason) -> None:
        raise AssertionError(reason)


@pytest.fixture
def log():
    return MemoryLog()


@pytest.fixture
def service(log):
    service = ConfigurationService(log, CLOCK, lambda _: Freshness.FRESH)
    service.start()
    service.follower.wait_until(service.is_ready, WAIT_SECONDS)
    yield service
    log.is_down = False
    service.stop()


@pytest.fixture
def drained():
    return []


@pytest.fixture
def requests(service, drained):
    alone = Alone()
    return OperatorRequests(
        configuration=service,
        withdrawals=WithdrawalCoordinator(service, alone, CLOCK, SELF, 0.0),
        instances=alone,
        decisions=alone,
        drain=drained.append,
        health=lambda: {"configuration": Health.HEALTHY},
        instance_id=SELF,
        tokens=[OperatorToken("ana", "ana-token"), OperatorToken("ben", "ben-token")],
    )


def body_of(version: int, *changes: Change, change_id: str = "c") -> bytes:
    items = tuple(wrap_change(change) for change in changes)
    return write_body(ChangeRequest(version, change_id, "test", items))


def ask(requests: OperatorRequests, method: str, path: str, **fields: Any) -> ApiAnswer:
    return requests.answer(ApiRequest(method, path, **fields), "ana", 0.0)


def test_tokens_name_operators(requests):
    assert requests.find_operator("ben-token") == "ben"
    assert requests.find_operator("ben-toke") is None
    assert requests.find_operator("") is None


def test_change_is_published_once_and_shown(requests):
    body = body_of(0, SetDefault("drain_seconds", 7.0))
    for _ in range(2):
        answer = ask(requests, "POST", "changes", body=body)
        assert answer == ApiAnswer(HTTPStatus.OK, PublishedView(1))
    shown = ask(requests, "GET", "configuration").body
    assert isinstance(shown, ConfigurationView)
    assert shown.configuration.defaults.drain_seconds == 7.0
    assert read_body(write_body(shown), ConfigurationView) == shown
    history = ask(requests, "GET", "history").body
    assert isinstance(history, HistoryView)
    (entry,) = history.entries
    assert (entry.operator, entry.summary) == ("ana", ("set drain_seconds to 7",))


def test_stale_change_conflicts_and_wrong_one_is_bad(requests):
    ask(requests, "POST", "changes", body=body_of(0, SetDefault("drain_seconds", 7.0)))
    stale = body_of(0, SetDefault("drain_seconds", 8.0), change_id="d")
    assert ask(requests, "POST", "changes", body=stale).status == HTTPStatus.CONFLICT
    wrong = body_of(1, SetDefault("drain_seconds", -1.0), change_id="e")
    assert ask(requests, "POST", "changes", body=wrong).status == HTTPStatus.BAD_REQUEST


@pytest.mark.parametrize(
    ("text", "place"),
    [
        (b"{", "body"),
        (b"[]", "body"),
        (b'"text"', "body"),
        (
            b'{"supersedes_version": "0", "change_id": "c", "reason": "r",'
            b' "changes": []}',
            "supersedes_version",
        ),
        (
            b'{"supersedes_version": 0, "change_id": "c", "reason": "r",'
            b' "changes": [{"set_default": {"setting": "x"}}]}',
            "changes[0].set_default.value",
        ),
    ],
)
def test_unreadable_bodies_get_findings(requests, text, place):
    answer = ask(requests, "POST", "changes", body=text)
    assert answer.status == HTTPStatus.BAD_REQUEST
    assert isinstance(answer.body, FindingsView)
    assert [finding.place for finding in answer.body.findings] == [place]


def test_all_findings_of_a_body_come_together():
    with pytest.raises(BodyInvalid) as caught:
        read_body(b'{"key_id": 1, "reasn": "r"}', WithdrawRequest)
    assert len(caught.value.findings) == 3


def test_outage_says_that_nothing_happened(requests, log, monkeypatch):
    monkeypatch.setattr(
        "waxwingwinch.operators_api._requests.PUBLISH_TIMEOUT_SECONDS", 0.3
    )
    log.is_down = True
    body = body_of(0, SetDefault("drain_seconds", 7.0))
    answer = ask(requests, "POST", "changes", body=body)
    assert answer.status == HTTPStatus.SERVICE_UNAVAILABLE
    assert isinstance(answer.body, UnavailableView)
    assert answer.body.outcome is Outcome.NOT_RUN


def test_withdrawal_of_a_known_key(requests, service):
    key = create_key("tahi-1").record
    tahi = CustomerId("tahi")
    body = body_of(0, PutCustomer(tahi, 1.0, 1.0), AddKey(tahi, key))
    ask(requests, "POST", "changes", body=body)
    wanted = write_body(WithdrawRequest("tahi-1", "lost"))
    answer = ask(requests, "POST", "withdrawals", body=wanted)
    assert answer.status == HTTPStatus.ACCEPTED
    assert service.is_withdrawn("tahi-1")
    shown = ask(requests, "GET", "withdrawals", name="tahi-1").body
    assert shown == WithdrawalView("tahi-1", (SELF,), 1, False, False)
    wrong = write_body(WithdrawRequest("tahi-2", "lost"))
    answer = ask(requests, "POST", "withdrawals", body=wrong)
    assert answer.body == FindingsView(
        (Finding("key_id", "unknown key 'tahi-2'", "tahi-1"),)
    )


def test_reasons_drain_and_unknown_paths(requests, drained):
    assert ask(requests, "GET", "reasons", name="r1").body == ReasonsView((REASON,))
    assert ask(requests, "POST", "drain").status == HTTPStatus.ACCEPTED
    assert drained == ["ana"]
    assert ask(requests, "GET", "drain").status == HTTPStatus.NOT_FOUND
    assert json.loads(write_body(ask(requests, "GET", "status").body))["health"]


def test_metrics_are_shown_with_promises(service):
    ask_change = ConfigurationChange(
        0, "ana", "c", "r", (wrap_change(PutCustomer(CustomerId("cebu"), 2.0, 4.0)),)
    )
    service.publish(ask_change, WAIT_SECONDS)
    metrics = Metrics()
    key = MetricKey(CustomerId("cebu"), "/v1/completions")
    metrics.record(key, LatencyKind.FIRST_TOKEN, 0.25)
    metrics.count(key, RequestResult.SERVED)
    reporter = MetricsReporter(SELF, "a", CLOCK, metrics, service, OneEngine())
    view = reporter.view()
    assert read_body(write_body(view), MetricsView) == view
    open_routes, promise = view.promises
    assert open_routes.customer_id == OPEN_ROUTES
    assert (promise.customer_id, promise.first_token_seconds) == ("cebu", 0.42)
    (price,) = view.upstreams
    assert (price.price_class, price.price_per_hour) == (PriceClass.CHEAP, 1.5)


def test_metrics_endpoint_exists_only_where_metrics_are(requests):
    answer = ask(requests, "GET", "metrics-snapshot")
    assert answer.status is HTTPStatus.NOT_FOUND
