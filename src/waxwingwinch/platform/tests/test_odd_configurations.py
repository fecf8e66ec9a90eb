"""Configurations with values that no reader expects."""

import json

import pytest
from hypothesis import given, strategies

from waxwingwinch._exceptions import MalformedMessage
from waxwingwinch.gateway import GatewayConfiguration
from waxwingwinch.platform._configuration import decode_configuration
from waxwingwinch.platform.tests.test_decoding import CONFIGURATION
from waxwingwinch.platform.tests.test_registration_records import (
    DEEP_LIST,
    json_values,
)

#: Maximum length of the text of an error, which is logged.
MAX_ERROR_CHARACTERS = 2_000
ODD_NUMBERS = [b"9" * 400, b"1e400", b"NaN", b"-Infinity", b"true", b'"7"', b"[]"]
ODD_TEXTS = [b"7", b"true", b"[]", b"{}", b'"\\ud800"', b'"a\\r\\nb"', b'""', DEEP_LIST]


def with_value(path, raw_value):
    """Encode the configuration with a raw value at a path."""
    wire = json.loads(json.dumps(CONFIGURATION))
    parent = wire
    for step in path[:-1]:
        parent = parent[step]
    parent[path[-1]] = "RAW"
    return json.dumps(wire).encode().replace(b'"RAW"', raw_value)


def assert_malformed(payload):
    with pytest.raises(MalformedMessage) as raised:
        decode_configuration(payload)
    assert len(str(raised.value)) <= MAX_ERROR_CHARACTERS


@pytest.mark.parametrize("payload", [DEEP_LIST, with_value(("other",), DEEP_LIST)])
def test_a_deeply_nested_configuration_is_malformed(payload):
    assert_malformed(payload)


# Guards against versions that end the thread that applies them, or that fail
# at each request.
@pytest.mark.parametrize("number", ODD_NUMBERS)
@pytest.mark.parametrize(
    "path",
    [
        ("version",),
        ("routes", 0, "timeoutMs"),
        ("routes", 0, "sloMs"),
        ("routes", 0, "priority"),
        ("routes", 0, "attempts"),
        ("routes", 0, "split", 0, "weight"),
        ("services", 0, "engine", "slots"),
        ("services", 0, "engine", "kvCapacity"),
        ("services", 0, "engine", "stageSwitchS"),
        ("services", 0, "scaling", "min"),
        ("services", 0, "scaling", "max"),
        ("services", 0, "scaling", "bootS"),
        ("services", 0, "scaling", "spotPrice"),
        ("services", 0, "scaling", "zonePrices", "north"),
        ("limits", "maxHeaderBytes"),
        ("limits", "maxBodyBytes"),
        ("limits", "headerTimeoutMs"),
        ("limits", "idleTimeoutMs"),
        ("tenants", 0, "plainTokens"),
        ("tenants", 0, "ratePerS"),
        ("tenants", 0, "burst"),
        ("tenants", 0, "priority"),
    ],
)
def test_an_odd_number_in_a_configuration_is_malformed(path, number):
    assert_malformed(with_value(path, number))


@pytest.mark.parametrize("text", ODD_TEXTS)
@pytest.mark.parametrize(
    "path",
    [
        ("routes", 0, "name"),
        ("routes", 0, "host"),
        ("routes", 0, "pathPrefix"),
        ("routes", 0, "routeKind"),
        ("routes", 0, "split", 0, "service"),
        ("routes", 1, "service"),
        ("services", 0, "name"),
        ("tenants", 0, "name"),
        ("tenants", 0, "apiKeys", 0),
    ],
)
def test_an_odd_text_in_a_configuration_is_malformed(path, text):
    if (path[-1], text) == ("pathPrefix", b'""'):
        return
    assert_malformed(with_value(path, text))


def test_an_empty_path_prefix_is_valid():
    decoded = decode_configuration(with_value(("routes", 0, "pathPrefix"), b'""'))
    assert decoded.routes[0].path_prefix == ""


@pytest.mark.parametrize("flag", [b"1", b'"yes"', b"[]"])
@pytest.mark.parametrize("name", ["public", "resumable"])
def test_an_odd_flag_in_a_configuration_is_malformed(name, flag):
    assert_malformed(with_value(("routes", 0, name), flag))


@pytest.mark.parametrize("name", ["routes", "services", "tenants", "limits"])
@pytest.mark.parametrize("value", [b"7", b'"text"', b"null", b'{"a": 1}', b'["a"]'])
def test_an_odd_section_of_a_configuration_is_malformed(name, value):
    if name == "limits" and value == b'{"a": 1}':
        return
    assert_malformed(with_value((name,), value))


@given(strategies.sampled_from(sorted(CONFIGURATION)), json_values)
def test_any_section_is_decoded_or_malformed(name, value):
    payload = json.dumps({**CONFIGURATION, name: value}).encode()
    try:
        assert isinstance(decode_configuration(payload), GatewayConfiguration)
    except MalformedMessage as error:
        assert len(str(error)) <= MAX_ERROR_CHARACTERS


# Guards against a shortcut for configurations in UTF-8 that lets a lone
# surrogate pass, which breaks the encoding of log lines.
@pytest.mark.parametrize(
    "name",
    [b'"\\ud800"', b'"\\uDfff"', b'"\xed\xa0\x80"', '"\\ud800"'.encode("utf-16")],
)
def test_lone_surrogates_are_rejected_in_every_encoding(name):
    payload = b'{"version": 1, "tenants": [{"name": ' + name + b"}]}"
    if name.startswith(b"\xff\xfe"):
        payload = '{"version": 1, "tenants": [{"\\ud800": 1}]}'.encode("utf-16")
    with pytest.raises(MalformedMessage, match="surrogate"):
        decode_configuration(payload)


# Guards against a nesting that exceeds the recursion of later steps.
@pytest.mark.parametrize("levels", [30, 31, 32, 5_000])
def test_nesting_is_bounded(levels):
    payload = b'{"version": 1, "x": ' + b"[" * levels + b"1" + b"]" * levels + b"}"
    if levels <= 31:
        assert decode_configuration(payload).version == 1
        return
    with pytest.raises(MalformedMessage, match="nested deeper"):
        decode_configuration(payload)
