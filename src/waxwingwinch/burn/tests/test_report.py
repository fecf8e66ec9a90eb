import csv
import io
import re

import pytest
from hypothesis import given, strategies as st
from rich.console import Console

from waxwingwinch._types import CustomerId, InstanceId, PriceClass, UpstreamId
from waxwingwinch.burn import (
    Objective,
    PriceOverrides,
    ReportOptions,
    SnapshotsInvalid,
    Window,
    append_snapshots,
    counters_between,
    make_report,
    print_report,
    read_snapshots,
    write_csv,
    write_html,
)
from waxwingwinch.observability import LatencyKind, MetricKey, Metrics, RequestResult
from waxwingwinch.operators_api import (
    OPEN_ROUTES,
    MetricsView,
    ServicePromise,
    UpstreamPrice,
)

ANNA, BERT, CLEO = CustomerId("anna"), CustomerId("bert"), CustomerId("cleo")
PROMISES = tuple(ServicePromise(name, 0.4, 0.05, 0.9) for name in (ANNA, BERT, CLEO))
FLEET = (
    UpstreamPrice(UpstreamId("e1"), PriceClass.ON_DEMAND, 3.0),
    UpstreamPrice(UpstreamId("e2"), PriceClass.CHEAP, 1.0),
)
OPTIONS = ReportOptions(short_seconds=60.0, long_seconds=600.0)


class Instance:
    """An instance that records answers and takes snapshots."""

    def __init__(self, name: str = "i1", incarnation: str = "a") -> None:
        self.name = InstanceId(name)
        self.incarnation = incarnation
        self.metrics = Metrics()

    def answer(
        self, customer_id: CustomerId, first_seconds: float, count: int = 1
    ) -> None:
        key = MetricKey(customer_id, "/v1/completions")
        late = first_seconds > 0.4
        for _ in range(count):
            self.metrics.record(key, LatencyKind.FIRST_TOKEN, first_seconds)
            self.metrics.record(key, LatencyKind.WHOLE_ANSWER, first_seconds + 1.0)
            result = RequestResult.LATE if late else RequestResult.SERVED
            self.metrics.count(key, result)

    def end(self, customer_id: CustomerId, result: RequestResult, count: int) -> None:
        key = MetricKey(customer_id, "/v1/completions")
        for _ in range(count):
            self.metrics.count(key, result)

    def view(self, wall_seconds: float, fleet=FLEET) -> MetricsView:
        snapshot = self.metrics.snapshot()
        return MetricsView(
            self.name, self.incarnation, wall_seconds, snapshot, PROMISES, fleet
        )


def objective_of(report, customer_id, objective):
    (customer,) = (c for c in report.customers if c.customer_id == customer_id)
    (found,) = (o for o in customer.objectives if o.objective is objective)
    return found


def test_burn_is_bad_share_over_allowed_share_of_all_instances():
    one, two = Instance("i1"), Instance("i2")
    one.answer(ANNA, 0.1, 15)
    two.answer(ANNA, 0.9, 5)
    report = make_report([one.view(1000.0), two.view(1000.2)], OPTIONS)
    first = objective_of(report, ANNA, Objective.FIRST_TOKEN)
    assert (first.period.total, first.period.bad) == (20, 5)
    assert first.long_burn_rate == pytest.approx(2.5)
    assert first.budget_left_ratio == pytest.approx(-1.5)


@given(st.lists(st.floats(0.001, 30.0), min_size=1, max_size=50))
def test_times_agree_with_the_histogram(times_seconds):
    metrics = Metrics()
    for seconds in times_seconds:
        metrics.record(MetricKey(ANNA, "/x"), LatencyKind.FIRST_TOKEN, seconds)
    view = MetricsView(InstanceId("i1"), "a", 0.0, metrics.snapshot())
    counters = counters_between([view], Window(-1.0, 0.0))[ANNA]
    median = view.metrics.latencies[0].decode().get_value_at_percentile(50)
    assert counters.quantile_seconds(LatencyKind.FIRST_TOKEN, 0.5) == median / 1e6
    assert counters.events(LatencyKind.FIRST_TOKEN) == len(times_seconds)
    assert counters.slower(LatencyKind.FIRST_TOKEN, 31.0) == 0
    assert counters.slower(LatencyKind.FIRST_TOKEN, 0.0) == len(times_seconds)


