"""Runs ``waxwing-soak`` from the module."""

from waxwing_testbed.soak import main

main()
