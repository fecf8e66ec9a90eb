"""Pools of kept connections whose responses are checked."""

from typing import Any

import urllib3
from urllib3.connection import HTTPConnection

from waxwingwinch.http._whole_heads import WholeHeadResponse


class _CheckedConnection(HTTPConnection):
    """A connection whose responses are checked against the grammar of HTTP."""

    response_class = WholeHeadResponse


class _CheckedPool(urllib3.HTTPConnectionPool):
    """A pool of such connections to one server."""

    ConnectionCls = _CheckedConnection


class CheckedPools(urllib3.PoolManager):
    """
    Pools of connections whose responses are checked, for plain HTTP.

    A malformed response raises :class:`AnswerMalformed` and closes its
    connection.

    :param options: Those of ``urllib3.PoolManager``.
    """

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        self.pool_classes_by_scheme = {"http": _CheckedPool}
