"""Answers questions of operators about requests, on the metrics address."""

import json
from urllib.parse import parse_qs

from attrs import asdict

from waxwingwinch._types import CustomerId
from waxwingwinch.gateway._current_table import CurrentTable
from waxwingwinch.gateway._info_server import InfoReply
from waxwingwinch.gateway._requests import Prompt, PromptPart
from waxwingwinch.gateway.explanation._explainer import RequestExplainer, RequestQuery
from waxwingwinch.kernel import Clock

#: Path of the questions.
EXPLAIN_PATH = "/explain"
#: Most parts of a prompt that are read from a question.
MAX_PARTS = 64


class ExplainEndpoint:
    """
    Answers ``GET /explain?host=H&path=P&customer=C&prompt=ID:TOKENS,...``.

    :param explainer: Makes the choices.
    :param table: Holds the configuration in force.
    :param clock: Source of the present time.
    """

    def __init__(
        self, explainer: RequestExplainer, table: CurrentTable, clock: Clock
    ) -> None:
        self._explainer = explainer
        self._table = table
        self._clock = clock

    def answer(self, query: str) -> InfoReply:
        """
        Answer a question.

        :param query: Query string of the request.
        """
        try:
            request = read_query(query)
        except ValueError as error:
            return InfoReply("400 Bad Request", str(error).encode(), "text/plain")
        explanation = self._explainer.explain(
            self._table.get(), request, self._clock.now_seconds()
        )
        return InfoReply("200 OK", json.dumps(asdict(explanation)).encode())


def read_query(query: str) -> RequestQuery:
    """
    Parse a question.

    :param query: Query string of the request.
    :raises ValueError: If it is malformed.
    """
    fields = parse_qs(query)
    path = fields.get("path", [""])[0]
    host = fields.get("host", [""])[0].lower()
    if not host or not path.startswith("/"):
        raise ValueError("expected host=HOST and path=/PATH")
    customer = fields.get("customer", [""])[0]
    prompt = fields.get("prompt", [""])[0]
    return RequestQuery(
        host,
        path,
        CustomerId(customer) if customer else None,
        _read_prompt(prompt) if prompt else None,
    )


def _read_prompt(text: str) -> Prompt:
    parts = []
    for item in text.split(",")[:MAX_PARTS]:
        part_id, separator, tokens = item.strip().rpartition(":")
        if not separator or not tokens.isdecimal():
            raise ValueError(f"prompt part {item!r} is not of the form ID:TOKENS")
        parts.append(PromptPart(part_id, int(tokens)))
    return Prompt("", sum(part.tokens for part in parts), 0, tuple(parts))
