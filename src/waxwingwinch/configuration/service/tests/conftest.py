import pytest


@pytest.fixture(autouse=True)
def short_polls(monkeypatch):
    """Readers of an empty log end soon, so that stopping them is quick."""
    monkeypatch.setattr("waxwingwinch.streams._follower.POLL_WAIT_SECONDS", 0.02)
