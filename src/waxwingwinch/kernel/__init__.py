"""Service registry, service life cycle and clocks of a process."""

from waxwingwinch.kernel._clock import Clock, SteadyWallClock, SystemClock
from waxwingwinch.kernel._registry import Health, Registry, Service

__all__ = ["Clock", "Health", "Registry", "Service", "SteadyWallClock", "SystemClock"]
