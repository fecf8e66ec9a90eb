"""Binding ports that another process may still use."""

import errno
import time
from collections.abc import Callable
from typing import TypeVar

import eliot

#: Pause between two attempts to bind a port.
BIND_RETRY_SECONDS = 0.05
#: Failed attempts of which only the first is logged.
ATTEMPTS_PER_LOG_LINE = 20

Bound = TypeVar("Bound")


class BindAbandoned(Exception):
    """The process stops while a port is still in use."""


def is_port_in_use(error: OSError) -> bool:
    """
    Tell whether a bind failed because of another user of the port.

    :param error: The error of the bind.
    """
    return error.errno == errno.EADDRINUSE


def log_port_in_use(address: str, attempts: int) -> None:
    """
    Log a failed attempt, one of :data:`ATTEMPTS_PER_LOG_LINE`.

    :param address: The address to bind.
    :param attempts: Number of attempts before this one.
    """
    if attempts % ATTEMPTS_PER_LOG_LINE == 0:
        eliot.log_message("listener:port_in_use", address=address, attempts=attempts)


def bind_when_free(
    bind: Callable[[], Bound],
    address: str,
    is_stopping: Callable[[], bool] = lambda: False,
) -> Bound:
    """
    Bind a port, once its present user has released it.

    :param bind: Binds the port.
    :param address: The address to bind, for the log.
    :param is_stopping: Tells whether to give up.
    :returns: What ``bind`` returns.
    :raises BindAbandoned: If the process stops meanwhile.
    :raises OSError: If binding fails for another reason.
    """
    attempts = 0
    while True:
        try:
            return bind()
        except OSError as error:
            if not is_port_in_use(error):
                raise
            log_port_in_use(address, attempts)
            if is_stopping():
                raise BindAbandoned(address) from error
        attempts += 1
        time.sleep(BIND_RETRY_SECONDS)
