//! The field tables of each record kind.
//!
//! The operators' documentation lists the descriptions; change both together.

use crate::schema::{Field, Shape};

/// The maximum of time windows, warm-up times and hedging delays, in milliseconds: one day.
const MAX_DURATION_MS: u64 = 86_400_000;

/// The maximum of an upstream's limits on slots, connections and new connections per second.
const MAX_UPSTREAM_LIMIT: u64 = 1_000_000;

/// The maximum of a service's longest deadline, in milliseconds.
const MAX_DEADLINE_MS: u64 = 600_000;

/// The description of a record kind.
#[derive(Debug, Clone, Copy)]
pub struct RecordKind {
    /// The value of the record's `kind`.
    pub name: &'static str,
    /// What records of this kind configure.
    pub description: &'static str,
    /// The fields of the body in all schemas; see [`Field::since_schema`].
    pub fields: &'static [Field],
}

/// All kinds that this version can parse.
pub const RECORD_KINDS: &[RecordKind] = &[
    RecordKind {
        name: "places",
        description: "The regions and their failure domains.",
        fields: PLACES,
    },
    RecordKind {
        name: "service",
        description: "A service and its upstreams; the record's name is the service's.",
        fields: SERVICE,
    },
    RecordKind {
        name: "steering",
        description: "Which callers of a service go where, and how much any shift may move; the record's name is the service's.",
        fields: STEERING,
    },
    RecordKind {
        name: "organisations",
        description: "The organisations that are admitted.",
        fields: ORGANISATIONS,
    },
    RecordKind {
        name: "clients",
        description: "The blocks of clients of each origin group.",
        fields: CLIENTS,
    },
    RecordKind {
        name: "drain",
        description: "A planned drain; the record's name is that of the upstream or failure domain.",
        fields: DRAIN,
    },
];

/// Returns the fields of a kind, or `None` if this version does not know the kind.
pub fn fields_of_kind(kind: &str) -> Option<&'static [Field]> {
    RECORD_KINDS
        .iter()
        .find(|known_kind| known_kind.name == kind)
        .map(|known_kind| known_kind.fields)
}

/// Creates an optional field, present since schema 2.
const fn optional_since_schema_2(
    name: &'static str,
    shape: Shape,
    default: &'static str,
    description: &'static str,
) -> Field {
    Field { name, shape, default: Some(default), since_schema: 2, description }
}

const PLACES: &[Field] = &[Field::required(
    "regions",
    Shape::List { of: &Shape::Object(REGION), least: 1 },
    "the regions",
)];

const REGION: &[Field] = &[
    Field::required("name", Shape::Name, "the region's name"),
    Field::required(
        "domains",
        Shape::List { of: &Shape::Name, least: 1 },
        "the names of its failure domains",
    ),
];

const SERVICE: &[Field] = &[
    Field::required(
        "longest_deadline_ms",
        Shape::Integer { least: 1, most: MAX_DEADLINE_MS },
        "the longest deadline that a request may carry, in milliseconds",
    ),
    Field::optional(
        "once_only",
        Shape::Boolean,
        "false",
        "whether requests must carry an idempotency key or a ticket",
    ),
    Field::required(
        "upstreams",
        Shape::List { of: &Shape::Object(UPSTREAM), least: 0 },
        "the upstreams",
    ),
];

const UPSTREAM: &[Field] = &[
    Field::required("name", Shape::Name, "the upstream's name, unique over all services"),
    Field::required("domain", Shape::Name, "the name of its failure domain"),
    Field::required("address", Shape::Address, "its IP address and port"),
    Field::required(
        "slots",
        Shape::Integer { least: 1, most: MAX_UPSTREAM_LIMIT },
        "the most requests that it runs at once",
    ),
    Field::optional(
        "connections",
        Shape::Integer { least: 1, most: MAX_UPSTREAM_LIMIT },
        "350",
        "the most connections that it takes",
    ),
    Field::optional(
        "new_connections_per_s",
        Shape::Integer { least: 1, most: MAX_UPSTREAM_LIMIT },
        "100",
        "the most new connections that it takes in a second",
    ),
    Field::optional(
        "cold_slots",
        Shape::Integer { least: 1, most: MAX_UPSTREAM_LIMIT },
        "as `slots`",
        "the requests that it may run at once when cold; they rise to `slots` over `warm_up_ms`",
    ),
    Field::optional(
        "warm_up_ms",
        Shape::Integer { least: 0, most: MAX_DURATION_MS },
        "0",
        "the time in milliseconds over which a cold upstream warms up",
    ),
];

const CAP: &[Field] = &[
    Field::required(
        "percent",
        Shape::Number { least: 0.0, most: 100.0 },
        "the most traffic that moves in a window, in percent",
    ),
    Field::required(
        "window_ms",
        Shape::Integer { least: 1, most: MAX_DURATION_MS },
        "the length of the window, in milliseconds",
    ),
];

const STEERING: &[Field] = &[
    Field::required(
        "groups",
        Shape::List { of: &Shape::Object(GROUP), least: 1 },
        "the shares by origin group; callers of other groups follow the group `any`",
    ),
    Field::required("cap", Shape::Object(CAP), "the most traffic that a shift may move"),
    optional_since_schema_2(
        "failover_cap",
        Shape::Object(CAP),
        "as `cap`",
        "the most traffic that a failover may move",
    ),
    optional_since_schema_2(
        "hedge_after_ms",
        Shape::Integer { least: 1, most: MAX_DURATION_MS },
        "no hedging",
        "kept for later: after which time in milliseconds a second upstream may be asked as well",
    ),
];

const GROUP: &[Field] = &[
    Field::required("origin", Shape::Name, "the origin group's name"),
    Field::required(
        "shares",
        Shape::List { of: &Shape::Object(SHARE), least: 1 },
        "the weight of each failure domain",
    ),
];

const SHARE: &[Field] = &[
    Field::required("domain", Shape::Name, "the failure domain's name"),
    Field::required(
        "weight",
        Shape::Number { least: 0.0, most: 1e9 },
        "its weight against the others of the group",
    ),
];

const ORGANISATIONS: &[Field] = &[Field::required(
    "organisations",
    Shape::List { of: &Shape::Object(ORGANISATION), least: 0 },
    "the organisations",
)];

const ORGANISATION: &[Field] = &[
    Field::required("name", Shape::Name, "the organisation's name"),
    Field::required("plan", Shape::OneOf(&["paying", "trial"]), "what it pays"),
    Field::required(
        "key_digests",
        Shape::List { of: &Shape::Digest, least: 1 },
        "the digests of its keys, as `sedgepath key` prints them",
    ),
];

const CLIENTS: &[Field] =
    &[Field::required("blocks", Shape::List { of: &Shape::Object(BLOCK), least: 0 }, "the blocks")];

const BLOCK: &[Field] = &[
    Field::required("block", Shape::CidrBlock, "the block, like 192.0.2.0/24"),
    Field::required("origin", Shape::Name, "the name of its origin group"),
];

const DRAIN: &[Field] = &[
    Field::required(
        "target",
        Shape::OneOf(&["upstream", "domain"]),
        "what the record's name names",
    ),
    Field::required("active", Shape::Boolean, "whether the drain is in force; `false` ends it"),
];