def test_windows_leave_out_what_came_before():
    instance = Instance()
    instance.answer(ANNA, 0.9, 10)
    views = [instance.view(1000.0)]
    instance.answer(ANNA, 0.1, 10)
    views.append(instance.view(1590.0))
    instance.answer(ANNA, 0.9, 4)
    views.append(instance.view(1650.0))
    first = objective_of(make_report(views, OPTIONS), ANNA, Objective.FIRST_TOKEN)
    assert (first.period.total, first.period.bad) == (24, 14)
    assert (first.long_window.total, first.long_window.bad) == (14, 4)
    assert (first.short_window.total, first.short_window.bad) == (4, 4)


@pytest.mark.parametrize("names", [("old", "new"), ("same", "same")])
def test_window_of_a_restarted_or_replaced_instance_counts_both(names):
    old, new = Instance(names[0], "a"), Instance(names[1], "b")
    old.answer(ANNA, 0.1, 3)
    views = [old.view(0.0)]
    old.answer(ANNA, 0.1, 5)
    views.append(old.view(700.0))
    new.answer(ANNA, 0.9, 2)
    views.append(new.view(1000.0))
    first = objective_of(make_report(views, OPTIONS), ANNA, Objective.FIRST_TOKEN)
    assert (first.long_window.total, first.long_window.bad) == (7, 2)
    assert (first.period.total, first.period.bad) == (10, 2)


def test_refusals_over_the_rate_spend_no_budget():
    instance = Instance()
    instance.answer(ANNA, 0.1, 98)
    instance.end(ANNA, RequestResult.REFUSED_WITHIN_RATE, 2)
    instance.end(ANNA, RequestResult.REFUSED_OVER_RATE, 500)
    report = make_report([instance.view(0.0)], OPTIONS)
    admission = objective_of(report, ANNA, Objective.ADMISSION)
    assert (admission.period.total, admission.period.bad) == (100, 2)
    assert admission.long_burn_rate == pytest.approx(2.0)
    assert report.customers[0].refused_over_rate == 500


def test_failed_answers_spend_the_budget_of_whole_answers():
    instance = Instance()
    instance.answer(ANNA, 0.1, 9)
    instance.end(ANNA, RequestResult.FAILED, 1)
    report = make_report([instance.view(0.0)], OPTIONS)
    whole = objective_of(report, ANNA, Objective.WHOLE_ANSWERS)
    assert whole.long_burn_rate == pytest.approx(100.0)


@given(st.permutations([(ANNA, 1), (BERT, 3), (CLEO, 0)]))
def test_worst_served_customer_comes_first(late_answers):
    instance = Instance()
    for customer_id, count in late_answers:
        instance.answer(customer_id, 0.1, 10 - count)
        instance.answer(customer_id, 0.9, count)
    report = make_report([instance.view(0.0)], OPTIONS)
    assert [item.customer_id for item in report.customers] == [BERT, ANNA, CLEO]


def test_customers_without_traffic_are_listed_last():
    instance = Instance()
    instance.answer(BERT, 0.1)
    report = make_report([instance.view(0.0)], OPTIONS)
    assert [item.customer_id for item in report.customers] == [BERT, ANNA, CLEO]
    assert [item.has_traffic for item in report.customers] == [True, False, False]


def test_records_without_promise_and_missing_entries_are_noted():
    instance = Instance()
    instance.answer(CustomerId("gone"), 0.1)
    report = make_report([instance.view(0.0)], OPTIONS, ["127.0.0.9:80: refused"])
    assert any("127.0.0.9:80" in note for note in report.notes)
    assert any("gone" in note for note in report.notes)
    assert any("short window" in note for note in report.notes)


def test_spend_follows_the_fleet_and_is_divided_by_answer_time():
    instance = Instance()
    instance.answer(ANNA, 0.1)
    views = [instance.view(0.0)]
    instance.answer(ANNA, 0.1, 3)
    instance.answer(BERT, 0.1, 1)
    views.append(instance.view(1800.0, FLEET[:1]))
    views.append(instance.view(3600.0))
    report = make_report(views, OPTIONS)
    assert report.spend.on_demand == pytest.approx(3.0)
    assert report.spend.cheap == pytest.approx(0.5)
    assert report.spend.present_per_hour == pytest.approx(4.0)
    costs = {item.customer_id: item.cost for item in report.customers}
    assert costs[ANNA] == pytest.approx(3 * costs[BERT])
    assert sum(costs.values()) == pytest.approx(report.spend.total)


