"""A TCP proxy that injects faults between two processes."""

from waxwing_testbed.proxy._faults import Direction, ProxyFaults
from waxwing_testbed.proxy._proxy import FaultProxy

__all__ = ["Direction", "FaultProxy", "ProxyFaults"]
