"""Stand-ins of model engines, plain services and the platform."""

from waxwing_testbed.standins._admin_client import AdminClient
from waxwing_testbed.standins._engine import ENGINE_OPERATIONS
from waxwing_testbed.standins._faults import Fault, Outage
from waxwing_testbed.standins._journal import (
    EngineJournal,
    Execution,
    GenerationRow,
    PlainJournal,
    PlatformJournal,
    ReceivedEngineOrder,
    ReceivedMarketOrder,
    ReceivedReport,
    SeenHeader,
)
from waxwing_testbed.standins._main import main, run
from waxwing_testbed.standins._plain import PLAIN_OPERATIONS
from waxwing_testbed.standins._platform import (
    LOG_OPERATIONS,
    MARKET_OPERATIONS,
    PLATFORM_OPERATIONS,
)
from waxwing_testbed.standins._process import StandinProcess
from waxwing_testbed.standins._settings import (
    CapacitySettings,
    EngineLags,
    EngineLimits,
    EngineSettings,
    EngineSpeeds,
    LogSettings,
    MarketSettings,
    PlainSettings,
    PlatformSettings,
    ProxySettings,
    StandinSettings,
    WeightStoreSettings,
    load_settings,
    make_settings_converter,
)

__all__ = [
    "ENGINE_OPERATIONS",
    "LOG_OPERATIONS",
    "MARKET_OPERATIONS",
    "PLAIN_OPERATIONS",
    "PLATFORM_OPERATIONS",
    "AdminClient",
    "CapacitySettings",
    "EngineJournal",
    "EngineLags",
    "EngineLimits",
    "EngineSettings",
    "EngineSpeeds",
    "Execution",
    "Fault",
    "GenerationRow",
    "LogSettings",
    "MarketSettings",
    "Outage",
    "PlainJournal",
    "PlainSettings",
    "PlatformJournal",
    "PlatformSettings",
    "ProxySettings",
    "ReceivedEngineOrder",
    "ReceivedMarketOrder",
    "ReceivedReport",
    "SeenHeader",
    "StandinProcess",
    "StandinSettings",
    "WeightStoreSettings",
    "load_settings",
    "main",
    "make_settings_converter",
    "run",
]
