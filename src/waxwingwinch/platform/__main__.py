"""Starts the gateway on the users' platform."""

import os
import sys

from waxwingwinch.platform._main import main

if __name__ == "__main__":
    status = main()
    sys.stdout.flush()
    # Threads that wait for callers don't hold the end of the process up.
    os._exit(status)
