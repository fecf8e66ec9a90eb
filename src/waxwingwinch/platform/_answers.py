"""Which responses answer a request."""

from waxwingwinch.gateway import ResponseHead
from waxwingwinch.http import AnswerMissing

#: Statuses below are informational: the response itself is still to come.
MIN_FINAL_STATUS = 200
#: Statuses that promise a caller that its request was not executed; an
#: upstream has to state that besides.
REFUSAL_STATUSES = (408, 429, 503)


def check_identity(head: ResponseHead, request_id: str, is_kept: bool) -> None:
    """
    Raise unless a response is certain to be the answer to a request.

    On a kept connection, a response without an id may be an earlier one that
    the upstream has sent again.

    :param head: Status and headers of the response.
    :param request_id: Id of the request that was sent.
    :param is_kept: True if the connection has carried other requests.
    :raises AnswerMissing: If the response may belong to another request.
    """
    if head.status < MIN_FINAL_STATUS:
        raise AnswerMissing(
            f"expected the response to request {request_id},"
            f" got the informational status {head.status}"
        )
    if head.request_id is None and is_kept:
        raise AnswerMissing(
            f"expected the response to request {request_id}, got a response with"
            f" status {head.status} and no request id on a kept connection"
        )
    if head.request_id is not None and head.request_id != request_id:
        raise AnswerMissing(
            f"expected the response to request {request_id},"
            f" got the response to request {head.request_id}"
        )


def check_refusal(head: ResponseHead, request_id: str) -> None:
    """
    Raise if an answer promises what its upstream did not state.

    :param head: Status and headers of the answer.
    :param request_id: Id of the request that was sent.
    :raises AnswerMissing: If the status promises the caller that the request
        was not executed, and the upstream does not.
    """
    if head.status in REFUSAL_STATUSES and not head.not_executed:
        raise AnswerMissing(
            f"got status {head.status} without the statement that request"
            f" {request_id} was not executed"
        )
