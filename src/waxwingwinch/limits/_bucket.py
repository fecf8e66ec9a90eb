"""A token bucket whose time is an argument."""

from attrs import evolve, frozen


@frozen
class TokenBucket:
    """
    A token bucket at one moment.

    :param rate_per_second: Tokens added each second.
    :param cap_tokens: Most tokens that it holds.
    :param level_tokens: Tokens held at ``updated_seconds``.
    :param updated_seconds: Monotonic time of the level.
    """

    rate_per_second: float
    cap_tokens: float
    level_tokens: float
    updated_seconds: float

    def refilled(self, now_seconds: float) -> "TokenBucket":
        """
        Add what has come since the last update.

        :param now_seconds: Monotonic time; an earlier one changes nothing.
        """
        if now_seconds <= self.updated_seconds:
            return self
        added_tokens = self.rate_per_second * (now_seconds - self.updated_seconds)
        level_tokens = min(self.cap_tokens, self.level_tokens + added_tokens)
        return evolve(self, level_tokens=level_tokens, updated_seconds=now_seconds)

    def resized(self, rate_per_second: float, cap_tokens: float) -> "TokenBucket":
        """
        Change rate and cap from the last update on.

        Tokens above the new cap are lost; a larger cap adds none.

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

        :param tokens: How many.
        """
        level_tokens = min(self.cap_tokens, self.level_tokens + tokens)
        return evolve(self, level_tokens=level_tokens)

    def debited(self, tokens: float) -> "TokenBucket":
        """
        Remove tokens.

        :param tokens: At most the present level.
        """
        return evolve(self, level_tokens=self.level_tokens - tokens)

    def seconds_until(self, tokens: float) -> float | None:
        """
        Return when it will hold as many tokens, None for never.

        :param tokens: The wanted level.
        :returns: Seconds after the last update.
        """
        if self.level_tokens >= tokens:
            return 0.0
        if self.cap_tokens < tokens or self.rate_per_second <= 0:
            return None
        return (tokens - self.level_tokens) / self.rate_per_second
