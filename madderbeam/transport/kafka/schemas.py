"""The calls of the subset as tables: fields by version, and from which version on the compact form is used.

From the message definitions in the public protocol guide (kafka.apache.org/protocol). Each Api names the
versions that are spoken here; docs/design/kafka.md says what is left out.
"""

from __future__ import annotations

from dataclasses import dataclass

from madderbeam.transport.kafka.codec import NEVER, Schema
from madderbeam.transport.kafka.codec import Field as F

THROTTLE = F("throttle_time_ms", "int32", 1)


@dataclass(frozen=True, slots=True)
class Api:
    """One call: its key, the least and the newest version spoken, the first flexible one, both schemas."""

    key: int
    name: str
    least: int
    most: int
    flexible: int
    request: Schema
    response: Schema

    def is_flexible(self, version: int) -> bool:
        return version >= self.flexible


PRODUCE = Api(
    0,
    "Produce",
    3,
    9,
    9,
    (
        F("transactional_id", "string", 3, null=3),
        F("acks", "int16"),
        F("timeout_ms", "int32"),
        F(
            "topics",
            (F("name", "string"), F("partitions", (F("index", "int32"), F("records", "bytes", null=0)))),
        ),
    ),
    (
        F(
            "topics",
            (
                F("name", "string"),
                F(
                    "partitions",
                    (
                        F("index", "int32"),
                        F("error_code", "int16"),
                        F("base_offset", "int64"),
                        F("log_append_time_ms", "int64", 2, default=-1),
                        F("log_start_offset", "int64", 5),
                        F(
                            "record_errors",
                            (F("batch_index", "int32"), F("message", "string", null=0)),
                            8,
                            default=(),
                        ),
                        F("error_message", "string", 8, null=8),
                    ),
                ),
            ),
        ),
        THROTTLE,
    ),
)

FETCH = Api(
    1,
    "Fetch",
    4,
    11,
    12,
    (
        F("replica_id", "int32"),
        F("max_wait_ms", "int32"),
        F("min_bytes", "int32"),
        F("max_bytes", "int32", 3),
        F("isolation_level", "int8", 4),
        F("session_id", "int32", 7),
        F("session_epoch", "int32", 7),
        F(
            "topics",
            (
                F("name", "string"),
                F(
                    "partitions",
                    (
                        F("index", "int32"),
                        F("current_leader_epoch", "int32", 9),
                        F("fetch_offset", "int64"),
                        F("log_start_offset", "int64", 5),
                        F("max_bytes", "int32"),
                    ),
                ),
            ),
        ),
        F("forgotten", (F("name", "string"), F("partitions", ["int32"])), 7, default=()),
        F("rack_id", "string", 11, default=""),
    ),
    (
        THROTTLE,
        F("error_code", "int16", 7),
        F("session_id", "int32", 7),
        F(
            "topics",
            (
                F("name", "string"),
                F(
                    "partitions",
                    (
                        F("index", "int32"),
                        F("error_code", "int16"),
                        F("high_watermark", "int64"),
                        F("last_stable_offset", "int64", 4),
                        F("log_start_offset", "int64", 5),
                        F("aborted", (F("producer_id", "int64"), F("first_offset", "int64")), 4, null=4),
                        F("preferred_read_replica", "int32", 11, default=-1),
                        F("records", "bytes", null=0),
                    ),
                ),
            ),
        ),
    ),
)

LIST_OFFSETS = Api(
    2,
    "ListOffsets",
    1,
    5,
    6,
    (
        F("replica_id", "int32"),
        F("isolation_level", "int8", 2),
        F(
            "topics",
            (
                F("name", "string"),
                F(
                    "partitions",
                    (F("index", "int32"), F("current_leader_epoch", "int32", 4), F("timestamp", "int64")),
                ),
            ),
        ),
    ),
    (
        F("throttle_time_ms", "int32", 2),
        F(
            "topics",
            (
                F("name", "string"),
                F(
                    "partitions",
                    (
                        F("index", "int32"),
                        F("error_code", "int16"),
                        F("timestamp", "int64", 1, default=-1),
                        F("offset", "int64", 1),
                        F("leader_epoch", "int32", 4, default=-1),
                    ),
                ),
            ),
        ),
    ),
)

