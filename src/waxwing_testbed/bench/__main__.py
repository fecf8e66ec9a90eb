"""Entry point of ``python -m waxwing_testbed.bench``."""

from waxwing_testbed.bench._main import main

if __name__ == "__main__":
    main()
