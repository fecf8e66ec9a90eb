"""
Adapter between the gateway and the users' platform.

It translates the platform's names, wire formats and calls and contains no
decision logic. No other package depends on these names and formats.
"""
