"""Starts the gateway on the users' platform."""

import os
import sys

from waxwingwinch.platform._main import main

if __name__ == "__main__":
    status = main()
    sys.stdout.flush()
    # Skips joining the threads that still wait for callers, so that they
    # cannot delay the exit of the process.
    os._exit(status)
