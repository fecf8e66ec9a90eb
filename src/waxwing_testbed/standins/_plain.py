"""A stand-in of a plain service."""

import itertools
import threading
import time

from waxwing_testbed.standins._faults import FaultSwitches
from waxwing_testbed.standins._header_recorder import HeaderRecorder
from waxwing_testbed.standins._journal import Execution, PlainJournal
from waxwing_testbed.standins._settings import PlainSettings
from waxwing_testbed.web import Reply, Request, Router, WebServer, json_reply

#: Operations whose faults can be switched.
PLAIN_OPERATIONS = ("call",)

_REQUEST_ID_HEADER = "X-Request-Id"
_CUSTOMER_HEADER = "X-Customer-Id"


class PlainStandin:
    """
    One instance of a plain service, which runs whatever path is called.

    :param settings: Its settings.
    """

    def __init__(self, settings: PlainSettings) -> None:
        self.settings = settings
        self.faults = FaultSwitches(PLAIN_OPERATIONS, settings.seed)
        self._headers = HeaderRecorder()
        self._executions: list[Execution] = []
        self._numbers = itertools.count(1)
        self._lock = threading.Lock()
        fallback = self.faults.guard("call", self._execute)
        router = Router(fallback=fallback, before=self._headers.record)
        self._server = WebServer(settings.address, router)

    def start(self) -> None:
        """
        Begin to serve.

        :raises OSError: If the address can't be bound.
        """
        self._server.start()

    def stop(self) -> None:
        """Stop for good."""
        self.faults.stop()
        self._server.stop()

    def withdraw(self) -> None:
        """Cut all calls and stop to listen."""
        self._server.stop()

    def journal(self) -> PlainJournal:
        """Return everything recorded since the start."""
        with self._lock:
            return PlainJournal(tuple(self._executions), self._headers.seen())

    def _execute(self, request: Request) -> Reply:
        execution = self._record(request)
        time.sleep(self.settings.answer_delay_seconds)
        value = {
            "service": self.settings.service,
            "path": execution.path,
            "method": execution.method,
            "request_id": execution.request_id,
            "execution": execution.number,
            "body": request.body.decode("utf-8", "replace"),
        }
        headers = ((_REQUEST_ID_HEADER, execution.request_id),)
        return json_reply(value, 200, headers)

    def _record(self, request: Request) -> Execution:
        query = f"?{request.raw_query}" if request.raw_query else ""
        with self._lock:
            execution = Execution(
                time.time(),
                request.method,
                request.path + query,
                request.header(_REQUEST_ID_HEADER),
                request.header("Idempotency-Key"),
                next(self._numbers),
                request.header(_CUSTOMER_HEADER),
            )
            self._executions.append(execution)
        return execution
