"""The listening socket of a server built on cheroot."""

from collections.abc import Callable
from typing import Any

from waxwingwinch.kernel import bind_when_free


class ListeningMixin:
    """Mixin with which a cheroot server waits until its port is free."""

    bind_addr: tuple[str, int]
    socket: Any
    request_queue_size: int
    #: Tells whether to stop waiting for the port.
    gives_up_binding: Callable[[], bool] = staticmethod(lambda: False)

    def bind(self, *arguments: Any) -> Any:
        """
        Bind the port and listen, once it is free.

        :param arguments: Address family, type and protocol of the socket.
        :raises BindAbandoned: If the process stops meanwhile.
        """

        def bind_and_listen() -> Any:
            super(ListeningMixin, self).bind(*arguments)  # type: ignore[misc]
            # Of two sockets that share a port by SO_REUSEADDR, only one can
            # listen.
            self.socket.listen(self.request_queue_size)
            return self.socket

        host, port = self.bind_addr
        return bind_when_free(bind_and_listen, f"{host}:{port}", self.gives_up_binding)
