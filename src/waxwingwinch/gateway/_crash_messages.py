"""Messages between instances about engines that crashed during generations."""

from attrs import field, frozen

from waxwingwinch._types import UpstreamId
from waxwingwinch.codec import message


@message("gateway_crash_report", is_positional=True)
@frozen
class CrashReport:
    """
    A request during which an upstream broke the connection.

    :param sequence: Increases with each observation of the instance; 0 if the
        instance passes on what another one observed.
    :param upstream_id: The engine.
    :param started_ms: Unix time of its start in milliseconds.
    :param part_ids: Shared parts of the prompt, in order, and the request.
    :param first_position: Position of the first of them in the prompt.
    :param sent_age_seconds: Time since the request was sent to the engine.
    :param seen_age_seconds: Time since the connection broke.
    :param has_begun: True if the upstream had begun to answer.
    """

    sequence: int
    upstream_id: UpstreamId
    started_ms: int
    part_ids: tuple[str, ...]
    first_position: int
    sent_age_seconds: float
    seen_age_seconds: float
    has_begun: bool = False


@message("gateway_answering_engine", is_positional=True)
@frozen
class AnsweringEngine:
    """
    An engine that answered a request sent after it seemed to have crashed.

    :param upstream_id: The engine.
    :param started_ms: Unix time of its start in milliseconds.
    :param age_seconds: Time since the request was sent.
    """

    upstream_id: UpstreamId
    started_ms: int
    age_seconds: float


@message("gateway_crash_evidence", is_positional=True)
@frozen
class CrashEvidenceReport:
    """
    What an instance knows of crashes of engines and of parts of prompts.

    :param crashes: Generations during which engines crashed.
    :param sound_ages_seconds: Time since the last generation that went well at
        the instance, by part, for parts that are suspect.
    :param answering: Engines that haven't crashed.
    """

    crashes: tuple[CrashReport, ...] = ()
    sound_ages_seconds: dict[str, float] = field(factory=dict)
    answering: tuple[AnsweringEngine, ...] = ()

    @property
    def is_empty(self) -> bool:
        """Tell whether the report says nothing."""
        return not (self.crashes or self.sound_ages_seconds or self.answering)
