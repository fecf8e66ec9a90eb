"""The control program: claims duties and does the work of those it holds."""

from waxwingwinch.control._main import main
from waxwingwinch.control._process import ControlServices, add_runner, build_process
from waxwingwinch.control._runner import DutyRunner

__all__ = ["ControlServices", "DutyRunner", "add_runner", "build_process", "main"]
