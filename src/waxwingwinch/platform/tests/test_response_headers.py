"""Each header of an answer is decoded, or listed as not needed."""

import ast
import re
from pathlib import Path

from waxwingwinch.platform import _headers
from waxwingwinch.platform._headers import UNUSED_RESPONSE_HEADERS

ADAPTER = Path(_headers.__file__).parent
PAGE = ADAPTER.parents[2] / "docs/design/upstream-statements.md"
#: Modules that decode answers.
DECODERS = (
    ADAPTER / "_statements.py",
    ADAPTER / "_store.py",
    ADAPTER / "_transport.py",
    ADAPTER.parent / "gateway" / "_requests.py",
)
#: A header line in a scripted answer, or a header name by itself.
HEADER_LINE = re.compile(r"([A-Z][a-z]*(?:-[A-Z][a-z]*)*): ")
HEADER_NAME = re.compile(r"[A-Z][a-z]*(-[A-Z][a-z]*)*")
#: A header name in a decoder, which may compare names in lower case.
DECODED_NAME = re.compile(r"[A-Za-z]+(-[A-Za-z]+)+")


def strings(node):
    """Return the texts of the string constants below a node."""
    for item in ast.walk(node):
        if isinstance(item, ast.Constant) and isinstance(item.value, str):
            yield item.value


def headers_sent(text):
    """Return the names of the headers of answers that a stand-in sends."""
    names: set[str] = set()
    for node in ast.walk(ast.parse(text)):
        match node:
            case ast.Call(func=ast.Attribute(attr="send_header"), args=[name, *_]):
                names.update(strings(name))
            case ast.Tuple(elts=[ast.Constant(value=str(name)), _]):
                if HEADER_NAME.fullmatch(name):
                    names.add(name)
            case ast.Constant(value=str(line)):
                if found := HEADER_LINE.match(line):
                    names.add(found[1])
    return names


def standin_headers():
    """Return the headers that the stand-ins send, with their modules."""
    sent: dict[str, str] = {}
    for path in sorted((ADAPTER / "tests").glob("*.py")):
        if not path.name.startswith("test_"):
            for name in headers_sent(path.read_text()):
                sent[name.lower()] = path.name
    return sent


def decoded_headers():
    """Return the headers that the decoding modules of the adapter name."""
    names = set()
    for path in DECODERS:
        for node in ast.walk(ast.parse(path.read_text())):
            match node:
                case ast.Name(id=constant, ctx=ast.Load()) if constant.isupper():
                    names.add(getattr(_headers, constant, None))
                case ast.Constant(value=str(text)) if DECODED_NAME.fullmatch(text):
                    names.add(text)
    return {name.lower() for name in names if isinstance(name, str)}


# Guards against a statement of an upstream that passes unread.
def test_each_header_that_a_standin_sends_is_decoded_or_not_needed():
    sent = standin_headers()
    assert {"server-leaving", "server-limit", "retry-after"} <= set(sent)
    unread = sent.keys() - decoded_headers() - UNUSED_RESPONSE_HEADERS.keys()
    assert {name: sent[name] for name in unread} == {}


def test_a_header_is_not_both_decoded_and_not_needed():
    assert decoded_headers() & UNUSED_RESPONSE_HEADERS.keys() == set()


def test_the_design_page_lists_each_header():
    page = PAGE.read_text().lower()
    statements = ("Server-Leaving", "Server-Limit", "Retry-After", "Store-Era")
    listed = {name.lower() for name in statements} | UNUSED_RESPONSE_HEADERS.keys()
    assert {name for name in listed if f"`{name}`" not in page} == set()


# Guards against a check that finds nothing.
def test_an_unread_header_of_a_standin_is_found():
    sent = headers_sent('def serve(self):\n    self.send_header("Server-Mood", "1")\n')
    sent |= headers_sent('lines.append(("Server-Tide", "1"))')
    sent |= headers_sent('LINE = "Server-Wind: 1"')
    assert sent == {"Server-Mood", "Server-Tide", "Server-Wind"}
    assert not {name.lower() for name in sent} & decoded_headers()
