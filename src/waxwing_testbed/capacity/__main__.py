"""Entry point of ``python -m waxwing_testbed.capacity``."""

from waxwing_testbed.capacity import main

main()
