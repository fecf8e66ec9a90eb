"""Messages without the names of their fields, between different versions."""

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


def test_message_comes_back_without_the_names_of_its_fields():
    sent = Outer(3, (Inner("a", {"x": 1}), Inner("b")))
    payload = encode_message(sent)
    assert decode_message(payload) == sent
    assert b"counts" not in payload and b"number" not in payload


def test_a_field_that_was_added_later_is_left_out_or_has_its_default():
    assert decode_message(cbor2.dumps(["test_outer", [3]])) == Outer(3)
    newer = cbor2.dumps(["test_outer", [3, [["a", {}, "new"]], "new"]])
    assert decode_message(newer) == Outer(3, (Inner("a"),))


def test_a_message_without_a_field_that_has_no_default_is_malformed():
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
def test_plain_fields_come_back_as_they_were(sent):
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
def test_a_field_of_another_class_is_malformed(fields):
    with pytest.raises(MalformedMessage):
        decode_message(cbor2.dumps(["test_kinds", fields]))
