"""A whole deployment in real processes on the loopback interface."""

import pathlib
import time
from collections.abc import Callable

import urllib3

from waxwing_testbed.deployment._plan import DeploymentPlan
from waxwing_testbed.deployment._process import ManagedProcess
from waxwing_testbed.deployment._settings_files import (
    InstancePlaces,
    allocate_places,
    write_instance_settings,
    write_standin_settings,
)
from waxwing_testbed.standins import AdminClient
from waxwingwinch._types import Address, InstanceId

#: How long the processes may take to come up.
START_TIMEOUT_SECONDS = 40.0
#: Pause between two looks at a condition.
POLL_PAUSE_SECONDS = 0.05
#: How long a health check may take.
HEALTH_TIMEOUT_SECONDS = 1.0


class DeploymentFailed(Exception):
    """A deployment did not reach the state that its user waited for."""


class Instance:
    """
    One instance: an entry process and a control process.

    :param places: Where they serve.
    :param entry: The entry process.
    :param control: The control process, started again whenever it ends.
    """

    def __init__(
        self, places: InstancePlaces, entry: ManagedProcess, control: ManagedProcess
    ) -> None:
        #: Where the processes serve.
        self.places = places
        #: The entry process.
        self.entry = entry
        #: The control process.
        self.control = control

    @property
    def instance_id(self) -> InstanceId:
        """Name of the instance."""
        return self.places.instance_id

    @property
    def address(self) -> Address:
        """Where callers connect."""
        return self.places.entry

    def is_serving(self) -> bool:
        """Tell whether the entry serves keyed requests."""
        try:
            answer = urllib3.request(
                "GET",
                f"http://{self.address}/healthz",
                timeout=HEALTH_TIMEOUT_SECONDS,
                retries=False,
            )
        except urllib3.exceptions.HTTPError:
            return False
        return answer.status == 200 and answer.json()["freshness"] == "fresh"


class Deployment:
    """
    Starts and ends the processes of a deployment.

    :param plan: Sizes and speeds.
    :param folder: Where settings and logs are written.
    """

    def __init__(self, plan: DeploymentPlan, folder: pathlib.Path) -> None:
        #: Sizes and speeds.
        self.plan = plan
        #: Where settings and logs are written.
        self.folder = folder
        self.places = allocate_places(plan)
        #: Settings of the stand-ins.
        self.standin_settings = write_standin_settings(
            plan, self.places, folder / "standin.yaml"
        )
        #: Switches faults and reads journals.
        self.admin = AdminClient(self.places.admin)
        self._standin = self._process(
            "standin", "waxwing_testbed.standins", folder / "standin.yaml"
        )
        #: The instances, in order of their numbers.
        self.instances = [self._instance(places) for places in self.places.instances]

    def start(self) -> None:
        """
        Start all processes and wait until they serve.

        :raises DeploymentFailed: If one doesn't in time.
        """
        self._standin.start()
        self.admin.wait_ready(START_TIMEOUT_SECONDS)
        for instance in self.instances:
            instance.control.start()
            instance.entry.start()
        for instance in self.instances:
            self.wait_for(instance.is_serving, f"{instance.instance_id} serves")

    def stop(self) -> None:
        """End all processes."""
        for instance in self.instances:
            for process in (instance.entry, instance.control):
                process.resume()
                process.terminate()
        for instance in self.instances:
            instance.entry.stop()
            instance.control.stop()
        self._standin.stop()

    def __enter__(self) -> "Deployment":
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *_: object) -> None:
        self.stop()

    def wait_for(
        self,
        condition: Callable[[], bool],
        what: str,
        timeout_seconds: float = START_TIMEOUT_SECONDS,
    ) -> None:
        """
        Wait until a condition holds.

        :param condition: Evaluated again and again.
        :param what: Names the condition in the error.
        :param timeout_seconds: How long to wait.
        :raises DeploymentFailed: If it doesn't hold in time.
        """
        deadline_seconds = time.monotonic() + timeout_seconds
        while not condition():
            if time.monotonic() > deadline_seconds:
                raise DeploymentFailed(f"waited in vain until {what}")
            time.sleep(POLL_PAUSE_SECONDS)

    def instance(self, name: str) -> Instance:
        """
        Return an instance by name.

        :param name: For example ``i1``.
        """
        for instance in self.instances:
            if instance.instance_id == name:
                return instance
        raise KeyError(name)

    def _instance(self, places: InstancePlaces) -> Instance:
        entry_path, control_path = write_instance_settings(
            self.plan, self.places, places, self.folder
        )
        name = places.instance_id
        return Instance(
            places,
            self._process(f"{name}-entry", "waxwingwinch.entry", entry_path),
            self._process(
                f"{name}-control", "waxwingwinch.control", control_path, restarts=True
            ),
        )

    def _process(
        self, name: str, module: str, settings: pathlib.Path, restarts: bool = False
    ) -> ManagedProcess:
        arguments = ["--settings", str(settings)]
        return ManagedProcess(name, module, arguments, self.folder, restarts)
