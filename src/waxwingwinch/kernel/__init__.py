"""Service registry, service life cycle, clocks and ports of a process."""

from waxwingwinch.kernel._binding import (
    BIND_RETRY_SECONDS,
    BindAbandoned,
    bind_when_free,
    is_port_in_use,
    log_port_in_use,
)
from waxwingwinch.kernel._clock import Clock, SteadyWallClock, SystemClock
from waxwingwinch.kernel._registry import Health, Registry, Service
from waxwingwinch.kernel._socket_filter import drop_new_handshakes

__all__ = [
    "BIND_RETRY_SECONDS",
    "BindAbandoned",
    "Clock",
    "Health",
    "Registry",
    "Service",
    "SteadyWallClock",
    "SystemClock",
    "bind_when_free",
    "drop_new_handshakes",
    "is_port_in_use",
    "log_port_in_use",
]
