"""In-process fakes for unit tests."""

from waxwing_testbed.fakes._clock import ManualClock
from waxwing_testbed.fakes._log import AppendFault, MemoryLog

__all__ = ["AppendFault", "ManualClock", "MemoryLog"]
