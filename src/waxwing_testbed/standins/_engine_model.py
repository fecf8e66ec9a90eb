"""
A model of continuous batching, driven by the time passed in.

Nothing here locks or reads the clock; see ``_engine_thread``.
"""

import heapq
import itertools
from collections.abc import Callable

from attrs import evolve

from waxwing_testbed._answers import expected_token
from waxwing_testbed.standins._batch import Batch
from waxwing_testbed.standins._generation import Generation, Refusal
from waxwing_testbed.standins._kv_memory import KvMemory
from waxwing_testbed.standins._lagged import Lagged
from waxwing_testbed.standins._loaded import Loaded, change_seconds
from waxwing_testbed.standins._pace import Pace
from waxwing_testbed.standins._prefix_cache import PrefixCache
from waxwing_testbed.standins._settings import EngineSettings
from waxwingwinch.interfaces import (
    CacheEventPage,
    GenerateCall,
    LoadAdapter,
    LoadModel,
    LoadReport,
    OrderAction,
    StreamPart,
)

Step = Callable[[float], None]


class EngineModel:
    """
    An engine from its start to its crash.

    :param settings: Its settings.
    :param now_seconds: Present time.
    """

    def __init__(self, settings: EngineSettings, now_seconds: float) -> None:
        self._settings = settings
        self._speeds = settings.speeds
        self._loaded = Loaded(settings.role, settings.model, settings.adapters)
        self._kv = KvMemory(settings.limits.kv_pieces)
        self._cache = PrefixCache(
            settings.limits.cached_prefixes, settings.lags, settings.seed
        )
        self._batch = Batch(settings.limits.max_running)
        self._steps: list[tuple[float, int, Step]] = []
        self._sequence = itertools.count()
        self._change_ends_at_seconds = now_seconds
        self._pending_changes = 0
        #: The present speed.
        self.pace = Pace(settings.speeds)
        self._reports = Lagged(
            (now_seconds, self._load(now_seconds)), settings.lags.load_lag_seconds
        )
        self._report(now_seconds)

    @property
    def busy(self) -> bool:
        """True while the engine accepts nothing."""
        return self._pending_changes > 0

    def next_step_at_seconds(self) -> float | None:
        """Return when :meth:`advance` has work; None if it never has."""
        return self._steps[0][0] if self._steps else None

    def advance(self, now_seconds: float) -> None:
        """
        Carry out all steps that are due.

        :param now_seconds: Present time.
        """
        while self._steps and self._steps[0][0] <= now_seconds:
            due_seconds, _, step = heapq.heappop(self._steps)
            step(due_seconds)

    def submit(
        self, call: GenerateCall, imported: bool, now_seconds: float
    ) -> Generation | Refusal:
        """
        Take a generation into the queue.

        :param call: What to generate.
        :param imported: True if its KV cache comes from another engine.
        :param now_seconds: Present time.
        """
        if self.busy:
            return Refusal.NOT_ACCEPTING
        refusal = self._loaded.refusal(call)
        if refusal is not None:
            return refusal
        generation = Generation(call, imported, next(self._sequence))
        if generation.kv_pieces > self._kv.total_pieces:
            return Refusal.PROMPT_TOO_LONG
        self.cancel(call.request_id, now_seconds)
        self._batch.add(generation)
        self._admit(now_seconds)
        return generation

    def cancel(self, request_id: str, now_seconds: float) -> bool:
        """
        End a generation.

        :param request_id: Its name.
        :param now_seconds: Present time.
        :returns: False if there is none of the name.
        """
        for generation in self._batch.all():
            if generation.call.request_id == request_id:
                self.drop(generation, now_seconds)
                return True
        return False

    def drop(self, generation: Generation, now_seconds: float) -> None:
        """
        Cut one generation, if it hasn't ended.

        :param generation: The generation.
        :param now_seconds: Present time.
        """
        if generation.ended:
            return
        self._finish(generation)
        generation.cut()
        self._admit(now_seconds)

    def cut_all(self) -> int:
        """Cut all generations and return their number."""
        generations = self._batch.all()
        for generation in generations:
            self._finish(generation)
            generation.cut()
        return len(generations)

    def change(self, action: OrderAction, now_seconds: float) -> int:
        """
        Begin a change, during which the engine accepts nothing.

        :param action: What to change.
        :param now_seconds: Present time.
        :returns: The number of generations that it cut.
        """
        if isinstance(action, LoadModel):
            self._cache.clear(now_seconds)
        cut_streams = 0 if isinstance(action, LoadAdapter) else self.cut_all()
        self._loaded.begin(action)
        takes_seconds = change_seconds(action, self._speeds)
        self._pending_changes += 1
        starts_at_seconds = max(now_seconds, self._change_ends_at_seconds)
        self._change_ends_at_seconds = starts_at_seconds + takes_seconds
        self._schedule(
            self._change_ends_at_seconds, lambda due: self._end_change(action, due)
        )
        return cut_streams

    def take_export(self, request_id: str) -> int | None:
        """
        Give away the KV cache of a prefilled prompt.

        :param request_id: Name of the generation.
        :returns: Its pieces of 1,024 tokens; None if it isn't there.
        """
        return self._kv.take_export(request_id)

    def load_report(self, now_seconds: float) -> LoadReport:
        """
        Return the newest published report.

        :param now_seconds: Present time.
        """
        made_at_seconds, report = self._reports.get(now_seconds)
        return evolve(report, age_seconds=now_seconds - made_at_seconds)

    def cache_events(self, from_sequence: int, now_seconds: float) -> CacheEventPage:
        """
        Return published cache events.

        :param from_sequence: The first wanted event.
        :param now_seconds: Present time.
        """
        return self._cache.page(from_sequence, now_seconds)

    def _schedule(self, due_seconds: float, step: Step) -> None:
        heapq.heappush(self._steps, (due_seconds, next(self._sequence), step))

    def _admit(self, now_seconds: float) -> None:
        """Begin waiting generations while batch and memory have room."""
        while generation := self._batch.next_waiting():
            if not self._kv.fits(generation.kv_pieces):
                return
            self._kv.reserve(generation.kv_pieces)
            generation.holds_kv = True
            self._batch.begin_next()
            self._begin(generation, now_seconds)

    def _begin(self, generation: Generation, now_seconds: float) -> None:
        cached_tokens = self._cache.cached_tokens(generation.hashes)
        generation.cached_tokens = min(cached_tokens, generation.prompt_tokens)
        if generation.imported:
            bandwidth = self._speeds.kv_import_pieces_per_second
            ready_at_seconds = now_seconds + generation.prompt_pieces / bandwidth
        else:
            tokens = generation.tokens_to_read - generation.cached_tokens
            ready_at_seconds = self.pace.read_prompt(
                tokens, self._loaded.role, now_seconds
            )
        self._schedule(ready_at_seconds, lambda due: self._prefilled(generation, due))

    def _prefilled(self, generation: Generation, now_seconds: float) -> None:
        if generation.ended:
            return
        self._cache.store(generation.hashes, now_seconds)
        if generation.call.prefill_only:
            self._keep_export(generation, now_seconds)
            self._end(generation, now_seconds)
            return
        self._token(generation, now_seconds)

    def _keep_export(self, generation: Generation, now_seconds: float) -> None:
        request_id = generation.call.request_id
        self._kv.keep_export(request_id, generation.kv_pieces)
        generation.holds_kv = False
        self._schedule(
            now_seconds + self._settings.limits.export_keep_seconds,
            lambda due: self._expire_export(request_id, due),
        )

    def _expire_export(self, request_id: str, now_seconds: float) -> None:
        self._kv.take_export(request_id)
        self._admit(now_seconds)

    def _token(self, generation: Generation, now_seconds: float) -> None:
        if generation.ended:
            return
        call = generation.call
        if generation.next_index < call.max_tokens:
            index = generation.next_index
            text = expected_token(call.prompt, index)
            generation.emit(StreamPart(index, text))
            generation.next_index += 1
        if generation.next_index >= call.max_tokens:
            self._end(generation, now_seconds)
            return
        pace_seconds = self.pace.decode_seconds(self._loaded.role, now_seconds)
        due_seconds = now_seconds + pace_seconds
        self._schedule(due_seconds, lambda due: self._token(generation, due))

    def _end(self, generation: Generation, now_seconds: float) -> None:
        generation.emit_end()
        self._finish(generation)
        self._admit(now_seconds)

    def _finish(self, generation: Generation) -> None:
        """Take a generation out of batch, queue and memory."""
        generation.ended = True
        if generation.holds_kv:
            self._kv.release(generation.kv_pieces)
            generation.holds_kv = False
        self._batch.remove(generation)

    def _end_change(self, action: OrderAction, now_seconds: float) -> None:
        self._loaded.end(action)
        self._pending_changes -= 1

    def _report(self, now_seconds: float) -> None:
        self._reports.set((now_seconds, self._load(now_seconds)), now_seconds)
        interval_seconds = self._settings.lags.load_interval_seconds
        self._schedule(now_seconds + interval_seconds, self._report)

    def _load(self, now_seconds: float) -> LoadReport:
        return LoadReport(
            upstream_id=self._settings.name,
            age_seconds=0.0,
            role=self._loaded.role,
            model=self._loaded.model,
            adapters=self._loaded.adapters,
            running=len(self._batch.running),
            waiting=self._batch.waiting_count,
            waiting_prompt_tokens=self._batch.waiting_prompt_tokens,
            kv_pieces_used=self._kv.used_pieces,
            kv_pieces_total=self._kv.total_pieces,
            prefill_tokens_per_second=1
            / self.pace.prefill_seconds_per_token(self._loaded.role),
            decode_seconds_per_token=self.pace.decode_seconds(
                self._loaded.role, now_seconds
            ),
            accepting=not self.busy,
        )
