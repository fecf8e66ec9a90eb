"""Errors of HTTP requests, which state what may have become of them."""


class NotSent(Exception):
    """No byte of the request left the process."""


class ConnectTimedOut(NotSent):
    """
    The server did not respond to the connection request.

    A server that is at its limit, or has ended, refuses a connection at once.
    """


class AnswerMissing(Exception):
    """The request may have arrived, but no complete response was received."""


class ConnectionBroken(AnswerMissing):
    """The server closed the connection before the end of its response."""


class AnswerMalformed(AnswerMissing):
    """
    The response violates the grammar of HTTP.

    Where it ends isn't known, so its connection can't be used again.
    """
