"""Filters of the kernel on the packets of a socket."""

import ctypes
import socket
import struct

#: Linux option that attaches a classic BPF program; not in :mod:`socket`.
SO_ATTACH_FILTER = 26
#: Instructions that drop a TCP segment with SYN and without ACK, and pass all
#: others. The fields are operation, two jumps and operand.
_DROP_SYN = (
    (0x30, 0, 0, 13),  # load the byte of the flags
    (0x54, 0, 0, 0x12),  # keep SYN and ACK
    (0x15, 0, 1, 0x02),  # only SYN?
    (0x06, 0, 0, 0),  # drop
    (0x06, 0, 0, 0xFFFFFFFF),  # pass
)


def drop_new_handshakes(listener: socket.socket) -> None:
    """
    Let a listening socket complete its handshakes, but begin no other.

    A socket that is closed with connections in its queue resets them. With the
    filter the queue can be emptied for good before it is closed.

    :param listener: The listening socket.
    :raises OSError: If the kernel refuses the filter.
    """
    program = b"".join(struct.pack("HBBI", *fields) for fields in _DROP_SYN)
    buffer = ctypes.create_string_buffer(program, len(program))
    header = struct.pack("HP", len(_DROP_SYN), ctypes.addressof(buffer))
    listener.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, header)
