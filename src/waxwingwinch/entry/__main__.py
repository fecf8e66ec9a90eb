"""Run the entry as a module."""

from waxwingwinch.entry import main

main()
