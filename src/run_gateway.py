"""Starts the gateway from a checkout, without an installed package."""

import runpy

runpy.run_module("waxwingwinch.platform", run_name="__main__")
