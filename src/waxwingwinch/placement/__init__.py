"""Which instances serve which customer."""

from waxwingwinch.placement._homes import Located, home_count, home_instances

__all__ = ["Located", "home_count", "home_instances"]
