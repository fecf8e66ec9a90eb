"""Handling of completion requests."""

import itertools
from collections.abc import Generator, Iterator
from contextlib import closing

from attrs import evolve, frozen

from waxwingwinch._exceptions import Outcome
from waxwingwinch._fingerprints import request_fingerprint
from waxwingwinch.configuration import Defaults, Scope, ScopeKind
from waxwingwinch.contracts import Caller, Freshness
from waxwingwinch.decisions import FewestInFlight, RoutingRequest
from waxwingwinch.entry._admission import AdmissionControl, PendingGeneration
from waxwingwinch.entry._bodies import CompletionRequest, parse_completion
from waxwingwinch.entry._callers import (
    CallerDisconnected,
    RequestMonitor,
    authenticate,
    check_rate_limit,
    count_refusal,
)
from waxwingwinch.entry._crash_guard import (
    Quarantined,
    Suspect,
)
from waxwingwinch.entry._errors import ErrorCode, RequestFailed, quarantined
from waxwingwinch.entry._generation import GenerationJob, GenerationRun
from waxwingwinch.entry._http import IncomingRequest, Reply, json_reply
from waxwingwinch.entry._recorder import ResponseRecorder
from waxwingwinch.entry._router import EngineRouter, Generation
from waxwingwinch.entry._services import EntryServices
from waxwingwinch.entry._sse import EVENT_STREAM_HEADERS, ResponseEncoder
from waxwingwinch.interfaces import StreamEnd, StreamItem, StreamPart
from waxwingwinch.observability import RequestResult
from waxwingwinch.prefixes import prefix_hashes

#: Path of chat completions.
CHAT_PATH = "/v1/chat/completions"
#: Path of text completions.
COMPLETIONS_PATH = "/v1/completions"
#: Expected output length as a fraction of ``max_tokens``.
EXPECTED_OUTPUT_FRACTION = 0.5


@frozen
class _AcceptedRequest:
    """
    A request that passed all checks except admission control.

    :param caller: The authenticated caller.
    :param completion: The validated body.
    :param defaults: Settings that apply to the request.
    :param watch: Detects a passed deadline, a withdrawn key or a disconnected
        caller.
    :param recorder: Records latencies and the result.
    """

    caller: Caller
    completion: CompletionRequest
    defaults: Defaults
    watch: RequestMonitor
    recorder: ResponseRecorder