METADATA = Api(
    3,
    "Metadata",
    0,
    9,
    9,
    (
        F("topics", (F("name", "string"),), null=1),
        F("allow_auto_topic_creation", "bool", 4),
        F("include_cluster_authorized_operations", "bool", 8, 10),
        F("include_topic_authorized_operations", "bool", 8),
    ),
    (
        F("throttle_time_ms", "int32", 3),
        F(
            "brokers",
            (F("node_id", "int32"), F("host", "string"), F("port", "int32"), F("rack", "string", 1, null=1)),
        ),
        F("cluster_id", "string", 2, null=2),
        F("controller_id", "int32", 1),
        F(
            "topics",
            (
                F("error_code", "int16"),
                F("name", "string"),
                F("is_internal", "bool", 1),
                F(
                    "partitions",
                    (
                        F("error_code", "int16"),
                        F("index", "int32"),
                        F("leader_id", "int32"),
                        F("leader_epoch", "int32", 7),
                        F("replicas", ["int32"]),
                        F("isr", ["int32"]),
                        F("offline", ["int32"], 5, default=()),
                    ),
                ),
                F("authorized_operations", "int32", 8, default=-2147483648),
            ),
        ),
        F("cluster_authorized_operations", "int32", 8, 10, default=-2147483648),
    ),
)

OFFSET_COMMIT = Api(
    8,
    "OffsetCommit",
    2,
    7,
    8,
    (
        F("group_id", "string"),
        F("generation_id", "int32", 1),
        F("member_id", "string", 1),
        F("group_instance_id", "string", 7, null=7),
        F("retention_time_ms", "int64", 2, 4),
        F(
            "topics",
            (
                F("name", "string"),
                F(
                    "partitions",
                    (
                        F("index", "int32"),
                        F("offset", "int64"),
                        F("leader_epoch", "int32", 6),
                        F("metadata", "string", null=0),
                    ),
                ),
            ),
        ),
    ),
    (
        F("throttle_time_ms", "int32", 3),
        F("topics", (F("name", "string"), F("partitions", (F("index", "int32"), F("error_code", "int16"))))),
    ),
)

OFFSET_FETCH = Api(
    9,
    "OffsetFetch",
    1,
    5,
    6,
    (F("group_id", "string"), F("topics", (F("name", "string"), F("partitions", ["int32"])), null=2)),
    (
        F("throttle_time_ms", "int32", 3),
        F(
            "topics",
            (
                F("name", "string"),
                F(
                    "partitions",
                    (
                        F("index", "int32"),
                        F("offset", "int64"),
                        F("leader_epoch", "int32", 5, default=-1),
                        F("metadata", "string", null=0),
                        F("error_code", "int16"),
                    ),
                ),
            ),
        ),
        F("error_code", "int16", 2),
    ),
)

FIND_COORDINATOR = Api(
    10,
    "FindCoordinator",
    0,
    2,
    3,
    (F("key", "string"), F("key_type", "int8", 1)),
    (
        THROTTLE,
        F("error_code", "int16"),
        F("error_message", "string", 1, null=1),
        F("node_id", "int32"),
        F("host", "string"),
        F("port", "int32"),
    ),
)

JOIN_GROUP = Api(
    11,
    "JoinGroup",
    0,
    5,
    6,
    (
        F("group_id", "string"),
        F("session_timeout_ms", "int32"),
        F("rebalance_timeout_ms", "int32", 1),
        F("member_id", "string"),
        F("group_instance_id", "string", 5, null=5),
        F("protocol_type", "string"),
        F("protocols", (F("name", "string"), F("metadata", "bytes"))),
    ),
    (
        F("throttle_time_ms", "int32", 2),
        F("error_code", "int16"),
        F("generation_id", "int32"),
        F("protocol_name", "string"),
        F("leader", "string"),
        F("member_id", "string"),
        F(
            "members",
            (F("member_id", "string"), F("group_instance_id", "string", 5, null=5), F("metadata", "bytes")),
        ),
    ),
)

HEARTBEAT = Api(
    12,
    "Heartbeat",
    0,
    3,
    4,
    (
        F("group_id", "string"),
        F("generation_id", "int32"),
        F("member_id", "string"),
        F("group_instance_id", "string", 3, null=3),
    ),
    (THROTTLE, F("error_code", "int16")),
)

