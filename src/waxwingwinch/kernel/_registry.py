"""Registry that starts, stops and looks up services by name."""

import enum
import threading
from typing import Protocol, TypeVar, cast

from waxwingwinch._exceptions import WaxwingError

T = TypeVar("T")


class Health(enum.Enum):
    """State of a service, as ``/healthz`` and ``status`` show it."""

    STOPPED = "stopped"
    STARTING = "starting"
    HEALTHY = "healthy"
    #: Works with reduced function, for example without the log.
    DEGRADED = "degraded"
    FAILED = "failed"


class Service(Protocol):
    """A component that is started and stopped with its process."""

    def start(self) -> None:
        """Start the service; return once it can be used."""

    def stop(self) -> None:
        """Stop the service; return once none of its threads runs."""

    def health(self) -> Health:
        """Return the current state."""


class Registry:
    """
    Holds the services of one process by name.

    Services start in the order of registration and stop in the reverse
    order, so a service may use those registered before it from its start
    until its stop.
    """

    def __init__(self) -> None:
        self._services: dict[str, object] = {}
        self._started: list[tuple[str, Service]] = []
        self._lock = threading.Lock()

    def register(self, name: str, service: object) -> None:
        """
        Add a service.

        An object without a ``start`` method is only looked up, never started.

        :param name: The name for lookups.
        :raises WaxwingError: If the name is taken.
        """
        with self._lock:
            if name in self._services:
                raise WaxwingError(f"service {name!r} is already registered")
            self._services[name] = service

    def lookup(self, name: str, service_type: type[T]) -> T:
        """
        Find a service.

        :param name: The name given at registration.
        :param service_type: The expected type; used by type checkers only and
            not checked at run time.
        :raises WaxwingError: If no service has the name.
        """
        with self._lock:
            service = self._services.get(name)
        if service is None:
            raise WaxwingError(f"no service is registered as {name!r}")
        return cast(T, service)

    def start_all(self) -> None:
        """
        Start all services in the order of registration.

        :raises Exception: The error of the service that failed to start,
            after the services started before it were stopped.
        """
        for name, service in list(self._services.items()):
            if not hasattr(service, "start"):
                continue
            startable = cast(Service, service)
            try:
                startable.start()
            except BaseException:
                self.stop_all()
                raise
            self._started.append((name, startable))

    def stop_all(self) -> None:
        """
        Stop all started services in the reverse order.

        :raises ExceptionGroup: The errors of all services that failed to
            stop.
        """
        errors: list[Exception] = []
        while self._started:
            _, service = self._started.pop()
            try:
                service.stop()
            except Exception as error:
                errors.append(error)
        if errors:
            raise ExceptionGroup("services failed to stop", errors)

    def health(self) -> dict[str, Health]:
        """Return the state of each started service by name."""
        return {name: service.health() for name, service in list(self._started)}
