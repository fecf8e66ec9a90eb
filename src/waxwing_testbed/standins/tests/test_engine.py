"""Model engines over real sockets."""

import contextlib
import threading

import pytest

from waxwing_testbed import expected_token
from waxwing_testbed.proxy import Direction, ProxyFaults
from waxwing_testbed.standins import Fault
from waxwingwinch._exceptions import OrderRefused, Outcome, UpstreamFailed
from waxwingwinch._types import EngineRole, Epoch
from waxwingwinch.interfaces import (
    EngineOrder,
    OrderResult,
    SetRole,
    StreamEnd,
    StreamPart,
)


def assert_cut(items):
    with pytest.raises(UpstreamFailed) as caught:
        list(items)
    assert caught.value.outcome is Outcome.UNKNOWN


def test_an_answer_is_whole_and_as_expected(fleet):
    *parts, end = fleet.stream()
    assert parts == [StreamPart(n, expected_token("a prompt", n)) for n in range(5)]
    assert isinstance(end, StreamEnd)


def test_streams_run_side_by_side(fleet):
    wrong = []

    def read(number):
        *parts, _ = fleet.stream(prompt=f"prompt {number}", max_tokens=20)
        texts = [expected_token(f"prompt {number}", n) for n in range(20)]
        if [part.text for part in parts] != texts:
            wrong.append(number)

    threads = [threading.Thread(target=read, args=(n,)) for n in range(40)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert wrong == []
    assert len(fleet.admin.engine_journal("first").generations) == 40


def test_a_prefilled_prompt_moves_to_another_engine(fleet):
    *parts, end = fleet.stream("first", prefill_only=True)
    assert parts == [] and end.output_tokens == 0
    source = fleet.addresses["first"]
    assert len(list(fleet.stream("second", kv_source=source))) == 6
    with pytest.raises(UpstreamFailed) as caught:
        fleet.stream("second", kv_source=source)
    assert caught.value.outcome is Outcome.NOT_RUN


def test_a_role_change_cuts_streams_and_is_run_once(fleet):
    address = fleet.addresses["first"]
    items = iter(fleet.stream(max_tokens=10_000))
    next(items)
    order = EngineOrder("o", Epoch(5), SetRole(EngineRole.DECODE))
    assert fleet.engine.order(address, order) is OrderResult.STARTED
    assert_cut(items)
    assert fleet.engine.order(address, order) is OrderResult.STARTED
    with pytest.raises(OrderRefused):
        old = EngineOrder("old", Epoch(4), SetRole(EngineRole.MIXED))
        fleet.engine.order(address, old)
    journal = fleet.admin.engine_journal("first")
    assert [row.result for row in journal.orders] == ["run", "repeated", "refused"]
    assert (journal.cut_streams, journal.cancelled) == (1, 0)


def test_an_engine_may_ignore_fencing_tokens(fleet):
    for number, epoch in enumerate((5, 4)):
        order = EngineOrder(f"o{number}", Epoch(epoch), SetRole(EngineRole.MIXED))
        fleet.engine.order(fleet.addresses["second"], order)
    journal = fleet.admin.engine_journal("second")
    assert [row.result for row in journal.orders] == ["run", "run"]


def test_a_lost_answer_to_an_order_comes_after_the_effect(fleet):
    fleet.admin.set_fault("first", "order", Fault(lose_answers_next=1))
    order = EngineOrder("o", Epoch(1), SetRole(EngineRole.DECODE))
    with pytest.raises(UpstreamFailed) as caught:
        fleet.engine.order(fleet.addresses["first"], order)
    assert caught.value.outcome is Outcome.UNKNOWN
    assert [row.result for row in fleet.admin.engine_journal("first").orders] == ["run"]


def test_a_crashing_prompt_cuts_the_others_and_the_engine_returns(fleet):
    items = iter(fleet.stream(max_tokens=10_000))
    next(items)
    with pytest.raises(UpstreamFailed) as caught:
        fleet.stream(prompt="go boom now")
    assert caught.value.outcome is Outcome.UNKNOWN
    assert_cut(items)
    wait_until_serving(fleet)
    assert len(list(fleet.stream())) == 6
    assert fleet.admin.engine_journal("first").crashes == 1


def wait_until_serving(fleet):
    for _ in range(400):
        with contextlib.suppress(UpstreamFailed):
            fleet.engine.load_report(fleet.addresses["first"])
            return
        threading.Event().wait(0.02)
    raise AssertionError("the engine did not come back")


def test_a_closed_stream_is_cancelled(fleet):
    stream = fleet.stream(max_tokens=10_000)
    next(iter(stream))
    stream.close()
    for _ in range(400):
        if fleet.admin.engine_journal("first").cancelled:
            return
        threading.Event().wait(0.02)
    raise AssertionError("the generation still runs")


def test_a_cancelled_generation_is_cut(fleet):
    items = iter(fleet.stream(max_tokens=10_000))
    next(items)
    fleet.engine.cancel(fleet.addresses["first"], "g-a prompt")
    assert_cut(items)


def test_a_cut_proxy_stalls_a_stream(fleet):
    items = iter(fleet.stream("proxy", max_tokens=10_000, idle_timeout_seconds=1.0))
    next(items)
    fleet.admin.set_proxy("proxy", ProxyFaults(cut=(Direction.BACKWARD,)))
    assert_cut(items)


def test_a_crossed_stream_is_rejected(fleet):
    fleet.admin.set_fault("first", "generate", Fault(wrong_request_id_next=1))
    assert_cut(fleet.stream())
    assert len(list(fleet.stream())) == 6


def test_fencing_tokens_outlast_a_crash(fleet):
    address = fleet.addresses["first"]
    fleet.engine.order(address, EngineOrder("o", Epoch(5), SetRole(EngineRole.MIXED)))
    fleet.admin.crash("first", 0.05)
    wait_until_serving(fleet)
    with pytest.raises(OrderRefused):
        old = EngineOrder("old", Epoch(4), SetRole(EngineRole.MIXED))
        fleet.engine.order(address, old)


def test_a_withdrawn_engine_refuses_connections(fleet):
    fleet.admin.crash("first", 0.0)
    fleet.admin.withdraw("first")
    with pytest.raises(UpstreamFailed) as caught:
        fleet.stream()
    assert caught.value.outcome is Outcome.NOT_RUN
