"""Requests to the entries, one after the other until one answers."""

from collections.abc import Sequence
from http import HTTPStatus
from typing import TypeVar
from urllib.parse import urlencode

import urllib3

from waxwingwinch._exceptions import Outcome, WaxwingError
from waxwingwinch.configuration import Finding
from waxwingwinch.http import AnswerMalformed, CheckedPools
from waxwingwinch.operators_api import (
    BodyInvalid,
    FindingsView,
    UnavailableView,
    read_body,
    write_body,
)

T = TypeVar("T")

#: How long connecting to an entry may take.
CONNECT_TIMEOUT_SECONDS = 2.0
#: How long an entry may take to answer.
READ_TIMEOUT_SECONDS = 10.0


class EntryUnreachable(WaxwingError):
    """
    One entry did not answer, or could not do what was asked.

    :param entry: Its address.
    :param problem: What was seen.
    :param outcome: ``NOT_RUN`` only if the request certainly has no effect.
    """

    def __init__(self, entry: str, problem: str, outcome: Outcome) -> None:
        super().__init__(f"{entry}: {problem}")
        #: What is known about the effect of the request.
        self.outcome = outcome


class AllUnreachable(ExceptionGroup[EntryUnreachable]):
    """No entry answered."""

    def derive(self, excs: Sequence[EntryUnreachable]) -> "AllUnreachable":  # type: ignore[override]
        """
        Make a group of the same class.

        :param excs: Some of the errors.
        """
        return AllUnreachable(self.message, excs)

    @property
    def outcome(self) -> Outcome:
        """``UNKNOWN`` if the request may have an effect nevertheless."""
        outcomes = {
            error.outcome
            for error in self.exceptions
            if isinstance(error, EntryUnreachable)
        }
        return Outcome.NOT_RUN if outcomes <= {Outcome.NOT_RUN} else Outcome.UNKNOWN


class RequestRefused(WaxwingError):
    """
    An entry refused a request.

    :param status: HTTP status.
    :param findings: Why.
    """

    def __init__(self, status: int, findings: tuple[Finding, ...]) -> None:
        super().__init__("; ".join(str(finding) for finding in findings))
        #: HTTP status.
        self.status = status
        #: Why.
        self.findings = findings


class OperatorClient:
    """
    Asks entries.

    :param entries: Addresses, tried in order.
    :param token: The operator's token.
    """

    def __init__(self, entries: Sequence[str], token: str) -> None:
        self.entries = tuple(entries)
        self._token = token
        timeout = urllib3.Timeout(
            connect=CONNECT_TIMEOUT_SECONDS, read=READ_TIMEOUT_SECONDS
        )
        self._pool = CheckedPools(timeout=timeout, retries=False)

    def get(self, path: str, cls: type[T], name: str = "") -> T:
        """
        Ask a question.

        :param path: Path below ``/operator/``.
        :param cls: Class of the answer.
        :param name: What it is about.
        :raises AllUnreachable: If no entry answered.
        :raises RequestRefused: If it was refused.
        """
        query = f"?{urlencode({'name': name})}" if name else ""
        return self._try_all("GET", f"{path}{query}", None, cls)

    def post(self, path: str, body: object | None, cls: type[T]) -> T:
        """
        Ask for an action that may be repeated.

        :param path: Path below ``/operator/``.
        :param body: An instance of a message class, or None.
        :param cls: Class of the answer.
        :raises AllUnreachable: If no entry answered.
        :raises RequestRefused: If it was refused.
        """
        return self._try_all("POST", path, body, cls)

    def _try_all(self, method: str, path: str, body: object, cls: type[T]) -> T:
        payload = b"" if body is None else write_body(body)
        errors = []
        for entry in self.entries:
            try:
                return self._try_one(entry, method, path, payload, cls)
            except EntryUnreachable as error:
                errors.append(error)
        raise AllUnreachable("no entry answered", errors)

    def _try_one(
        self, entry: str, method: str, path: str, payload: bytes, cls: type[T]
    ) -> T:
        headers = {
            "Authorization": f"Bearer {self._token}",
            "Content-Type": "application/json",
        }
        try:
            response = self._pool.request(
                method,
                f"http://{entry}/operator/{path}",
                body=payload or None,
                headers=headers,
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.LocationValueError,
        ) as error:
            raise EntryUnreachable(entry, str(error), Outcome.NOT_RUN) from error
        except urllib3.exceptions.ConnectTimeoutError as error:
            raise EntryUnreachable(entry, str(error), Outcome.NOT_RUN) from error
        except (urllib3.exceptions.HTTPError, AnswerMalformed) as error:
            raise EntryUnreachable(entry, str(error), Outcome.UNKNOWN) from error
        try:
            return _read_response(entry, response.status, response.data, cls)
        except BodyInvalid as error:
            problem = f"unreadable answer with status {response.status}"
            raise EntryUnreachable(entry, problem, Outcome.UNKNOWN) from error


def _read_response(entry: str, status: int, data: bytes, cls: type[T]) -> T:
    if status in (HTTPStatus.OK, HTTPStatus.ACCEPTED):
        return read_body(data, cls)
    if status == HTTPStatus.SERVICE_UNAVAILABLE:
        unavailable = read_body(data, UnavailableView)
        raise EntryUnreachable(entry, unavailable.problem, unavailable.outcome)
    raise RequestRefused(status, read_body(data, FindingsView).findings)
