"""The operators' command line, ``waxwing-ctl``."""

from waxwingwinch.operators._app import main, make_app
from waxwingwinch.operators._session import ExitCode

__all__ = ["ExitCode", "main", "make_app"]
