"""Fingerprints of requests, equal for repeats of the same request."""

import hashlib

from waxwingwinch._types import CustomerId


def request_fingerprint(
    customer_id: CustomerId, route: str, body: bytes | bytearray
) -> str:
    """
    Return a digest that is equal for retries of the same request.

    :param customer_id: The customer; empty on open routes.
    :param route: Path and model, or method and target, of the request.
    :param body: Body of the request.
    """
    digest = hashlib.sha256()
    for part in (customer_id.encode(), route.encode(), body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()