def test_prices_can_be_replaced():
    views = [Instance().view(0.0), Instance().view(3600.0)]
    options = ReportOptions(prices=PriceOverrides(10.0, 0.0))
    spend = make_report(views, options).spend
    assert spend.on_demand == pytest.approx(10.0)
    assert spend.cheap == 0.0


def test_instances_without_upstreams_do_not_lower_the_spend():
    views = [
        Instance("i1").view(0.0),
        Instance("i2").view(0.1, ()),
        Instance("i1").view(3600.0),
    ]
    assert make_report(views, OPTIONS).spend.total == pytest.approx(4.0)


def test_files_keep_snapshots_and_report_all_findings(tmp_path):
    instance = Instance()
    instance.answer(ANNA, 0.1)
    path = tmp_path / "day.jsonl"
    append_snapshots(path, [instance.view(1.0)])
    append_snapshots(path, [instance.view(2.0)])
    assert read_snapshots([path]) == (instance.view(1.0), instance.view(2.0))
    with path.open("a") as stream:
        stream.write('{"instance_id": 3}\n')
    with pytest.raises(SnapshotsInvalid) as caught:
        read_snapshots([path, tmp_path / "none.jsonl"])
    texts = [str(error) for error in caught.value.exceptions]
    assert len(texts) == 2
    assert "day.jsonl:3" in texts[0]


def busy_report():
    instance = Instance()
    views = []
    for step in range(5):
        instance.answer(ANNA, 0.1 + 0.2 * step, 10)
        instance.answer(BERT, 0.2, 10)
        instance.end(BERT, RequestResult.REFUSED_WITHIN_RATE, step)
        views.append(instance.view(60.0 * step))
    return make_report(views, OPTIONS)


def test_csv_has_a_line_for_each_customer_and_objective():
    stream = io.StringIO()
    write_csv(busy_report(), stream)
    rows = list(csv.DictReader(io.StringIO(stream.getvalue())))
    assert len(rows) == 3 * len(Objective)
    assert {row["customer"] for row in rows[:4]} == {BERT}
    assert {row["rank"] for row in rows[:4]} == {"1"}


def test_text_names_all_customers_and_the_spend():
    stream = io.StringIO()
    print_report(busy_report(), Console(file=stream, width=160))
    assert all(name in stream.getvalue() for name in (ANNA, BERT, CLEO))
    assert "Upstream spend over 240 s" in stream.getvalue()


def test_callers_of_open_routes_are_named_in_all_formats():
    instance = Instance()
    instance.end(OPEN_ROUTES, RequestResult.SERVED, 3)
    promise = ServicePromise(OPEN_ROUTES, 0.4, 0.05, 0.9)
    view = MetricsView(instance.name, "a", 0.0, instance.metrics.snapshot(), (promise,))
    report = make_report([view], OPTIONS)
    text, table = io.StringIO(), io.StringIO()
    print_report(report, Console(file=text, width=160))
    write_csv(report, table)
    for written in (text.getvalue(), table.getvalue(), write_html(report)):
        assert "(open routes)" in written


def test_page_is_self_contained_and_escapes_names():
    instance = Instance()
    name = CustomerId("<script>alert(1)</script>")
    instance.answer(name, 0.1)
    view = MetricsView(
        instance.name,
        instance.incarnation,
        0.0,
        instance.metrics.snapshot(),
        (ServicePromise(name, 0.4, 0.05, 0.9),),
    )
    page = write_html(make_report([view], OPTIONS))
    assert "<script" not in page
    assert "<svg" in page
    links = re.findall(r'(?:href|src)="([^"]*)"', page)
    assert [link for link in links if not link.startswith("#")] == []
    assert re.findall(r"@import|url\((?!#)", page) == []


def test_page_draws_the_course_of_several_snapshots():
    assert write_html(busy_report()).count("<svg") == 2
