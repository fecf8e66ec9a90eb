"""Carrying out what happens during a run."""

import threading
import time
import uuid
from collections.abc import Iterable

from attrs import define, field

from waxwing_testbed.bench._scenario import (
    Action,
    LogOutage,
    OrderRoles,
    ReclaimZone,
    SlowEngine,
)
from waxwing_testbed.deployment import Deployment
from waxwing_testbed.standins import Outage
from waxwingwinch._exceptions import OrderRefused, UpstreamFailed
from waxwingwinch._types import EngineRole, Epoch
from waxwingwinch.adapters import HttpEngine
from waxwingwinch.interfaces import EngineOrder, SetRole

#: Fencing token of the bench's orders, above those of the controls.
BENCH_EPOCH = Epoch(1_000_000)
#: Operations of the platform that belong to the log.
LOG_OPERATIONS = ("append", "read")


@define
class ActionThread:
    """
    Carries out actions at their times.

    :param deployment: The processes.
    :param actions: What to do.
    :param seconds: Length of the run.
    """

    deployment: Deployment
    actions: tuple[Action, ...]
    seconds: float
    #: When the last outage of the log ended, Unix time; 0 for none.
    log_back_seconds: float = 0.0
    _roles: list[EngineRole] = field(factory=list, init=False)
    _thread: threading.Thread | None = field(default=None, init=False)

    def start(self, begin_seconds: float) -> None:
        """
        Start.

        :param begin_seconds: Monotonic time at which the run begins.
        """
        settings = self.deployment.standin_settings.engines
        self._roles = [engine.role for engine in settings]
        self._thread = threading.Thread(target=self._run, args=(begin_seconds,))
        self._thread.start()

    def finish(self) -> None:
        """Wait for the last action and end an outage."""
        if self._thread is not None:
            self._thread.join()
        if any(isinstance(action, LogOutage) for action in self.actions):
            self._set_log(Outage.NONE)
            self.log_back_seconds = time.time()

    def _run(self, begin_seconds: float) -> None:
        for action in _in_order(self.actions):
            due_seconds = begin_seconds + action.at_part * self.seconds
            time.sleep(max(0.0, due_seconds - time.monotonic()))
            self._carry_out(action)

    def _carry_out(self, action: Action) -> None:
        admin = self.deployment.admin
        match action:
            case SlowEngine(_, factor):
                first = self.deployment.standin_settings.engines[0]
                admin.slow_down(first.name, factor)
            case ReclaimZone(_, zone, notice_seconds):
                admin.reclaim(zone, notice_seconds)
            case LogOutage():
                self._set_log(Outage.REFUSE)
            case OrderRoles(_, roles):
                self._order_roles(roles)

    def _set_log(self, outage: Outage) -> None:
        self.deployment.admin.set_outage("platform", LOG_OPERATIONS, outage)

    def _order_roles(self, roles: tuple[EngineRole, ...]) -> None:
        """Change as few engines as reach the wanted number of each role."""
        spare = list(roles)
        changing = []
        for number, role in enumerate(self._roles):
            if role in spare:
                spare.remove(role)
            else:
                changing.append(number)
        for number, role in zip(changing, spare, strict=True):
            self._roles[number] = role
            self._order_role(number, role)

    def _order_role(self, number: int, role: EngineRole) -> None:
        engine = self.deployment.standin_settings.engines[number]
        order = EngineOrder(uuid.uuid4().hex, BENCH_EPOCH, SetRole(role))
        try:
            HttpEngine().order(engine.address, order)
        except (OrderRefused, UpstreamFailed) as error:
            raise RuntimeError(f"{engine.name} took no order: {error}") from error


def _in_order(actions: Iterable[Action]) -> list[Action]:
    return sorted(actions, key=lambda action: action.at_part)
