"""The bounds that a soak gives to the gateway and checks it against."""

from attrs import frozen

_BYTES_PER_MB = 1_048_576


@frozen
class Bounds:
    """
    Bounds of the settings file.

    :param grace_seconds: From SIGTERM to SIGKILL.
    :param loss_slack_seconds: How late after its last byte an unanswered
        request may be closed that no upstream got.
    :param contact_seconds: How long an instance must have been undisturbed.
    :param apply_seconds: From a configuration's acknowledgement until it must
        be in force.
    :param memory_mb: Limit of a process's resident memory.
    """

    grace_seconds: float = 8.0
    loss_slack_seconds: float = 0.2
    contact_seconds: float = 3.0
    apply_seconds: float = 2.0
    memory_mb: int = 300

    @property
    def memory_bytes(self) -> int:
        """Limit of a process's resident memory."""
        return self.memory_mb * _BYTES_PER_MB

    def settings(self) -> str:
        """Return the lines of the settings file."""
        return (
            f"bounds.graceS={self.grace_seconds:g}\n"
            f"bounds.lossSlackMs={self.loss_slack_seconds * 1_000:g}\n"
            f"bounds.contactMs={self.contact_seconds * 1_000:g}\n"
            f"bounds.configApplyMs={self.apply_seconds * 1_000:g}\n"
            f"limits.memoryMb={self.memory_mb}\n"
        )
