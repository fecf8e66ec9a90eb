"""Run the stand-ins as a module."""

from waxwing_testbed.standins import main

main()
