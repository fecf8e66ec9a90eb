"""Lines of a streamed response."""

from collections.abc import Iterator

import urllib3

_CHUNK_BYTES = 65_536


def iterate_lines(response: urllib3.BaseHTTPResponse) -> Iterator[bytes]:
    """
    Give the lines of a body as they arrive, without their ends.

    :param response: A response whose body was not read yet.
    :raises urllib3.exceptions.HTTPError: If the body breaks off.
    """
    rest = b""
    while chunk := response.read1(_CHUNK_BYTES):
        *lines, rest = (rest + chunk).split(b"\n")
        yield from lines
