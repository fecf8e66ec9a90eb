"""What is loaded on an engine, and how orders change it."""

from waxwing_testbed.standins._generation import Refusal
from waxwing_testbed.standins._settings import EngineSpeeds
from waxwingwinch._types import EngineRole, ModelName
from waxwingwinch.interfaces import (
    GenerateCall,
    LoadAdapter,
    LoadModel,
    OrderAction,
    SetRole,
)


class Loaded:
    """
    Role, model and adapters of an engine.

    :param role: The role at start.
    :param model: The model at start.
    :param adapters: The adapters at start.
    """

    def __init__(
        self, role: EngineRole, model: ModelName, adapters: tuple[str, ...]
    ) -> None:
        self.role = role
        self.model = model
        self.adapters = adapters

    def refusal(self, call: GenerateCall) -> Refusal | None:
        """
        Return why a call can't run; None if it can.

        :param call: The call.
        """
        if call.model != self.model:
            return Refusal.MODEL_NOT_LOADED
        if call.adapter and call.adapter not in self.adapters:
            return Refusal.ADAPTER_NOT_LOADED
        return None

    def begin(self, action: OrderAction) -> None:
        """
        Unload what a change replaces.

        :param action: The change.
        """
        if isinstance(action, LoadModel):
            self.model = ModelName("")
            self.adapters = ()

    def end(self, action: OrderAction) -> None:
        """
        Apply a change that has taken its time.

        :param action: The change.
        """
        match action:
            case SetRole(role):
                self.role = role
            case LoadModel(model):
                self.model = model
            case LoadAdapter(adapter):
                self.adapters = (*self.adapters, adapter)


def change_seconds(action: OrderAction, speeds: EngineSpeeds) -> float:
    """
    Return how long a change takes.

    :param action: The change.
    :param speeds: The engine's settings.
    """
    match action:
        case SetRole():
            return speeds.role_change_seconds
        case LoadModel():
            return speeds.model_load_seconds
        case LoadAdapter():
            return speeds.adapter_load_seconds
