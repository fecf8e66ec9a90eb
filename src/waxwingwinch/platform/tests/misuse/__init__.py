"""
Clients outside anyone's control, at all listening addresses of a process.

They are run on their own, after all other tests: they bound memory and
descriptors of a process, and need the machine for the clients.
"""
