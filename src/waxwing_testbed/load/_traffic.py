"""Open-loop traffic of several customers, from one seed."""

import random
import threading
import time
import uuid
from concurrent.futures import ThreadPoolExecutor

from attrs import frozen

from waxwing_testbed.history import CallKind
from waxwing_testbed.load._caller import Caller
from waxwing_testbed.load._calls import Call, ChatCall, PlainRequest

#: Calls of one traffic source that may be under way at once.
MAX_CONCURRENT_CALLS = 200
#: Prompts share this many beginnings, as users of one manual do.
SHARED_PREFIXES = 8


@frozen
class ChatMix:
    """
    Shape of the chat calls.

    :param model: The model.
    :param prompt_words: Mean length of a prompt.
    :param output_tokens: Mean length of an answer.
    :param shared_ratio: Part of a prompt that others share.
    """

    model: str
    prompt_words: int
    output_tokens: int
    shared_ratio: float = 0.5


@frozen
class PlainMix:
    """
    Shape of the plain calls.

    :param order_path: Route of the orders.
    :param payment_path: Route of the payments.
    :param read_path: Route of the reads.
    """

    order_path: str
    payment_path: str
    read_path: str


@frozen
class Phase:
    """
    A stretch of time with one load.

    :param seconds: Its length.
    :param calls_per_second: Arrivals of this customer.
    :param chat: Shape of the chat calls.
    :param plain: Shape of the plain calls; None for chat only.
    :param plain_ratio: Share of plain calls.
    """

    seconds: float
    calls_per_second: float
    chat: ChatMix
    plain: PlainMix | None = None
    plain_ratio: float = 0.3


class CallMaker:
    """
    Draws calls from a seed.

    :param seed: Same seed, same calls.
    """

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)

    def gap_seconds(self, calls_per_second: float) -> float:
        """
        Draw the time to the next arrival of a Poisson process.

        :param calls_per_second: Mean rate.
        """
        return self._random.expovariate(calls_per_second)

    def make(self, phase: Phase) -> Call:
        """
        Draw a call.

        :param phase: The load.
        """
        if phase.plain is not None and self._random.random() < phase.plain_ratio:
            return self._plain(phase.plain)
        return self._chat(phase.chat)

    def _chat(self, mix: ChatMix) -> ChatCall:
        words = max(8, int(self._random.gauss(mix.prompt_words, mix.prompt_words / 4)))
        tokens = max(
            2, int(self._random.gauss(mix.output_tokens, mix.output_tokens / 4))
        )
        shared = int(words * mix.shared_ratio)
        prefix = self._random.randrange(SHARED_PREFIXES)
        own = self._random.randrange(1_000_000)
        prompt = f"manual{prefix} " * shared + f"question{own} " * (words - shared)
        return ChatCall(mix.model, prompt.strip(), tokens)

    def _around(self, mean: int) -> int:
        return int(self._random.gauss(mean, mean / 4))

    def _plain(self, mix: PlainMix) -> PlainRequest:
        body = f'{{"item": {self._random.randrange(1_000)}}}'.encode()
        choice = self._random.random()
        if choice < 0.4:
            key = uuid.UUID(int=self._random.getrandbits(128)).hex
            return PlainRequest(CallKind.ORDER, "POST", mix.order_path, body, key)
        if choice < 0.6:
            return PlainRequest(CallKind.PAYMENT, "POST", mix.payment_path, body)
        return PlainRequest(CallKind.READ, "GET", mix.read_path)


class TrafficSource:
    """
    Runs the phases of one customer in a thread of its own.

    :param caller: Sends the calls.
    :param phases: What to send, one phase after the other.
    :param seed: Seed of arrivals and calls.
    """

    def __init__(self, caller: Caller, phases: tuple[Phase, ...], seed: int) -> None:
        self._caller = caller
        self._phases = phases
        self._maker = CallMaker(seed)
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Start sending."""
        self._thread.start()

    def stop(self) -> None:
        """Send nothing new; return when all calls have ended."""
        self._stopping.set()
        self._thread.join()

    def join(self) -> None:
        """Wait until all phases are over and all calls have ended."""
        self._thread.join()

    def _run(self) -> None:
        with ThreadPoolExecutor(MAX_CONCURRENT_CALLS) as pool:
            for phase in self._phases:
                self._run_phase(phase, pool)

    def _run_phase(self, phase: Phase, pool: ThreadPoolExecutor) -> None:
        next_seconds = time.monotonic()
        end_seconds = next_seconds + phase.seconds
        while not self._stopping.is_set():
            next_seconds += self._maker.gap_seconds(phase.calls_per_second)
            if next_seconds >= end_seconds:
                self._stopping.wait(max(0.0, end_seconds - time.monotonic()))
                return
            if self._stopping.wait(max(0.0, next_seconds - time.monotonic())):
                return
            pool.submit(self._caller.call, self._maker.make(phase))
