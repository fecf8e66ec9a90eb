"""A stand-in of a model engine."""

import json
import queue
import threading
from collections.abc import Generator

from attrs import evolve

from waxwing_testbed.standins._engine_journal import EngineRecorder
from waxwing_testbed.standins._engine_model import EngineModel
from waxwing_testbed.standins._engine_orders import OrderBook, Repeated, Run, Stale
from waxwing_testbed.standins._engine_thread import EngineThread
from waxwing_testbed.standins._faults import FaultSwitches
from waxwing_testbed.standins._generation import Generation, Refusal
from waxwing_testbed.standins._journal import EngineJournal
from waxwing_testbed.standins._kv_import import EXPORT_PATH, import_kv
from waxwing_testbed.standins._settings import EngineSettings
from waxwing_testbed.web import (
    ConnectionDropped,
    EventStream,
    Reply,
    Request,
    Router,
    WebServer,
    error_reply,
    json_reply,
)
from waxwingwinch.adapters import make_wire_converter
from waxwingwinch.interfaces import (
    EngineOrder,
    GenerateCall,
    OrderResult,
    StreamEnd,
    StreamItem,
    StreamPart,
)

#: Operations whose faults can be switched.
ENGINE_OPERATIONS = ("generate", "cancel", "load", "cache_events", "order")
#: How often a waiting stream sends a comment, which shows it whether its
#: caller is still there.
_COMMENT_SECONDS = 0.25
_COMMENT = b": waiting\n\n"


