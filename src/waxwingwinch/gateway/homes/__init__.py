"""Home regions: where the requests of a route or a customer may be served."""

from waxwingwinch.gateway.homes._callers import ResolveQuery, nearest_members
from waxwingwinch.gateway.homes._refusal import home_refusal
from waxwingwinch.gateway.homes._request import RequestHomes
from waxwingwinch.gateway.homes._zones import allowed_zones, known_regions

__all__ = [
    "RequestHomes",
    "ResolveQuery",
    "allowed_zones",
    "home_refusal",
    "known_regions",
    "nearest_members",
]
