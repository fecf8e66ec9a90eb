"""Hooks of the scenarios."""
