"""Counts the calls of a request that are charged to the retry budget."""

from attrs import evolve, frozen


@frozen
class Arrivals:
    """
    The calls of a request that reached an upstream, or may have.

    The first call is free, as is the first prefill that an engine accepted.

    :param calls: Number of calls, prefills included.
    :param has_prefilled: True once an engine accepted a prefill.
    :param paid: Extra calls charged to the retry budget so far, including
        those that in the end reached no upstream.
    """

    calls: int = 0
    has_prefilled: bool = False
    paid: int = 0

    @property
    def extra(self) -> int:
        """Number of calls beyond those that are free."""
        free = 2 if self.has_prefilled else 1
        return max(self.calls - free, 0)

    def with_call(self) -> "Arrivals":
        """Return the arrivals after a call."""
        return evolve(self, calls=self.calls + 1)

    def with_prefill(self) -> "Arrivals":
        """Return the arrivals after a prefill that an engine accepted."""
        return evolve(self.with_call(), has_prefilled=True)

    def cost(self, planned: "Arrivals") -> int:
        """
        Return the extra calls to charge before further calls are made.

        If a planned prefill fails, no more calls were made than charged.

        :param planned: The arrivals once the further calls are made.
        """
        return max(planned.extra - self.paid, 0)

    def with_payment(self, cost: int) -> "Arrivals":
        """
        Return the arrivals after extra calls were charged.

        :param cost: Number of extra calls.
        """
        return evolve(self, paid=self.paid + cost)
