"""Runs ``waxwing-burn`` from the module."""

from waxwingwinch.burn import main

main()
