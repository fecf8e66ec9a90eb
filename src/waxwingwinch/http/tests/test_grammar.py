"""Which bytes the elements of a response may hold."""

import re

import pytest
from hypothesis import given, strategies as st

from waxwingwinch.http import AnswerMalformed
from waxwingwinch.http._grammar import (
    MAX_SHOWN_BYTES,
    malformed,
    parse_field,
    parse_status_line,
)

TOKEN = re.compile(rb"[A-Za-z0-9!#$%&'*+.^_`|~-]")
CONTROLS = [byte for byte in (*range(0x20), 0x7F) if byte != ord("\t")]
VALUES = st.lists(st.integers(0, 255).filter(lambda byte: byte not in CONTROLS))


@pytest.mark.parametrize("byte", range(256))
def test_names_are_tokens(byte):
    name = b"X%bA" % bytes([byte])
    if TOKEN.fullmatch(bytes([byte])):
        assert parse_field(name + b":v") == (name.decode(), "v")
    elif byte == ord(":"):
        assert parse_field(name + b":v") == ("X", "A:v")
    else:
        with pytest.raises(AnswerMalformed):
            parse_field(name + b":v")


@given(VALUES.map(bytes))
def test_values_are_kept_without_the_blanks_around_them(value):
    expected = value.strip(b" \t").decode("latin-1")
    assert parse_field(b"X: " + value) == ("X", expected)


@given(VALUES.map(bytes), st.sampled_from(CONTROLS), VALUES.map(bytes))
def test_control_bytes_are_refused(start, control, end):
    text = start + bytes([control]) + end
    with pytest.raises(AnswerMalformed):
        parse_field(b"X: " + text)
    with pytest.raises(AnswerMalformed):
        parse_status_line(b"HTTP/1.1 200 " + text)


@given(st.binary(max_size=20))
def test_a_line_is_a_field_or_malformed(line):
    try:
        name, value = parse_field(line)
    except AnswerMalformed:
        return
    assert line.startswith(name.encode() + b":")
    assert line.endswith(value.encode("latin-1") + line[len(line.rstrip(b" \t")) :])


@pytest.mark.parametrize("status", range(1_000))
def test_statuses_are_those_of_responses(status):
    line = b"HTTP/1.1 %03d Text" % status
    if 100 <= status <= 599:
        assert parse_status_line(line).status == status
    else:
        with pytest.raises(AnswerMalformed):
            parse_status_line(line)


# Guards against logs that grow with what an engine sends.
def test_errors_show_a_bounded_part_of_the_bytes():
    text = str(malformed("field", b"\xff\n" * 30_000))
    assert len(text) < 5 * MAX_SHOWN_BYTES
    assert text.isascii() and "\n" not in text
    assert str(malformed("field", b"a\x00")) == "malformed field: b'a\\x00'"
