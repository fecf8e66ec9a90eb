"""Who reads the store for this instance."""

from attrs import frozen

from waxwingwinch.gateway.feeds._log_lines import ReaderChanged

#: Name of this instance as a reader.
OWN_READS = "self"
#: Maximum length of the name of an instance in the logs.
MAX_LOGGED_CHARACTERS = 64


@frozen
class ReadSource:
    """
    Where records of a topic come from.

    :param reader: The instance that read the store.
    :param passed_on_by: The instance that sent the records here.
    """

    reader: str
    passed_on_by: str


class SourceWatch:
    """
    Notes where the newest records of a topic come from.

    Two instances read the store for all, and their records arrive in turn, so
    a source is kept as long as it delivers. That bounds the log lines as well.

    :param topic: The topic.
    :param kept_seconds: Time without newer records of a source after which
        another one replaces it.
    """

    def __init__(self, topic: str, kept_seconds: float) -> None:
        #: The present source; None before the first read.
        self.source: ReadSource | None = None
        self._topic = topic
        self._kept_seconds = kept_seconds
        self._since_seconds = 0.0
        self._delivered_seconds = 0.0

    def observe(
        self,
        source: ReadSource,
        read_seconds: float,
        now_seconds: float,
        is_delegated: bool,
    ) -> ReaderChanged | None:
        """
        Record newer records; return the line to log if the source changes.

        :param source: Their source.
        :param read_seconds: Monotonic time of the read.
        :param now_seconds: Monotonic time.
        :param is_delegated: True if other instances should read for this one,
            so that a read of its own shows that they do not.
        """
        if source == self.source:
            self._delivered_seconds = now_seconds
            return None
        is_first = self.source is None
        silent_seconds = now_seconds - self._delivered_seconds
        replaces = is_first or (is_delegated and source.reader == OWN_READS)
        if not replaces and silent_seconds < self._kept_seconds:
            return None
        previous, self.source = self.source, source
        since_seconds, self._since_seconds = self._since_seconds, now_seconds
        self._delivered_seconds = now_seconds
        return ReaderChanged(
            topic=self._topic,
            reader=source.reader[:MAX_LOGGED_CHARACTERS],
            passed_on_by=source.passed_on_by[:MAX_LOGGED_CHARACTERS],
            age_seconds=now_seconds - read_seconds,
            former=previous.reader[:MAX_LOGGED_CHARACTERS] if previous else None,
            former_seconds=now_seconds - since_seconds if previous else None,
            silent_seconds=silent_seconds if previous else None,
        )
