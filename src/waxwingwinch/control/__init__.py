"""The control program: stands for duties and does their work."""

from waxwingwinch.control._runner import DutyRunner

__all__ = ["DutyRunner"]