LEAVE_GROUP = Api(
    13,
    "LeaveGroup",
    0,
    2,
    4,
    (F("group_id", "string"), F("member_id", "string")),
    (THROTTLE, F("error_code", "int16")),
)

SYNC_GROUP = Api(
    14,
    "SyncGroup",
    0,
    3,
    4,
    (
        F("group_id", "string"),
        F("generation_id", "int32"),
        F("member_id", "string"),
        F("group_instance_id", "string", 3, null=3),
        F("assignments", (F("member_id", "string"), F("assignment", "bytes"))),
    ),
    (THROTTLE, F("error_code", "int16"), F("assignment", "bytes")),
)

SASL_HANDSHAKE = Api(
    17,
    "SaslHandshake",
    0,
    1,
    NEVER,
    (F("mechanism", "string"),),
    (F("error_code", "int16"), F("mechanisms", ["string"])),
)

API_VERSIONS = Api(
    18,
    "ApiVersions",
    0,
    3,
    3,
    (F("client_software_name", "string", 3), F("client_software_version", "string", 3)),
    (
        F("error_code", "int16"),
        F("api_keys", (F("key", "int16"), F("least", "int16"), F("most", "int16"))),
        THROTTLE,
    ),
)

INIT_PRODUCER_ID = Api(
    22,
    "InitProducerId",
    0,
    4,
    2,
    (
        F("transactional_id", "string", null=0),
        F("transaction_timeout_ms", "int32"),
        F("producer_id", "int64", 3, default=-1),
        F("producer_epoch", "int16", 3, default=-1),
    ),
    (
        F("throttle_time_ms", "int32"),
        F("error_code", "int16"),
        F("producer_id", "int64"),
        F("producer_epoch", "int16"),
    ),
)

SASL_AUTHENTICATE = Api(
    36,
    "SaslAuthenticate",
    0,
    1,
    2,
    (F("auth_bytes", "bytes"),),
    (
        F("error_code", "int16"),
        F("error_message", "string", null=0),
        F("auth_bytes", "bytes"),
        F("session_lifetime_ms", "int64", 1),
    ),
)

APIS = {
    api.key: api
    for api in (
        PRODUCE,
        FETCH,
        LIST_OFFSETS,
        METADATA,
        OFFSET_COMMIT,
        OFFSET_FETCH,
        FIND_COORDINATOR,
        JOIN_GROUP,
        HEARTBEAT,
        LEAVE_GROUP,
        SYNC_GROUP,
        SASL_HANDSHAKE,
        API_VERSIONS,
        INIT_PRODUCER_ID,
        SASL_AUTHENTICATE,
    )
}


class Code:
    """Error codes of the protocol that the front gives; `outcomes` has those that it meets."""

    NONE = 0
    OFFSET_OUT_OF_RANGE = 1
    CORRUPT_MESSAGE = 2
    UNKNOWN_TOPIC_OR_PARTITION = 3
    MESSAGE_TOO_LARGE = 10
    NOT_ENOUGH_REPLICAS = 19
    INVALID_REQUIRED_ACKS = 21
    ILLEGAL_GENERATION = 22
    INCONSISTENT_GROUP_PROTOCOL = 23
    UNKNOWN_MEMBER_ID = 25
    INVALID_SESSION_TIMEOUT = 26
    REBALANCE_IN_PROGRESS = 27
    UNSUPPORTED_SASL_MECHANISM = 33
    ILLEGAL_SASL_STATE = 34
    UNSUPPORTED_VERSION = 35
    INVALID_REQUEST = 42
    UNSUPPORTED_FOR_MESSAGE_FORMAT = 43
    OUT_OF_ORDER_SEQUENCE_NUMBER = 45
    DUPLICATE_SEQUENCE_NUMBER = 46
    INVALID_PRODUCER_EPOCH = 47
    TRANSACTIONAL_ID_AUTHORIZATION_FAILED = 53
    SASL_AUTHENTICATION_FAILED = 58
    UNSUPPORTED_COMPRESSION_TYPE = 76
    MEMBER_ID_REQUIRED = 79
    INVALID_RECORD = 87
