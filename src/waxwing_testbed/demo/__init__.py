"""A demonstration of both deployments with faults and a closing check."""

from waxwing_testbed.demo._main import main

__all__ = ["main"]
