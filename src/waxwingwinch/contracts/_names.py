"""Names under which services are registered."""

import enum


class ServiceName(enum.StrEnum):
    """The names of services in the registry."""

    CLOCK = "clock"
    LOG = "log"
    INSTANCE_LIST = "instance_list"
    UPSTREAM_MARKET = "upstream_market"
    USAGE_INTAKE = "usage_intake"
    WEIGHT_STORE = "weight_store"
    ENGINE = "engine"
    PLAIN_SERVICE = "plain_service"
    CONFIGURATION = "configuration"
    DECISIONS = "decisions"
    DUTIES = "duties"
    FLEET = "fleet"
    IDEMPOTENCY = "idempotency"
    LIMITER = "limiter"
    MEMBERSHIP = "membership"
    METRICS = "metrics"
    PEER_SERVER = "peer_server"
    USAGE = "usage"
