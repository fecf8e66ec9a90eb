"""
Stand-ins, load and history checks for tests, demo and measurements.

Nothing in :mod:`waxwingwinch` depends on this package.
"""

from waxwing_testbed._addresses import free_addresses
from waxwing_testbed._answers import expected_token

__all__ = ["expected_token", "free_addresses"]