class CompletionHandler:
    """
    Serves ``/v1/chat/completions`` and ``/v1/completions``.

    :param services: Shared services of the entry.
    :param router: Chooses engines.
    :param admission: Decides which generations are admitted under overload.
    """

    def __init__(
        self,
        services: EntryServices,
        router: EngineRouter,
        admission: AdmissionControl,
    ) -> None:
        self._services = services
        self._router = router
        self._admission = admission

    def handle(self, request: IncomingRequest) -> Reply:
        """
        Serve a completion request.

        :param request: The request.
        :raises RequestFailed: If the request fails before the reply begins.
        :raises CallerDisconnected: If the caller has disconnected.
        """
        caller = authenticate(self._services, request)
        accepted = self._accept(request, caller)
        run, items = self._admit(request, accepted)
        try:
            # Before the first token an error can still set the HTTP status.
            first = next(items)
        except BaseException as error:
            accepted.recorder.record_failure(error, run.received_tokens, run.outcome)
            raise
        all_items = itertools.chain([first], items)
        encoder = ResponseEncoder(
            request.request_id,
            int(self._services.clock.wall_seconds()),
            accepted.completion,
        )
        parts = self._stream_events(encoder, accepted, run, items, all_items)
        if accepted.completion.stream:
            return Reply(200, EVENT_STREAM_HEADERS, parts)
        return self._complete_reply(encoder, accepted, run, items, all_items)

    def _accept(self, request: IncomingRequest, caller: Caller) -> _AcceptedRequest:
        configuration = self._services.configuration.current()
        customer = Scope(ScopeKind.CUSTOMER, caller.customer_id)
        customer_defaults = configuration.defaults_for(customer)
        completion = parse_completion(
            request.body,
            request.path == CHAT_PATH,
            configuration,
            customer_defaults.max_output_tokens,
        )
        model = Scope(ScopeKind.MODEL, completion.model)
        zone = Scope(ScopeKind.ZONE, self._services.options.zone)
        defaults = configuration.defaults_for(zone, model, customer)
        check_rate_limit(
            self._services, caller.customer_id, request.request_id, request.path
        )
        self._services.demand.record_arrival(completion.model, completion.prompt_tokens)
        self._router.count_request(defaults.retry_budget_ratio)
        deadline = request.arrived_seconds + defaults.request_timeout_seconds
        return _AcceptedRequest(
            caller,
            completion,
            defaults,
            RequestMonitor(self._services, caller, request.connection, deadline),
            ResponseRecorder(
                self._services,
                caller.customer_id,
                request.path,
                completion,
                defaults,
                request.arrived_seconds,
            ),
        )

    def _admit(
        self, request: IncomingRequest, accepted: _AcceptedRequest
    ) -> tuple[GenerationRun, Generator[StreamItem, None, None]]:
        """Admit the request; return its run and the iterator of its items."""
        completion, caller = accepted.completion, accepted.caller
        route = f"{request.path} {completion.model}"
        fingerprint = request_fingerprint(caller.customer_id, route, request.body)
        generation = self._generation(request, accepted, fingerprint)
        ticket = PendingGeneration(
            generation,
            caller.customer_id,
            accepted.defaults.first_token_seconds,
            request.arrived_seconds,
            accepted.watch.deadline_seconds,
            lambda: accepted.watch.check(Outcome.NOT_RUN),
        )
        try:
            admitted = self._admission.admit(ticket)
        except RequestFailed:
            self._services.demand.record_refusal(completion.model)
            count_refusal(
                self._services,
                caller.customer_id,
                request.path,
                RequestResult.REFUSED_WITHIN_RATE,
            )
            raise
        self._check_freshness()
        job = GenerationJob(
            completion, caller.customer_id, generation, fingerprint, admitted.priority
        )
        run = GenerationRun(self._services, self._router, accepted.watch, job)
        return run, run.items(admitted.choice)

    def _generation(
        self, request: IncomingRequest, accepted: _AcceptedRequest, fingerprint: str
    ) -> Generation:
        completion = accepted.completion
        expected = int(completion.max_tokens * EXPECTED_OUTPUT_FRACTION)
        routing = RoutingRequest(
            prompt_tokens=completion.prompt_tokens,
            expected_output_tokens=expected,
            zone=self._services.options.zone,
            prefix_hashes=prefix_hashes(completion.prompt),
            adapter=completion.adapter,
        )
        clock = self._services.clock
        match self._services.crash_guard.judge_arrival(fingerprint, clock):
            case Quarantined(retry_after_seconds):
                raise quarantined(retry_after_seconds, Outcome.NOT_RUN)
            case Suspect(upstream_ids):
                routing = evolve(
                    routing, excluded=upstream_ids, policy=FewestInFlight()
                )
        return Generation(request.request_id, completion.model, routing)

    def _check_freshness(self) -> None:
        # The instance may become stale while the request waits for an engine;
        # a stale instance sends no new work to upstreams.
        now_seconds = self._services.clock.now_seconds()
        if self._services.configuration.freshness(now_seconds) is Freshness.STALE:
            raise RequestFailed(
                503,
                ErrorCode.STALE_INSTANCE,
                "this instance is stale: neither the log nor enough peers confirmed"
                " its configuration within the freshness time",
                retry_after_seconds=1.0,
            )

    def _complete_reply(
        self,
        encoder: ResponseEncoder,
        accepted: _AcceptedRequest,
        run: GenerationRun,
        items: Generator[StreamItem, None, None],
        all_items: Iterator[StreamItem],
    ) -> Reply:
        texts: list[str] = []
        try:
            with closing(items):
                for item in all_items:
                    accepted.recorder.record_item(item)
                    match item:
                        case StreamPart(_, text):
                            texts.append(text)
                        case StreamEnd():
                            body = encoder.complete_body("".join(texts), item)
                            return json_reply(200, body)
        except BaseException as error:
            accepted.recorder.record_failure(error, run.received_tokens, run.outcome)
            raise
        raise AssertionError("the generation ended without StreamEnd or an error")

    def _stream_events(
        self,
        encoder: ResponseEncoder,
        accepted: _AcceptedRequest,
        run: GenerationRun,
        items: Generator[StreamItem, None, None],
        all_items: Iterator[StreamItem],
    ) -> Iterator[bytes]:
        is_first = True
        try:
            with closing(items):
                for item in all_items:
                    accepted.recorder.record_item(item)
                    match item:
                        case StreamPart(_, text):
                            yield encoder.token_event(text, is_first)
                            is_first = False
                        case StreamEnd():
                            yield encoder.end_events(item)
        except RequestFailed as error:
            accepted.recorder.record_failure(error, run.received_tokens, run.outcome)
            yield encoder.error_event(error)
        except (CallerDisconnected, GeneratorExit) as error:
            accepted.recorder.record_failure(error, run.received_tokens, run.outcome)
        except Exception as error:
            accepted.recorder.record_failure(error, run.received_tokens, run.outcome)
            text = "the response was interrupted by an internal error"
            unknown = RequestFailed(500, ErrorCode.INTERNAL, text, Outcome.UNKNOWN)
            yield encoder.error_event(unknown)
