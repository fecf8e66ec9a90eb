"""Everything that one stand-in process holds."""

import time
from typing import Protocol

from waxwing_testbed.proxy import FaultProxy
from waxwing_testbed.standins._engine import EngineStandin
from waxwing_testbed.standins._faults import FaultSwitches
from waxwing_testbed.standins._market import Market
from waxwing_testbed.standins._market_rows import listed_engine, listed_plain
from waxwing_testbed.standins._plain import PlainStandin
from waxwing_testbed.standins._platform import PlatformStandin
from waxwing_testbed.standins._settings import EngineSettings, StandinSettings
from waxwingwinch._exceptions import WaxwingError


class Startable(Protocol):
    """A part of the process that is started and stopped with it."""

    def start(self) -> None:
        """Begin to serve."""

    def stop(self) -> None:
        """Stop for good."""


class Standin(Startable, Protocol):
    """What the engine, plain service and platform stand-ins share."""

    faults: FaultSwitches

    def journal(self) -> object:
        """Return everything recorded."""


class StandinProcess:
    """
    Builds, starts and stops the stand-ins of one settings file.

    :param settings: The settings.
    """

    def __init__(self, settings: StandinSettings) -> None:
        self.engines = {str(row.name): EngineStandin(row) for row in settings.engines}
        self.plain_services = {
            str(row.name): PlainStandin(row) for row in settings.plain_services
        }
        self.proxies = {
            row.name: FaultProxy(row.listen, row.target) for row in settings.proxies
        }
        self.platform: PlatformStandin | None = None
        if settings.platform is not None:
            self.platform = PlatformStandin(settings.platform, self._start_engine)

    def start(self) -> None:
        """
        Start everything.

        :raises ExceptionGroup: With the errors of all that did not start.
        """
        errors: list[Exception] = []
        parts: list[Startable] = [*self._standins().values(), *self.proxies.values()]
        for part in parts:
            try:
                part.start()
            except Exception as error:
                errors.append(error)
        if errors:
            self.stop()
            raise ExceptionGroup("stand-ins failed to start", errors)
        if self.platform is not None:
            self._list_upstreams(self.platform.market)

    def stop(self) -> None:
        """Stop everything."""
        parts: list[Startable] = [*self.proxies.values(), *self._standins().values()]
        for part in parts:
            part.stop()

    def standin(self, name: str) -> Standin:
        """
        Find a stand-in.

        :param name: Its name in the settings.
        :raises WaxwingError: If there is none.
        """
        found = self._standins().get(name)
        if found is None:
            raise WaxwingError(f"no stand-in is named {name!r}")
        return found

    def _standins(self) -> dict[str, Standin]:
        standins: dict[str, Standin] = {**self.engines, **self.plain_services}
        if self.platform is not None:
            standins[self.platform.settings.name] = self.platform
        return standins

    def _start_engine(self, settings: EngineSettings) -> EngineStandin:
        engine = EngineStandin(settings)
        engine.start()
        self.engines[str(settings.name)] = engine
        return engine

    def _list_upstreams(self, market: Market) -> None:
        for engine in list(self.engines.values()):
            market.add(listed_engine(engine.settings), engine, time.monotonic())
        for plain in self.plain_services.values():
            market.add(listed_plain(plain.settings), plain, time.monotonic())
        market.settle()
