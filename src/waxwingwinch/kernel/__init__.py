"""The micro-kernel: services that find each other by name."""

from waxwingwinch.kernel._clock import Clock, SteadyWallClock, SystemClock
from waxwingwinch.kernel._registry import Health, Registry, Service

__all__ = ["Clock", "Health", "Registry", "Service", "SteadyWallClock", "SystemClock"]
