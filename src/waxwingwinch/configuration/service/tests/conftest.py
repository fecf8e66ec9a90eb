import pytest


@pytest.fixture(autouse=True)
def short_polls(monkeypatch):
    """Shorten the poll of an empty log, so that followers stop quickly."""
    monkeypatch.setattr("waxwingwinch.streams._follower.POLL_WAIT_SECONDS", 0.02)
