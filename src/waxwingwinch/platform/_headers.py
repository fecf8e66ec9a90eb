"""Names of the platform's HTTP headers, and groups of headers."""

HEADER_PREFIX = "x-waxwingwinch-"
REQUEST_ID = "X-Waxwingwinch-Request-Id"
#: Signature of the upstream that produced the response.
RESPONSE_STAMP = "X-Waxwingwinch-Response-Stamp"
DEADLINE_MS = "X-Waxwingwinch-Deadline-Ms"
#: Id of the upstream that should serve the request; any other upstream
#: refuses the request.
EXPECT_INSTANCE = "X-Waxwingwinch-Expect-Instance"
KEY = "X-Waxwingwinch-Key"
#: Name of the customer; sent to upstreams in place of the key.
TENANT = "X-Waxwingwinch-Tenant"
MODEL = "X-Waxwingwinch-Model"
#: Number of prompt tokens and maximum number of output tokens, as ``N,M``.
TOKEN_COUNTS = "X-Waxwingwinch-Token-Counts"
#: Parts of the prompt as a comma-separated list of ``ID:TOKENS``.
PROMPT_PREFIX = "X-Waxwingwinch-Prompt-Prefix"
PRIORITY = "X-Waxwingwinch-Request-Priority"
NOT_EXECUTED = "X-Waxwingwinch-Not-Executed"
SERVING_STAGE = "X-Waxwingwinch-Serving-Stage"
KV_SOURCE = "X-Waxwingwinch-Kv-Source"
LAST_EVENT_ID = "Last-Event-Id"
#: Id of the upstream that answered.
INSTANCE_ID = "X-Waxwingwinch-Instance-Id"
#: Requests per second that an upstream takes from all instances together.
SERVER_LIMIT = "Server-Limit"
#: Sent by an upstream that takes no new work any more.
SERVER_LEAVING = "Server-Leaving"
#: Seconds for which an upstream that turns a request away wants no other.
RETRY_AFTER = "Retry-After"
#: Milliseconds for which an upstream stays cold.
COLD_MS = "X-Waxwingwinch-Cold-Ms"
#: Number of times that the store has returned from an older copy.
STORE_ERA = "Store-Era"
CONNECTION = "Connection"
#: Framing of a body.
CONTENT_LENGTH = "Content-Length"
TRANSFER_ENCODING = "Transfer-Encoding"
DUTY_HOLDER = "X-Waxwingwinch-Duty-Holder"
FENCE_TOKEN = "X-Waxwingwinch-Fence-Token"

#: Headers that are not forwarded from callers' requests: the gateway reads
#: them itself, sets them, or they are internal. A request that repeats one of
#: them is malformed.
RESERVED_HEADERS = frozenset(
    name.lower()
    for name in (
        DEADLINE_MS,
        EXPECT_INSTANCE,
        KEY,
        TENANT,
        PRIORITY,
        NOT_EXECUTED,
        RESPONSE_STAMP,
        SERVING_STAGE,
        KV_SOURCE,
        LAST_EVENT_ID,
        DUTY_HOLDER,
        FENCE_TOKEN,
        "X-Waxwingwinch-Kv-Hold",
        "X-Waxwingwinch-Pin-Ms",
        "X-Waxwingwinch-Kv-Backup",
        "X-Waxwingwinch-Expect-Version",
        INSTANCE_ID,
        "Kv-Fetch",
    )
)

#: Hop-by-hop headers: valid for a single connection and never forwarded.
HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)

#: Headers of upstreams' answers that no decision needs, with the reason; in
#: lower case. All others have to be decoded.
UNUSED_RESPONSE_HEADERS = {
    "content-encoding": "bodies are asked for without; passed on to the caller",
    "date": "clocks of upstreams are not used",
    "server": "names software, not the upstream",
    "x-waxwingwinch-weight-versions": "one version for each service is used",
}
