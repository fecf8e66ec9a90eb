"""Steps that send what no well-behaved caller or peer would send."""

import json
import time

import cbor2
from behave import then, when

from waxwing_testbed.deployment import SHARED_SECRET
from waxwing_testbed.history import CallOutcome
from waxwing_testbed.load import RawRequest, send_bytes, send_raw
from waxwing_testbed.scenario import (
    ORDER_PATH,
    OTHER,
    WIDE,
    instance_names,
    is_closed_after,
    key_of,
)

COMPLETIONS = "/v1/completions"
CHAT = "/v1/chat/completions"
MODEL = "tahi-assistant"
KEYED = (("Authorization", f"Bearer {key_of(WIDE)}"),)
#: More than the default limit of a body.
LARGE_BODY_BYTES = 1_048_577
#: More than the limit of a request head.
LARGE_HEADER_BYTES = 40_000
#: More than the limit of a message between peers.
LARGE_MESSAGE_BYTES = 64 * 1_024 * 1_024
#: How long a peer's link may take to be missed.
LINK_SECONDS = 3.0
STREAM_TOKENS = 250


def completion(**fields):
    """Make a completion request with some fields changed."""
    value = {"model": MODEL, "prompt": "a word", "max_tokens": 4, **fields}
    return RawRequest("POST", COMPLETIONS, json.dumps(value).encode(), KEYED)


def posted(body, path=COMPLETIONS, headers=KEYED):
    """Make a POST request."""
    return RawRequest("POST", path, body, headers)


REQUESTS = {
    "malformed JSON": posted(b'{"model": '),
    "JSON that is no object": posted(b"[1, 2]"),
    "deeply nested JSON": posted(b"[" * 100_000),
    "bad UTF-8": posted(b'{"model": "\xff\xfe"}'),
    "half a surrogate pair": completion(prompt="\ud800"),
    "a prompt that is a number": completion(prompt=7),
    "a chat without messages": posted(
        json.dumps({"model": MODEL, "messages": []}).encode(), CHAT
    ),
    "negative max_tokens": completion(max_tokens=-1),
    "max_tokens of 0": completion(max_tokens=0),
    "absurd max_tokens": completion(max_tokens=10**30),
    "max_tokens that is no integer": completion(max_tokens="many"),
    "an unknown model": completion(model="no-such-model"),
    "an unknown path": posted(b"{}", "/no/such/path"),
    "a path with dot segments": posted(b"{}", "/shop/catalogue/%2e%2e/orders"),
    "GET of completions": RawRequest("GET", COMPLETIONS, b"", KEYED),
    "GET of an order": RawRequest("GET", ORDER_PATH, b"", KEYED),
    "a body above the limit": posted(b"x" * LARGE_BODY_BYTES),
    "an absurd announced length": posted(
        b"", COMPLETIONS, (*KEYED, ("Content-Length", str(10**15)))
    ),
    "an oversized header": posted(
        b"{}", ORDER_PATH, (*KEYED, ("X-Large", "x" * LARGE_HEADER_BYTES))
    ),
    "a malformed idempotency key": posted(
        b"{}", ORDER_PATH, (*KEYED, ("Idempotency-Key", "x" * 500))
    ),
    "no key": posted(b"{}", ORDER_PATH, ()),
    "an unknown key": posted(
        b"{}", ORDER_PATH, (("Authorization", "Bearer not-a-key-of-anyone"),)
    ),
    "a key of another scheme": posted(
        b"{}", ORDER_PATH, (("Authorization", f"Basic {key_of(WIDE)}"),)
    ),
    "an operator without token": RawRequest("GET", "/operator/status"),
    "an operator with a caller key": RawRequest("GET", "/operator/status", b"", KEYED),
}
HEAD = f"POST {ORDER_PATH} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {key_of(WIDE)}"
BYTES = {
    "no HTTP": b"\x16\x03\x01 this is no request\r\n\r\n",
    "a negative length": f"{HEAD}\r\nContent-Length: -5\r\n\r\n".encode(),
    "a malformed chunk": (
        f"{HEAD}\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n{{}}\r\n0\r\n\r\n"
    ).encode(),
    "two different lengths": (
        f"{HEAD}\r\nContent-Length: 2\r\nContent-Length: 40\r\n\r\n{{}}"
    ).encode(),
    "a header without a colon": f"{HEAD}\r\nnocolon\r\n\r\n".encode(),
    "half a head": HEAD.encode(),
    "half a body": f"{HEAD}\r\nContent-Length: 40\r\n\r\n{{".encode(),
}
MESSAGES = {
    "broken CBOR": b"\xff\xff\x9f\x00",
    "an unknown message": cbor2.dumps({"type": "no_such_message", "body": {}}),
    "an oversized message": b"x" * LARGE_MESSAGE_BYTES,
}
SECRETS = {"none": "", "wrong": "not-the-secret-of-anyone", "right": SHARED_SECRET}


