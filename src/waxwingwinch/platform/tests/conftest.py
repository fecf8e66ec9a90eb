"""Fixtures of tests with real gateway processes."""

import pytest

from waxwingwinch.platform.tests.standin import (
    Gateway,
    StoreStandin,
    make_configuration,
)


@pytest.fixture
def store():
    store = StoreStandin()
    store.put("op", "config", make_configuration(1))
    yield store
    store.stop()


@pytest.fixture
def gateways():
    started: list[Gateway] = []
    yield started
    for gateway in started:
        gateway.stop()
