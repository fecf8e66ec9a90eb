"""
The adapter to the users' platform.

It translates names, formats and calls of the platform and decides nothing.
No other package knows them.
"""
