"""Bytes of messages and records by the number of things in them."""

import base64
import hashlib
import json

from waxwing_testbed.capacity._samples import (
    HOLDER,
    customer_id_of,
    make_extra_request,
    make_floor_request,
    make_fold_state,
    make_heartbeat,
    make_listed_instance,
    make_listed_upstream,
    make_load_report,
    make_usage_push,
)
from waxwing_testbed.capacity._slopes import Slope, measure_slope
from waxwingwinch._types import Epoch, ProcessId
from waxwingwinch.adapters import make_wire_converter
from waxwingwinch.authority import DutyRenewal, DutyVersion
from waxwingwinch.codec import encode_message
from waxwingwinch.configuration import (
    ConfigurationChange,
    PutCustomer,
    build_snapshot,
    wrap_change,
)
from waxwingwinch.contracts import StoredAnswer
from waxwingwinch.idempotency import Claim, ClaimAnswered
from waxwingwinch.limits import ExtraReply, FloorGranted, GrantedTokens, ReturnedTokens
from waxwingwinch.streams import encode_envelope

#: Sizes of what an entry has a few of.
FEW_SIZES = (2, 8, 32, 128)
#: Sizes of what there are thousands of.
MANY_SIZES = (100, 400, 1_600, 3_200)
#: Length of the body of a plain service's answer.
ANSWER_BODY_BYTES = 128
_CBOR = "length of the encoded message"
_JSON = "length of the JSON body"
_LOG = "length of the records as JSON rows of a log page"


def measure_messages() -> list[Slope]:
    """Measure the bytes of all messages."""
    return [*_peer_messages(), *_platform_messages(), *_log_records()]


def _peer_messages() -> list[Slope]:
    return [
        measure_slope(
            "heartbeat_bytes",
            "B",
            "engine with work",
            _CBOR,
            FEW_SIZES,
            lambda size: len(encode_message(make_heartbeat(size))),
        ),
        measure_slope(
            "extra_request_bytes",
            "B",
            "customer with traffic",
            _CBOR,
            FEW_SIZES,
            lambda size: len(encode_message(make_extra_request(size))),
        ),
        measure_slope(
            "extra_reply_bytes",
            "B",
            "customer with traffic",
            _CBOR,
            FEW_SIZES,
            lambda size: len(encode_message(_extra_reply(size))),
        ),
        measure_slope(
            "floor_request_bytes",
            "B",
            "configured customer",
            _CBOR,
            MANY_SIZES,
            lambda size: len(encode_message(make_floor_request(size))),
        ),
        measure_slope(
            "usage_push_bytes",
            "B",
            "changed counter",
            _CBOR,
            FEW_SIZES,
            lambda size: len(encode_message(make_usage_push(size))),
        ),
    ]


def _platform_messages() -> list[Slope]:
    return [
        measure_slope(
            "load_report_bytes",
            "B",
            "engine polled",
            _JSON,
            FEW_SIZES,
            lambda size: sum(
                _json_bytes(make_load_report(number)) for number in range(size)
            ),
        ),
        measure_slope(
            "upstream_list_bytes",
            "B",
            "upstream listed",
            _JSON,
            MANY_SIZES,
            lambda size: _json_bytes([make_listed_upstream(n) for n in range(size)]),
        ),
        measure_slope(
            "instance_list_bytes",
            "B",
            "instance listed",
            _JSON,
            FEW_SIZES,
            lambda size: _json_bytes([make_listed_instance(n) for n in range(size)]),
        ),
    ]


def _log_records() -> list[Slope]:
    return [
        measure_slope(
            "configuration_snapshot_bytes",
            "B",
            "customer with a key",
            _CBOR,
            MANY_SIZES,
            lambda size: len(encode_message(build_snapshot(make_fold_state(size), 1))),
        ),
        measure_slope(
            "configuration_change_bytes",
            "B",
            "change of a customer",
            _LOG,
            FEW_SIZES,
            lambda size: _log_bytes([make_change(n) for n in range(size)]),
        ),
        measure_slope(
            "claim_log_bytes",
            "B",
            "claim with its outcome",
            f"{_LOG}; answers of {ANSWER_BODY_BYTES} B",
            FEW_SIZES,
            lambda size: _log_bytes(
                [record for number in range(size) for record in make_claim(number)]
            ),
        ),
        measure_slope(
            "floor_log_bytes",
            "B",
            "floor",
            _LOG,
            FEW_SIZES,
            lambda size: _log_bytes([_floor_record(n) for n in range(size)]),
        ),
        measure_slope(
            "duty_renewal_log_bytes",
            "B",
            "duty renewed, one in a record",
            _LOG,
            FEW_SIZES,
            lambda size: _log_bytes([_renewal(n) for n in range(size)]),
        ),
    ]


def make_claim(number: int) -> tuple[Claim, ClaimAnswered]:
    """Build a claim and its outcome."""
    claim_id = hashlib.md5(str(number).encode()).hexdigest()
    digest = hashlib.sha256(claim_id.encode()).digest()
    runner = ProcessId(HOLDER.instance_id, HOLDER.incarnation)
    headers = (("Content-Type", "application/json"),)
    answer = StoredAnswer(200, headers, b"x" * ANSWER_BODY_BYTES)
    return (
        Claim(claim_id, digest, digest.hex(), runner),
        ClaimAnswered(claim_id, digest, digest.hex(), answer),
    )


def make_change(version: int) -> ConfigurationChange:
    """Build a change of one customer's rate."""
    change = PutCustomer(customer_id_of(version), 25.0, 50.0)
    return ConfigurationChange(
        version,
        "operator",
        f"change-{version:032}",
        "more rate",
        (wrap_change(change),),
    )


def _extra_reply(size: int) -> ExtraReply:
    rows = tuple(
        GrantedTokens(customer_id_of(n), 3, 90_000, False, 0.0, ReturnedTokens(900, 2))
        for n in range(size)
    )
    return ExtraReply(Epoch(7), rows, 2.0)


def _floor_record(number: int) -> FloorGranted:
    customer_id = customer_id_of(number)
    return FloorGranted(
        customer_id, HOLDER, 3.3333, 6.6667, 20.0, 40.0, 600.0, Epoch(7)
    )


def _renewal(number: int) -> DutyRenewal:
    duty = f"limits-model-{number % 22}-zone-{number % 6}"
    return DutyRenewal((DutyVersion(duty, Epoch(90_000), 100_000 + number),))


def _json_bytes(value: object) -> int:
    return len(json.dumps(make_wire_converter().unstructure(value)).encode())


def _log_bytes(records: list[object]) -> int:
    rows = [
        {
            "offset": number,
            "payload": base64.b64encode(
                encode_envelope(HOLDER.incarnation, number, record)
            ).decode(),
        }
        for number, record in enumerate(records)
    ]
    return len(json.dumps(rows).encode())
