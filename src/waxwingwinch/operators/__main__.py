"""Runs ``waxwing-ctl`` from the module."""

from waxwingwinch.operators import main

main()
