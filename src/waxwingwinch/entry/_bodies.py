"""Parsing and validation of completion request bodies."""

import json
from typing import Any

from attrs import field, frozen

from waxwingwinch._exceptions import WaxwingError
from waxwingwinch._types import ModelName
from waxwingwinch.configuration import Configuration, Model
from waxwingwinch.entry._errors import ErrorCode, RequestFailed

#: Largest accepted number of messages in a chat request.
MESSAGES_MAX = 2_048
#: Output limit of requests without ``max_tokens``.
DEFAULT_MAX_TOKENS = 256
#: Separates model and adapter in the ``model`` field.
ADAPTER_SEPARATOR = ":"


class BodyFinding(WaxwingError):
    """
    A validation error of a request body.

    :param path: Path of the invalid field.
    :param text: What is wrong with the field.
    """

    def __init__(self, path: str, text: str) -> None:
        super().__init__(f"{path}: {text}")
        #: Path of the invalid field.
        self.path = path
        #: What is wrong with the field.
        self.text = text


@frozen
class CompletionRequest:
    """
    A validated completion request.

    :param model: The model.
    :param adapter: Adapter of the model; empty for none.
    :param prompt: Text of the prompt; chat messages are joined by line breaks.
    :param max_tokens: Largest number of output tokens.
    :param stream: True if the response is sent as server-sent events.
    :param include_usage: True if the stream ends with token counts.
    :param chat: True for a chat completion, false for a text completion.
    """

    model: ModelName
    adapter: str
    prompt: str
    max_tokens: int
    stream: bool
    include_usage: bool
    chat: bool

    @property
    def prompt_tokens(self) -> int:
        """Estimated prompt length for routing: the number of words."""
        return max(1, len(self.prompt.split()))


def parse_completion(
    body: bytes, chat: bool, configuration: Configuration, max_tokens_limit: int
) -> CompletionRequest:
    """
    Parse and validate the body of a completion request.

    :param body: The body as received.
    :param chat: True for a chat completion, false for a text completion.
    :param configuration: Contains the known models and adapters.
    :param max_tokens_limit: Largest accepted ``max_tokens``.
    :raises RequestFailed: If the body is invalid or names an unknown model
        or adapter. Invalid fields are reported together where possible.
    """
    reader = _BodyReader(_parse_object(body))
    model = reader.model(configuration)
    prompt = reader.chat_prompt() if chat else reader.prompt()
    request = CompletionRequest(
        model=model.name,
        adapter=reader.adapter(model),
        prompt=prompt,
        max_tokens=reader.max_tokens(max_tokens_limit),
        stream=reader.boolean("stream"),
        include_usage=reader.include_usage(),
        chat=chat,
    )
    reader.check_single_choice()
    if reader.findings:
        raise _invalid(reader.findings)
    return request


def _invalid(findings: list[BodyFinding]) -> RequestFailed:
    text = "; ".join(str(finding) for finding in findings)
    error = RequestFailed(400, ErrorCode.INVALID_REQUEST, text)
    error.__cause__ = ExceptionGroup("invalid request body", findings)
    return error


def _parse_object(body: bytes) -> dict[str, Any]:
    try:
        value = json.loads(body.decode("utf-8"))
    except UnicodeDecodeError as error:
        text = f"invalid UTF-8 at byte {error.start}"
        raise _invalid([BodyFinding("body", text)]) from error
    except (ValueError, RecursionError) as error:
        text = f"can't be parsed as JSON: {error}"
        raise _invalid([BodyFinding("body", text)]) from error
    if not isinstance(value, dict):
        raise _invalid([BodyFinding("body", "must be a JSON object")])
    return value


@frozen
class _BodyReader:
    """
    Reads and validates fields, and collects the validation errors.

    :param fields: The JSON object.
    :param findings: Validation errors found so far.
    """

    fields: dict[str, Any]
    findings: list[BodyFinding] = field(factory=list)

    def add_finding(self, path: str, text: str) -> None:
        self.findings.append(BodyFinding(path, text))

    def model(self, configuration: Configuration) -> Model:
        requested = self.fields.get("model")
        if not isinstance(requested, str):
            raise _invalid([BodyFinding("model", "must be a string")])
        name = ModelName(requested.partition(ADAPTER_SEPARATOR)[0])
        model = configuration.models.get(name)
        if model is None:
            text = f"model {requested[:100]!r} does not exist"
            raise RequestFailed(404, ErrorCode.MODEL_NOT_FOUND, text)
        return model

    def adapter(self, model: Model) -> str:
        adapter = str(self.fields["model"]).partition(ADAPTER_SEPARATOR)[2]
        if adapter and adapter not in model.adapters:
            text = f"model {model.name!r} has no adapter {adapter[:100]!r}"
            raise RequestFailed(404, ErrorCode.MODEL_NOT_FOUND, text)
        return adapter

    def prompt(self) -> str:
        return self._text("prompt", self.fields.get("prompt"))

    def chat_prompt(self) -> str:
        messages = self.fields.get("messages")
        if not isinstance(messages, list) or not messages:
            self.add_finding("messages", "must be a list with at least one message")
            return ""
        if len(messages) > MESSAGES_MAX:
            self.add_finding("messages", f"must have at most {MESSAGES_MAX} entries")
            return ""
        return "\n".join(
            self._chat_message(f"messages[{number}]", message)
            for number, message in enumerate(messages)
        )

    def _chat_message(self, path: str, message: Any) -> str:
        if not isinstance(message, dict):
            self.add_finding(path, "must be an object")
            return ""
        role = self._text(f"{path}.role", message.get("role"))
        content = message.get("content")
        if isinstance(content, list):
            text = " ".join(
                self._content_part(f"{path}.content[{number}]", part)
                for number, part in enumerate(content)
            )
        else:
            text = self._text(f"{path}.content", content)
        return f"{role}: {text}"

    def _content_part(self, path: str, part: Any) -> str:
        if not isinstance(part, dict) or part.get("type") != "text":
            self.add_finding(path, "must be an object of type 'text'")
            return ""
        return self._text(f"{path}.text", part.get("text"))

    def _text(self, path: str, value: Any) -> str:
        if not isinstance(value, str):
            self.add_finding(path, "must be a string")
            return ""
        try:
            value.encode("utf-8")
        except UnicodeEncodeError:
            self.add_finding(path, "contains an unpaired surrogate code point")
            return ""
        return value

    def max_tokens(self, limit: int) -> int:
        path = "max_tokens"
        if "max_completion_tokens" in self.fields:
            path = "max_completion_tokens"
        value = self.fields.get(path)
        if value is None:
            return min(DEFAULT_MAX_TOKENS, limit)
        if isinstance(value, bool) or not isinstance(value, int):
            self.add_finding(path, "must be an integer")
        elif not 1 <= value <= limit:
            self.add_finding(path, f"must be between 1 and {limit}")
        else:
            return value
        return limit

    def boolean(self, path: str) -> bool:
        value = self.fields.get(path)
        if value is None:
            return False
        if not isinstance(value, bool):
            self.add_finding(path, "must be true or false")
            return False
        return value

    def include_usage(self) -> bool:
        options = self.fields.get("stream_options")
        if options is None:
            return False
        if not isinstance(options, dict):
            self.add_finding("stream_options", "must be an object")
            return False
        value = options.get("include_usage")
        if not isinstance(value, bool | None):
            self.add_finding("stream_options.include_usage", "must be true or false")
        return value is True

    def check_single_choice(self) -> None:
        choices = self.fields.get("n")
        if choices is not None and (choices is True or choices != 1):
            self.add_finding("n", "must be 1")
