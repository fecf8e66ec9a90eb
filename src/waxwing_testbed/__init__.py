"""
Stand-ins, load and history checks for tests, demo and measurements.

Nothing in :mod:`waxwingwinch` depends on this package.
"""
