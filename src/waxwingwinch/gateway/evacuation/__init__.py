"""Availability zones whose upstreams get no requests."""

from waxwingwinch.gateway.evacuation._zones import EvacuatedZones

__all__ = ["EvacuatedZones"]
