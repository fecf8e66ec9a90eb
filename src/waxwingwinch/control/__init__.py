"""The control program: stands for duties and does their work."""

from waxwingwinch.control._main import main
from waxwingwinch.control._process import Base, add_runner, build_process
from waxwingwinch.control._runner import DutyRunner

__all__ = ["Base", "DutyRunner", "add_runner", "build_process", "main"]