@when("other callers stream from all instances")
def step_others(context):
    world = context.world
    context.runs_before = len(world.executions())
    context.generations_before = count_generations(world)
    context.calls = [
        world.send_in_background(world.chat(STREAM_TOKENS), name, OTHER)
        for name in instance_names(world)
    ]
    expected = context.generations_before + len(context.calls)
    try:
        world.wait_until(lambda: count_generations(world) >= expected, "streams run")
    except Exception as error:
        raise AssertionError([call.result() for call in context.calls]) from error


@when("these requests are sent to {instance:w}")
def step_requests(context, instance):
    address = context.world.instance(instance).address
    context.answers = [
        (
            row["request"],
            int(row["status"]),
            send_raw(address, REQUESTS[row["request"]]),
        )
        for row in context.table
    ]


@when("these bytes are sent to {instance:w}")
def step_bytes(context, instance):
    address = context.world.instance(instance).address
    context.answers = [
        (row["bytes"], 0, send_bytes(address, BYTES[row["bytes"]]))
        for row in context.table
    ]


@when("these messages are sent to the peer port of {instance:w}")
def step_messages(context, instance):
    address = context.world.instance(instance).places.peer
    context.closed = [
        (
            row["message"],
            row["secret"],
            is_closed_after(address, MESSAGES[row["message"]], SECRETS[row["secret"]]),
        )
        for row in context.table
    ]


@then('each of them got its status and was told "{outcome}"')
def step_statuses(context, outcome):
    wrong = [
        (name, status, answer.status, answer.outcome, answer.body[:200])
        for name, status, answer in context.answers
        if answer.status != status or not is_clear(name, answer, outcome)
    ]
    assert not wrong, wrong


@then("each of them got an error of the caller")
def step_client_errors(context):
    wrong = [
        (name, answer.status, answer.body[:200])
        for name, _, answer in context.answers
        if not 400 <= answer.status < 500
    ]
    assert not wrong, wrong


@then('each of them was cut or told "{outcome}"')
def step_cut(context, outcome):
    wrong = [
        (name, answer.status, answer.body[:200])
        for name, _, answer in context.answers
        if answer.status and answer.outcome != outcome
    ]
    assert not wrong, wrong


@then("no upstream ran anything for i1")
def step_nothing_ran(context):
    world = context.world
    assert len(world.executions()) == context.runs_before
    expected = context.generations_before + len(context.calls)
    assert count_generations(world) == expected


@then("the other callers' streams are whole")
def step_others_whole(context):
    for call in context.calls:
        assert call.result().outcome is CallOutcome.WHOLE, call.result()


@then("each connection is closed")
def step_closed(context):
    left_open = [row for row in context.closed if not row[2]]
    assert not left_open, left_open


@then("{instance:w} still hears its peers")
def step_hears(context, instance):
    time.sleep(LINK_SECONDS)
    assert context.world.instance(instance).is_serving()


def is_clear(name, answer, outcome):
    """Tell whether an error says what it should."""
    if name.startswith("an operator"):
        # Not an error of the callers' interface.
        return True
    return answer.outcome == outcome and bool(answer.code)


def count_generations(world):
    """Return how many generations engines took."""
    journals = world.engine_journals().values()
    return sum(len(journal.generations) for journal in journals)
