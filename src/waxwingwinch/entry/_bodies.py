"""Reading the bodies of completion requests, with typed findings."""

import json
from typing import Any

from attrs import field, frozen

from waxwingwinch._exceptions import WaxwingError
from waxwingwinch._types import ModelName
from waxwingwinch.configuration import Configuration, Model
from waxwingwinch.entry._errors import ErrorCode, RequestFailed

#: Most messages of one chat.
MESSAGES_MAX = 2_048
#: Output length if the caller names none.
DEFAULT_MAX_TOKENS = 256
#: Separates the model from the adapter.
ADAPTER_SEPARATOR = ":"


class BodyFinding(WaxwingError):
    """
    One thing that is wrong with a body.

    :param place: The field, as a path.
    :param text: What is wrong.
    """

    def __init__(self, place: str, text: str) -> None:
        super().__init__(f"{place}: {text}")
        #: The field, as a path.
        self.place = place
        #: What is wrong.
        self.text = text


@frozen
class CompletionRequest:
    """
    A checked completion request.

    :param model: The model.
    :param adapter: Adapter on top of it; empty for none.
    :param prompt: The prompt as text; chat messages are joined.
    :param max_tokens: Upper bound of the answer.
    :param stream: True for server-sent events.
    :param include_usage: True to end the stream with token counts.
    :param chat: True for the chat form.
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
        """Estimated length of the prompt, for routing."""
        return max(1, len(self.prompt.split()))


def parse_completion(
    body: bytes, chat: bool, configuration: Configuration, max_tokens_limit: int
) -> CompletionRequest:
    """
    Check a body.

    :param body: As received.
    :param chat: True for the chat form.
    :param configuration: Names the models.
    :param max_tokens_limit: Largest accepted ``max_tokens``.
    :raises RequestFailed: If the body is wrong, with all findings.
    """
    reader = _BodyReader(_parse_object(body))
    model = reader.model(configuration)
    prompt = reader.chat_prompt() if chat else reader.prompt()
    request = CompletionRequest(
        model=model.name,
        adapter=reader.adapter(model),
        prompt=prompt,
        max_tokens=reader.max_tokens(max_tokens_limit),
        stream=reader.flag("stream"),
        include_usage=reader.include_usage(),
        chat=chat,
    )
    reader.single_choice()
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
        text = f"not UTF-8 at byte {error.start}"
        raise _invalid([BodyFinding("body", text)]) from error
    except (ValueError, RecursionError) as error:
        text = f"not JSON: {error}"
        raise _invalid([BodyFinding("body", text)]) from error
    if not isinstance(value, dict):
        raise _invalid([BodyFinding("body", "must be a JSON object")])
    return value


@frozen
class _BodyReader:
    """
    Reads fields and collects what is wrong with them.

    :param fields: The JSON object.
    :param findings: What was found so far.
    """

    fields: dict[str, Any]
    findings: list[BodyFinding] = field(factory=list)

    def report(self, place: str, text: str) -> None:
        self.findings.append(BodyFinding(place, text))

    def model(self, configuration: Configuration) -> Model:
        asked = self.fields.get("model")
        if not isinstance(asked, str):
            raise _invalid([BodyFinding("model", "must be a string")])
        name = ModelName(asked.partition(ADAPTER_SEPARATOR)[0])
        model = configuration.models.get(name)
        if model is None:
            text = f"there is no model {asked[:100]!r}"
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
            self.report("messages", "must be a list with at least one message")
            return ""
        if len(messages) > MESSAGES_MAX:
            self.report("messages", f"must have at most {MESSAGES_MAX} entries")
            return ""
        return "\n".join(
            self._chat_message(f"messages[{number}]", message)
            for number, message in enumerate(messages)
        )

    def _chat_message(self, place: str, message: Any) -> str:
        if not isinstance(message, dict):
            self.report(place, "must be an object")
            return ""
        role = self._text(f"{place}.role", message.get("role"))
        content = message.get("content")
        if isinstance(content, list):
            text = " ".join(
                self._content_part(f"{place}.content[{number}]", part)
                for number, part in enumerate(content)
            )
        else:
            text = self._text(f"{place}.content", content)
        return f"{role}: {text}"

    def _content_part(self, place: str, part: Any) -> str:
        if not isinstance(part, dict) or part.get("type") != "text":
            self.report(place, "must be an object of type 'text'")
            return ""
        return self._text(f"{place}.text", part.get("text"))

    def _text(self, place: str, value: Any) -> str:
        if not isinstance(value, str):
            self.report(place, "must be a string")
            return ""
        try:
            value.encode("utf-8")
        except UnicodeEncodeError:
            self.report(place, "contains half of a surrogate pair")
            return ""
        return value

    def max_tokens(self, limit: int) -> int:
        place = "max_tokens"
        if "max_completion_tokens" in self.fields:
            place = "max_completion_tokens"
        value = self.fields.get(place)
        if value is None:
            return min(DEFAULT_MAX_TOKENS, limit)
        if isinstance(value, bool) or not isinstance(value, int):
            self.report(place, "must be an integer")
        elif not 1 <= value <= limit:
            self.report(place, f"must be between 1 and {limit}")
        else:
            return value
        return limit

    def flag(self, place: str) -> bool:
        value = self.fields.get(place)
        if value is None:
            return False
        if not isinstance(value, bool):
            self.report(place, "must be true or false")
            return False
        return value

    def include_usage(self) -> bool:
        options = self.fields.get("stream_options")
        if options is None:
            return False
        if not isinstance(options, dict):
            self.report("stream_options", "must be an object")
            return False
        value = options.get("include_usage")
        if not isinstance(value, bool | None):
            self.report("stream_options.include_usage", "must be true or false")
        return value is True

    def single_choice(self) -> None:
        choices = self.fields.get("n")
        if choices is not None and (choices is True or choices != 1):
            self.report("n", "must be 1")
