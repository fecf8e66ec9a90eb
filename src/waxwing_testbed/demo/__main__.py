"""Run the demonstration as a module."""

from waxwing_testbed.demo import main

main()
