"""Options of the connections between peers, the same on all kinds of links."""

from typing import Any

from waxwingwinch.peers._frames import MAX_FRAME_BYTES

#: How long dialing may take.
DIAL_TIMEOUT_SECONDS = 2.0
#: First pause before dialing again; doubles with each failure.
MIN_REDIAL_PAUSE_SECONDS = 0.2
#: Longest pause before dialing again.
MAX_REDIAL_PAUSE_SECONDS = 2.0
#: Interval of the websocket pings that find dead connections.
PING_INTERVAL_SECONDS = 5.0
#: How long a ping may stay unanswered.
PING_TIMEOUT_SECONDS = 5.0

#: Options of a served connection.
SERVE_OPTIONS: dict[str, Any] = {
    "max_size": MAX_FRAME_BYTES,
    "compression": None,
    "ping_interval": PING_INTERVAL_SECONDS,
    "ping_timeout": PING_TIMEOUT_SECONDS,
}
#: Options of a dialed connection.
DIAL_OPTIONS: dict[str, Any] = {
    **SERVE_OPTIONS,
    "open_timeout": DIAL_TIMEOUT_SECONDS,
    "close_timeout": DIAL_TIMEOUT_SECONDS,
    "proxy": None,
}


def next_redial_pause_seconds(pause_seconds: float, was_up: bool) -> float:
    """
    Return the pause before dialing again.

    :param pause_seconds: The pause before.
    :param was_up: True if the link was up since.
    """
    if was_up:
        return MIN_REDIAL_PAUSE_SECONDS
    return min(2 * pause_seconds, MAX_REDIAL_PAUSE_SECONDS)
