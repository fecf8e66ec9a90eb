"""The KV cache of an engine, counted in pieces of 1,024 tokens."""


class KvMemory:
    """
    Counts used pieces.

    :param total_pieces: Size of the cache.
    """

    def __init__(self, total_pieces: int) -> None:
        self.total_pieces = total_pieces
        self.used_pieces = 0
        self._exports: dict[str, int] = {}

    def fits(self, pieces: int) -> bool:
        """
        Tell whether there is room.

        :param pieces: Wanted pieces.
        """
        return self.used_pieces + pieces <= self.total_pieces

    def reserve(self, pieces: int) -> None:
        """
        Use pieces.

        :param pieces: Their number.
        """
        self.used_pieces += pieces

    def release(self, pieces: int) -> None:
        """
        Free pieces.

        :param pieces: Their number.
        """
        self.used_pieces -= pieces

    def keep_export(self, request_id: str, pieces: int) -> None:
        """
        Hold the pieces of a read prompt until another engine fetches them.

        :param request_id: Name of the generation.
        :param pieces: Pieces that it has reserved.
        """
        self.take_export(request_id)
        self._exports[request_id] = pieces

    def take_export(self, request_id: str) -> int | None:
        """
        Give away and free the pieces of a read prompt.

        :param request_id: Name of the generation.
        :returns: Their number; None if they aren't there.
        """
        pieces = self._exports.pop(request_id, None)
        if pieces is not None:
            self.release(pieces)
        return pieces
