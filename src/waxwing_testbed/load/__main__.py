"""Runs ``waxwing-load`` from the module."""

from waxwing_testbed.load import main

main()
