"""How fast an engine works in its role."""

import math

from waxwing_testbed.standins._settings import EngineSpeeds
from waxwingwinch._types import EngineRole


class Pace:
    """
    The speed of an engine.

    :param speeds: The settings.
    """

    def __init__(self, speeds: EngineSpeeds) -> None:
        self._speeds = speeds
        #: How much slower than its settings the engine works.
        self.slow_factor = 1.0
        self._prompts_read_at_seconds = -math.inf

    def decode_seconds(self, role: EngineRole, now_seconds: float) -> float:
        """
        Return the time between two tokens of a generation.

        :param role: The engine's role.
        :param now_seconds: Present time.
        """
        reads_prompt = self._prompts_read_at_seconds > now_seconds
        seconds = self._speeds.decode_seconds_per_token * self.slow_factor
        match role:
            case EngineRole.PREFILL:
                return seconds * self._speeds.off_role_factor
            case EngineRole.MIXED if reads_prompt:
                return seconds * self._speeds.interference_factor
            case _:
                return seconds

    def read_prompt(self, tokens: int, role: EngineRole, now_seconds: float) -> float:
        """
        Take a prompt in line; prompts are read one after the other.

        :param tokens: Tokens to read.
        :param role: The engine's role.
        :param now_seconds: Present time.
        :returns: When it will have been read.
        """
        starts_at_seconds = max(now_seconds, self._prompts_read_at_seconds)
        takes_seconds = tokens * self.prefill_seconds_per_token(role)
        self._prompts_read_at_seconds = starts_at_seconds + takes_seconds
        return self._prompts_read_at_seconds

    def prefill_seconds_per_token(self, role: EngineRole) -> float:
        """
        Return the time to read a token of a prompt.

        :param role: The engine's role.
        """
        seconds = self.slow_factor / self._speeds.prefill_tokens_per_second
        if role is EngineRole.DECODE:
            return seconds * self._speeds.off_role_factor
        return seconds
