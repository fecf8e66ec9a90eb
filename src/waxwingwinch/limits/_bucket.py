"""An immutable token bucket that takes the time as an argument."""

from attrs import evolve, frozen


@frozen
class TokenBucket:
    """
    State of a token bucket at one moment.

    :param rate_per_second: Refill rate in tokens per second.
    :param cap_tokens: Capacity of the bucket.
    :param level_tokens: Tokens in the bucket at ``updated_seconds``.
    :param updated_seconds: Monotonic time of the last update.
    """

    rate_per_second: float
    cap_tokens: float
    level_tokens: float
    updated_seconds: float

    def refilled(self, now_seconds: float) -> "TokenBucket":
        """
        Add the tokens accrued since the last update, up to the cap.

        :param now_seconds: Monotonic time; a time before the last update
            changes nothing.
        """
        if now_seconds <= self.updated_seconds:
            return self
        added_tokens = self.rate_per_second * (now_seconds - self.updated_seconds)
        level_tokens = min(self.cap_tokens, self.level_tokens + added_tokens)
        return evolve(self, level_tokens=level_tokens, updated_seconds=now_seconds)

    def resized(self, rate_per_second: float, cap_tokens: float) -> "TokenBucket":
        """
        Change rate and cap, effective from the last update.

        Tokens above the new cap are lost; a larger cap adds no tokens.

        :param rate_per_second: The new rate.
        :param cap_tokens: The new cap.
        """
        return TokenBucket(
            rate_per_second,
            cap_tokens,
            max(0.0, min(self.level_tokens, cap_tokens)),
            self.updated_seconds,
        )

    def credited(self, tokens: float) -> "TokenBucket":
        """
        Add tokens up to the cap.

        :param tokens: Number of tokens.
        """
        level_tokens = min(self.cap_tokens, self.level_tokens + tokens)
        return evolve(self, level_tokens=level_tokens)

    def debited(self, tokens: float) -> "TokenBucket":
        """
        Remove tokens.

        :param tokens: Number of tokens, at most the current level.
        """
        return evolve(self, level_tokens=self.level_tokens - tokens)

    def seconds_until(self, tokens: float) -> float | None:
        """
        Return the time until the bucket reaches a level.

        :param tokens: The level to reach.
        :returns: Seconds after the last update; None if the bucket never
            reaches the level.
        """
        if self.level_tokens >= tokens:
            return 0.0
        if self.cap_tokens < tokens or self.rate_per_second <= 0:
            return None
        return (tokens - self.level_tokens) / self.rate_per_second