class EngineStandin:
    """
    One model engine on its own port.

    :param settings: Its settings.
    """

    def __init__(self, settings: EngineSettings) -> None:
        self.settings = settings
        self.faults = FaultSwitches(ENGINE_OPERATIONS, settings.seed)
        self._converter = make_wire_converter()
        self._recorder = EngineRecorder()
        self._lock = threading.RLock()
        self._slow_factor = 1.0
        self._engine: EngineThread | None = None
        self._orders = OrderBook(settings.checks_fencing)
        self._server = WebServer(settings.address, self._router())
        self._restart: threading.Timer | None = None
        self._withdrawn = False

    def start(self) -> None:
        """
        Begin to serve, with empty memory.

        :raises OSError: If the address can't be bound.
        """
        with self._lock:
            if self._engine is not None or self._withdrawn:
                return
            self._engine = EngineThread(self.settings)
            if self.settings.forgets_orders:
                self._orders = OrderBook(self.settings.checks_fencing)
            self._engine.start()
            self._server.start()
            self.slow_down(self._slow_factor)

    def stop(self) -> None:
        """Stop for good."""
        self.faults.stop()
        self.withdraw()

    def withdraw(self) -> None:
        """Cut all streams and stop to listen, for good."""
        with self._lock:
            self._withdrawn = True
            if self._restart is not None:
                self._restart.cancel()
                self._restart = None
            self._halt()

    def crash(self, down_seconds: float | None = None) -> None:
        """
        Cut all streams, stop to listen, and come back empty.

        :param down_seconds: Time to the return; None for the setting.
        """
        if down_seconds is None:
            down_seconds = self.settings.speeds.restart_seconds
        with self._lock:
            if self._engine is None:
                return
            self._halt()
            self._restart = threading.Timer(down_seconds, self.start)
            self._restart.daemon = True
            self._restart.start()

    def slow_down(self, factor: float) -> None:
        """
        Change the speed.

        :param factor: How much slower than its settings the engine works.
        """

        def change(model: EngineModel, now_seconds: float) -> None:
            model.pace.slow_factor = factor

        with self._lock:
            self._slow_factor = factor
            if self._engine is not None:
                self._engine.use(change)

    def journal(self) -> EngineJournal:
        """Return everything recorded since the start of the process."""
        return self._recorder.journal()

    def _halt(self) -> None:
        """Cut the streams before the listener closes."""
        engine, self._engine = self._engine, None
        if engine is not None:
            self._recorder.crashed(engine.stop())
            self._server.stop()

    def _router(self) -> Router:
        router = Router(before=self._recorder.headers.record)
        guard = self.faults.guard
        router.add("POST", "/v1/generate", self._generate)
        router.add("POST", "/v1/cancel", guard("cancel", self._cancel))
        router.add("GET", "/v1/load", guard("load", self._load))
        router.add("GET", "/v1/cache-events", guard("cache_events", self._events))
        router.add("POST", "/v1/orders", guard("order", self._order))
        router.add("POST", EXPORT_PATH, self._export)
        return router

    def _running(self) -> EngineThread:
        engine = self._engine
        if engine is None:
            raise ConnectionDropped("the engine is down")
        return engine

    def _generate(self, request: Request) -> Reply | EventStream:
        refused = self.faults.before("generate")
        if refused is not None:
            return refused
        call = self._converter.structure(request.json(), GenerateCall)
        crash_word = self.settings.crash_word
        if crash_word and crash_word in call.prompt.split():
            threading.Thread(target=self.crash, daemon=True).start()
            raise ConnectionDropped("the prompt crashes the engine")
        imported = False
        if call.kv_source is not None:
            imported = import_kv(call.kv_source, call.request_id)
            if not imported:
                return _refuse(Refusal.KV_UNAVAILABLE)
        engine = self._running()
        taken = engine.use(lambda model, now: model.submit(call, imported, now))
        if isinstance(taken, Refusal):
            return _refuse(taken)
        self._recorder.generation(call)
        self.faults.after("generate")
        wrong_id = self.faults.take_wrong_request_id("generate")
        shown_id = f"not-{call.request_id}" if wrong_id else call.request_id
        events = self._events_of(engine, taken, shown_id)
        # Once begun, closing the generator ends the generation.
        next(events)
        return EventStream(events)

    def _events_of(
        self, engine: EngineThread, taken: Generation, shown_id: str
    ) -> Generator[bytes, None, None]:
        """
        Yield the encoded items; ends the generation if its caller goes.

        The first item is empty and not to be sent.
        """
        try:
            yield b""
            while True:
                try:
                    item = taken.items.get(timeout=_COMMENT_SECONDS)
                except queue.Empty:
                    yield _COMMENT
                    continue
                if item is None:
                    raise ConnectionDropped("the generation was cut")
                if shown_id != taken.call.request_id:
                    item = _crossed(item)
                yield _event(shown_id, item)
                if isinstance(item, StreamEnd):
                    return
        finally:
            if not taken.ended:
                self._recorder.cancelled()
                engine.use(lambda model, now: model.drop(taken, now))

    def _cancel(self, request: Request) -> Reply:
        request_id = str(request.json()["request_id"])
        found = self._running().use(lambda model, now: model.cancel(request_id, now))
        if found:
            self._recorder.cancelled()
        return json_reply({"cancelled": found})

    def _load(self, request: Request) -> Reply:
        report = self._running().use(lambda model, now: model.load_report(now))
        return json_reply(self._converter.unstructure(report))

    def _events(self, request: Request) -> Reply:
        sequence = int(request.query["from"])
        page = self._running().use(lambda model, now: model.cache_events(sequence, now))
        return json_reply(self._converter.unstructure(page))

    def _order(self, request: Request) -> Reply:
        order = self._converter.structure(request.json(), EngineOrder)
        engine = self._running()
        match self._orders.judge(order):
            case Stale(highest_epoch):
                self._recorder.order(order, "refused")
                return json_reply({"highest_epoch": highest_epoch}, 409)
            case Repeated():
                self._recorder.order(order, "repeated")
                busy = engine.use(lambda model, now: model.busy)
                result = OrderResult.STARTED if busy else OrderResult.DONE
            case Run():
                self._recorder.order(order, "run")
                cut_streams = engine.use(
                    lambda model, now: model.change(order.action, now)
                )
                self._recorder.cut(cut_streams)
                result = OrderResult.STARTED
        return json_reply({"result": result.value})

    def _export(self, request: Request) -> Reply:
        request_id = str(request.json()["request_id"])
        pieces = self._running().use(lambda model, now: model.take_export(request_id))
        if pieces is None:
            return _refuse(Refusal.KV_UNAVAILABLE)
        return json_reply({"pieces": pieces})


def _refuse(refusal: Refusal) -> Reply:
    return error_reply(503, refusal.value, "the engine doesn't take the call")


def _crossed(item: StreamItem) -> StreamItem:
    """Return an item as another generation would have it."""
    match item:
        case StreamPart():
            return evolve(item, text=f"not-{item.text}")
        case StreamEnd():
            return item


def _event(request_id: str, item: StreamItem) -> bytes:
    value: dict[str, object] = {"request_id": request_id}
    match item:
        case StreamEnd():
            value["end"] = {
                "finish_reason": item.finish_reason,
                "prompt_tokens": item.prompt_tokens,
                "output_tokens": item.output_tokens,
                "cached_prompt_tokens": item.cached_prompt_tokens,
            }
        case _:
            value["index"] = item.index
            value["text"] = item.text
    return b"data: " + json.dumps(value).encode() + b"\n\n"
