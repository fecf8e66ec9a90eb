"""Putting versions of the configuration in force."""

from waxwingwinch.gateway.versions._intake import ConfigurationIntake

__all__ = ["ConfigurationIntake"]
