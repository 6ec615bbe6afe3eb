//! The schema of a settings file: its fields with their ranges, defaults and descriptions.

use sedgepath_core::schema::{Field, Shape};

const fn integer_range(least: u64, most: u64) -> Shape {
    Shape::Integer { least, most }
}

/// The top-level fields of a settings file; those of nested mappings are part of their shapes.
pub const FIELDS: &[Field] = &[
    Field::required("name", Shape::Name, "the VM's name, unique in the system"),
    Field::required("domain", Shape::Name, "the name of the VM's failure domain"),
    Field::required("callers", Shape::Address, "where callers' requests are taken"),
    Field::required(
        "peers",
        Shape::Address,
        "where frames (TCP) and datagrams (UDP) of peers are taken",
    ),
    Field::required(
        "operators",
        Shape::Address,
        "where remote calls of operators and peers are taken",
    ),
    Field::required("metrics", Shape::Address, "where metrics are read, at `/metrics`"),
    Field::required("platform", Shape::Url, "the base URL of the platform"),
    Field::required(
        "secret",
        Shape::Text { least_chars: 16 },
        "the secret that all processes of the system share, of at least 16 characters",
    ),
    Field::optional(
        "operator_keys",
        Shape::List { of: &Shape::Text { least_chars: 16 }, least: 0 },
        "none",
        "the keys by which operators' calls are proved, beside the secret; several while one is \
         replaced",
    ),
    Field::optional(
        "log_level",
        Shape::OneOf(&["error", "warn", "info", "debug"]),
        "info",
        "the least level that is logged",
    ),
    Field::optional(
        "limits",
        Shape::Object(LIMITS),
        "see below",
        "bounds on what callers may take",
    ),
    Field::optional(
        "timing",
        Shape::Object(TIMING),
        "see below",
        "the times by which the nodes work together; the same on all VMs",
    ),
];

const LIMITS: &[Field] = &[
    Field::optional(
        "connections",
        integer_range(1, 65_536),
        "4096",
        "the most connections of callers at once; further ones wait to be accepted",
    ),
    Field::optional(
        "head_bytes",
        integer_range(8_192, 1_048_576),
        "32768",
        "the most bytes of a request's head",
    ),
    Field::optional(
        "head_timeout_ms",
        integer_range(100, 600_000),
        "15000",
        "the longest that a request's head may take to arrive, in milliseconds; an idle connection \
         is closed after it too",
    ),
    Field::optional(
        "body_bytes",
        integer_range(0, 67_108_864),
        "1048576",
        "the most bytes of a request's body, which is kept until the answer to be sent again",
    ),
    Field::optional(
        "body_timeout_ms",
        integer_range(100, 600_000),
        "10000",
        "the longest that a request's body may take to arrive, in milliseconds",
    ),
    Field::optional(
        "default_timeout_ms",
        integer_range(1, 600_000),
        "10000",
        "the deadline of a request that names none, in milliseconds from its arrival",
    ),
];

const TIMING: &[Field] = &[
    Field::optional(
        "heartbeat_every_ms",
        integer_range(20, 10_000),
        "250",
        "the time between two heartbeats, in milliseconds",
    ),
    Field::optional(
        "suspect_after_ms",
        integer_range(60, 60_000),
        "1500",
        "after which silence a member is suspected, in milliseconds; an owner's right to its \
         upstreams ends as long after the heartbeat that was acknowledged",
    ),
    Field::optional(
        "forget_after_ms",
        integer_range(1_000, 86_400_000),
        "60000",
        "after which silence a member that the VM list no longer names is forgotten, in \
         milliseconds",
    ),
    Field::optional(
        "relay_every_ms",
        integer_range(20, 10_000),
        "500",
        "the time between two summaries from one failure domain to another, in milliseconds",
    ),
    Field::optional(
        "head_every_ms",
        integer_range(100, 60_000),
        "1000",
        "the time between two readings of the platform's head revision, in milliseconds",
    ),
    Field::optional(
        "head_stale_ms",
        integer_range(200, 600_000),
        "3000",
        "the age of the newest reading after which other members step in as readers, in \
         milliseconds",
    ),
    Field::optional(
        "fetch_jitter_ms",
        integer_range(0, 10_000),
        "100",
        "the longest random wait before records are fetched from a peer, in milliseconds",
    ),
    Field::optional(
        "boot_wait_ms",
        integer_range(0, 60_000),
        "1000",
        "how long a node that can't reach the platform listens after its start before it serves by \
         what a peer gave it, in milliseconds",
    ),
    Field::optional(
        "look_up_valid_ms",
        integer_range(100, 600_000),
        "5000",
        "how long a look-up's answer may be used, in milliseconds; a VM that stops as planned \
         serves as long",
    ),
];
