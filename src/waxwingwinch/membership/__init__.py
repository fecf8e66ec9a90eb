"""Which instances there are, and what their heartbeats say."""

from waxwingwinch.membership._messages import Heartbeat

__all__ = ["Heartbeat"]
