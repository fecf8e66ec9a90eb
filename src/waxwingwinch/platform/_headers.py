"""Names of the headers, in lower case."""

PREFIX = "x-waxwingwinch-"
REQUEST_ID = "X-Waxwingwinch-Request-Id"
#: Signature of the upstream that made the answer.
RESPONSE_STAMP = "X-Waxwingwinch-Response-Stamp"
DEADLINE_MS = "X-Waxwingwinch-Deadline-Ms"
#: Id of the upstream that is to serve the request; others refuse it.
EXPECT_INSTANCE = "X-Waxwingwinch-Expect-Instance"
KEY = "X-Waxwingwinch-Key"
#: Name of the customer, towards upstreams.
TENANT = "X-Waxwingwinch-Tenant"
MODEL = "X-Waxwingwinch-Model"
#: Prompt tokens and most output tokens.
TOKEN_COUNTS = "X-Waxwingwinch-Token-Counts"
#: Parts of the prompt as ID:TOKENS.
PROMPT_PREFIX = "X-Waxwingwinch-Prompt-Prefix"
PRIORITY = "X-Waxwingwinch-Request-Priority"
NOT_EXECUTED = "X-Waxwingwinch-Not-Executed"
SERVING_STAGE = "X-Waxwingwinch-Serving-Stage"
KV_SOURCE = "X-Waxwingwinch-Kv-Source"
LAST_EVENT_ID = "Last-Event-Id"
DUTY_HOLDER = "X-Waxwingwinch-Duty-Holder"
FENCE_TOKEN = "X-Waxwingwinch-Fence-Token"

#: Headers that only the system may set; a caller's are dropped.
SYSTEM_ONLY = frozenset(
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
        "X-Waxwingwinch-Instance-Id",
        "Kv-Fetch",
    )
)

#: Headers that concern one connection only.
ONE_CONNECTION = frozenset(
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
