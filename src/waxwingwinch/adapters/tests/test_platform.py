import json
import socket
import struct

import pytest

from waxwingwinch._exceptions import (
    PlatformRefused,
    PlatformUnavailable,
    RecordsExpired,
)
from waxwingwinch._types import EngineRole, Epoch, ModelName, PriceClass, ZoneName
from waxwingwinch.adapters import (
    HttpInstanceList,
    HttpPlatformLog,
    HttpUpstreamMarket,
    make_wire_converter,
)
from waxwingwinch.adapters.tests._raw_server import closed_port, raw_server
from waxwingwinch.http import ORDER_SOCKET_OPTIONS, Exchange, HttpRequest
from waxwingwinch.interfaces import MarketOrder, OrderUpstream


def answer(status: bytes, value: object, headers: bytes = b"") -> bytes:
    body = json.dumps(value).encode()
    head = b"HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n" % (status, headers, len(body))
    return head + body


def test_only_a_refused_connection_certainly_had_no_effect():
    with closed_port() as address, pytest.raises(PlatformUnavailable) as caught:
        HttpPlatformLog(address).append("s", [b"x"], 1.0)
    assert not caught.value.may_have_taken_effect


@pytest.mark.parametrize(
    "sent",
    [b"", answer(b"503 Down", {}), answer(b"200 OK", {"other": 1})],
    ids=["no answer", "outage", "malformed"],
)
def test_any_other_failure_may_have_had_an_effect(sent):
    with raw_server(sent) as address, pytest.raises(PlatformUnavailable) as caught:
        HttpPlatformLog(address).append("s", [b"x"], 1.0)
    assert caught.value.may_have_taken_effect


def test_the_append_rate_limit_names_the_time_to_come_back():
    sent = answer(b"429 Busy", {}, b"Retry-After: 0.5\r\n")
    with raw_server(sent) as address, pytest.raises(PlatformRefused) as caught:
        HttpPlatformLog(address).append("s", [b"x"], 1.0)
    assert caught.value.retry_after_seconds == 0.5


def test_expired_records_name_the_first_offset():
    sent = answer(b"410 Gone", {"first_offset": 7})
    with raw_server(sent) as address, pytest.raises(RecordsExpired) as caught:
        HttpPlatformLog(address).read("s", 0, 0.0, 1.0)
    assert caught.value.first_offset == 7


def test_records_of_other_offsets_are_rejected():
    records = [{"offset": 5, "payload": ""}]
    sent = answer(b"200 OK", {"first_offset": 0, "end_offset": 6, "records": records})
    with raw_server(sent) as address, pytest.raises(PlatformUnavailable):
        HttpPlatformLog(address).read("s", 4, 0.0, 1.0)


def test_a_malformed_list_is_rejected():
    with raw_server(answer(b"200 OK", [{}])) as address:
        with pytest.raises(PlatformUnavailable):
            HttpInstanceList(address).list_instances()


def test_an_order_carries_the_kind_of_its_action():
    action = OrderUpstream(
        ZoneName("z"), PriceClass.CHEAP, ModelName("m"), EngineRole.MIXED
    )
    order = MarketOrder("o", Epoch(1), action)
    value = make_wire_converter().unstructure(order)
    assert value["action"]["kind"] == "order_upstream"
    assert make_wire_converter().structure(value, MarketOrder) == order


def test_a_refused_order_is_told_from_a_lost_one():
    action = OrderUpstream(
        ZoneName("z"), PriceClass.CHEAP, ModelName("m"), EngineRole.MIXED
    )
    order = MarketOrder("o", Epoch(1), action)
    with raw_server(answer(b"409 Refused", {})) as address:
        with pytest.raises(PlatformRefused):
            HttpUpstreamMarket(address).place(order)
    with raw_server(b"") as address, pytest.raises(PlatformUnavailable) as caught:
        HttpUpstreamMarket(address).place(order)
    assert caught.value.may_have_taken_effect


def test_connections_of_orders_discard_unsent_bytes():
    with raw_server(answer(b"200 OK", {}), keep_open=True) as address:
        request = HttpRequest("GET", "/")
        sent = Exchange(address, request, 1.0, 1.0, ORDER_SOCKET_OPTIONS)
        sock = sent._socket
        linger = sock.getsockopt(socket.SOL_SOCKET, socket.SO_LINGER, 8)
        user_timeout = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
        sent.close()
    assert struct.unpack("ii", linger) == (1, 0)
    assert user_timeout == 2_000
