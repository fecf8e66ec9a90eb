"""Runs ``waxwing-entry`` by ``python -m waxwingwinch.entry``."""

from waxwingwinch.entry import main

main()
