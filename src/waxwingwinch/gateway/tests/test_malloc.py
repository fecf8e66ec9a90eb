"""Settings of the allocator, and a C library without them."""

import ctypes

import pytest

from waxwingwinch.gateway import _malloc
from waxwingwinch.gateway._malloc import return_freed_memory


class Written:
    """Collects the log lines of a class that were written."""

    def __init__(self):
        self.reasons = []

    def __call__(self, reason):
        self.reasons.append(reason)
        return self

    def write(self):
        """Do nothing; the line is kept."""


@pytest.mark.parametrize(
    ("library", "reason"),
    [
        (object(), "AttributeError"),
        (type("Library", (), {"mallopt": lambda *_: 0})(), "accepted"),
    ],
)
def test_a_c_library_without_the_settings_is_logged(monkeypatch, library, reason):
    written = Written()
    monkeypatch.setattr(_malloc, "MallocUnchanged", written)
    monkeypatch.setattr(ctypes, "CDLL", lambda _: library)
    assert not return_freed_memory()
    (line,) = written.reasons
    assert reason in line
