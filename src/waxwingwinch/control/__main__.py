"""Run ``waxwing-control`` as a module."""

from waxwingwinch.control import main

main()
