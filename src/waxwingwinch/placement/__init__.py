"""Placement of customers on instances."""

from waxwingwinch.placement._homes import ZonedInstance, home_count, home_instances

__all__ = ["ZonedInstance", "home_count", "home_instances"]
