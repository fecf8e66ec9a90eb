"""The memory that the head of a request takes once it has been parsed."""

#: Memory of a header field beside its bytes: its name and value in several
#: tables of the server, the decoder and the request to the upstream.
FIELD_BYTES = 1_024
#: Memory of a field of a parsed query.
QUERY_FIELD_BYTES = 512
#: Fields that the memory of each request includes; ordinary ones have some 20.
INCLUDED_FIELDS = 64


def head_price_bytes(head: bytes, has_parsed_query: bool) -> int:
    """
    Return the memory to reserve for a head beyond that of each request.

    :param head: The head, not parsed.
    :param has_parsed_query: True if the fields of the query are parsed.
    """
    fields = max(head.count(b"\n") - INCLUDED_FIELDS, 0)
    query_fields = head.count(b"&") + head.count(b";") if has_parsed_query else 0
    return (
        fields * FIELD_BYTES
        + max(query_fields - INCLUDED_FIELDS, 0) * QUERY_FIELD_BYTES
    )
