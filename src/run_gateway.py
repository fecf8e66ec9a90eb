"""Starts the gateway from a checkout, without an installed package."""

from waxwingwinch.platform.__main__ import run

run()
