"""Options of the connections between peers, for threaded and asyncio links."""

from typing import Any

from waxwingwinch.peers._frames import MAX_FRAME_BYTES

#: Longest wait for opening and for closing a dialed connection.
DIAL_TIMEOUT_SECONDS = 2.0
#: Longest wait of a server for the opening of a connection; longer than that
#: of the peer that dials.
OPEN_TIMEOUT_SECONDS = 3.0
#: First pause before redialing; doubles with each failure.
MIN_REDIAL_PAUSE_SECONDS = 0.2
#: Longest pause before redialing.
MAX_REDIAL_PAUSE_SECONDS = 2.0
#: Interval of the websocket pings that detect dead connections.
PING_INTERVAL_SECONDS = 5.0
#: Longest wait for the pong; then the connection is closed.
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


def next_redial_pause_seconds(pause_seconds: float, was_connected: bool) -> float:
    """
    Return the pause before redialing.

    :param pause_seconds: The previous pause.
    :param was_connected: True if the last dial made a connection.
    """
    if was_connected:
        return MIN_REDIAL_PAUSE_SECONDS
    return min(2 * pause_seconds, MAX_REDIAL_PAUSE_SECONDS)
