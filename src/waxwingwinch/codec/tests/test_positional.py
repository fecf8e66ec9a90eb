"""Messages with positional fields, also between different versions."""

import cbor2
import pytest
from attrs import field, frozen

from waxwingwinch._exceptions import MalformedMessage
from waxwingwinch.codec import decode_message, encode_message, message


@message("test_inner", is_positional=True)
@frozen
class Inner:
    name: str
    counts: dict[str, int] = field(factory=dict)


@message("test_outer", is_positional=True)
@frozen
class Outer:
    number: int
    inner: tuple[Inner, ...] = ()


def test_positional_message_round_trips_without_field_names():
    sent = Outer(3, (Inner("a", {"x": 1}), Inner("b")))
    payload = encode_message(sent)
    assert decode_message(payload) == sent
    assert b"counts" not in payload and b"number" not in payload


def test_added_field_is_ignored_by_older_and_defaulted_by_newer_readers():
    assert decode_message(cbor2.dumps(["test_outer", [3]])) == Outer(3)
    newer = cbor2.dumps(["test_outer", [3, [["a", {}, "new"]], "new"]])
    assert decode_message(newer) == Outer(3, (Inner("a"),))


def test_message_lacking_a_required_field_is_malformed():
    with pytest.raises(MalformedMessage):
        decode_message(cbor2.dumps(["test_outer", []]))


@message("test_kinds", is_positional=True)
@frozen
class Kinds:
    age_seconds: float
    epoch: int | None = None
    payload: bytes | None = None
    names: tuple[str, ...] = ()
    counts: dict[int, dict[str, int]] = field(factory=dict)


@pytest.mark.parametrize(
    "sent",
    [
        Kinds(1.5),
        Kinds(1, 3, b"x", ("a", "b"), {1: {"c": 2}}),
    ],
)
def test_plain_fields_round_trip(sent):
    received = decode_message(encode_message(sent))
    assert received == sent
    assert isinstance(received.names, tuple)


@pytest.mark.parametrize(
    "fields",
    [
        ["1.5"],
        [1.5, "3"],
        [1.5, None, "text"],
        [1.5, None, None, "names"],
        [1.5, None, None, [], [1]],
        "fields",
        {"age_seconds": 1.5},
    ],
)
def test_field_value_of_the_wrong_class_is_malformed(fields):
    with pytest.raises(MalformedMessage):
        decode_message(cbor2.dumps(["test_kinds", fields]))


# Guards against log lines of any length, since errors quote what was sent.
@pytest.mark.parametrize(
    "sent",
    [
        ["x" * 100_000, []],
        ["test_kinds", ["x" * 100_000]],
        "x" * 100_000,
    ],
)
def test_the_error_of_a_malformed_message_is_short(sent):
    with pytest.raises(MalformedMessage) as raised:
        decode_message(cbor2.dumps(sent))
    assert len(str(raised.value)) < 1_000
