"""The operators' command line, ``waxwing-ctl``."""

from waxwingwinch.operators._app import main, make_app
from waxwingwinch.operators._client import (
    AllUnreachable,
    EntryUnreachable,
    OperatorClient,
    RequestRefused,
)
from waxwingwinch.operators._session import ExitCode

__all__ = [
    "AllUnreachable",
    "EntryUnreachable",
    "ExitCode",
    "OperatorClient",
    "RequestRefused",
    "main",
    "make_app",
]
