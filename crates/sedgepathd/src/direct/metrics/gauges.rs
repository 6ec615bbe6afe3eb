//! Gauges of one subject each, set whenever the metrics are read.

use prometheus::{GaugeVec, IntGauge, IntGaugeVec, Opts};
use sedgepath_core::direct::Steering;
use sedgepath_core::direct::replicas::Table;
use sedgepath_core::direct::store_version::StoreVersion;

use super::to_gauge;
use crate::direct::shared::SharedState;

/// What this VM holds for its callers.
#[derive(Debug)]
pub(super) struct RequestGauges {
    pub(super) in_flight: IntGauge,
    pub(super) held_body_bytes: IntGauge,
}

impl RequestGauges {
    /// Creates the gauges.
    pub(super) fn new() -> Result<Self, prometheus::Error> {
        Ok(Self {
            in_flight: IntGauge::new("sedgepath_requests_in_flight", "Requests not answered yet.")?,
            held_body_bytes: IntGauge::new(
                "sedgepath_held_body_bytes",
                "Bytes of response bodies that wait for their callers to read them.",
            )?,
        })
    }

    /// Sets the gauges to the current values.
    pub(super) fn update(&self, shared: &SharedState) {
        self.in_flight.set(to_gauge(shared.in_flight_requests.get()));
        self.held_body_bytes.set(to_gauge(shared.response_memory.held_bytes()));
    }
}

/// What other VMs tell of the load at upstreams.
#[derive(Debug)]
pub(super) struct ToldLoadGauges {
    pub(super) upstreams: IntGauge,
    pub(super) age: IntGauge,
}

impl ToldLoadGauges {
    /// Creates the gauges.
    pub(super) fn new() -> Result<Self, prometheus::Error> {
        Ok(Self {
            upstreams: IntGauge::new(
                "sedgepath_shared_load_upstreams",
                "Upstreams whose load other entry VMs tell.",
            )?,
            age: IntGauge::new(
                "sedgepath_shared_load_age_ms",
                "Mean age of what other entry VMs tell of the load at upstreams; -1 if they tell nothing.",
            )?,
        })
    }

    /// Sets the gauges to the current values.
    pub(super) fn update(&self, steering: &Steering, now_ms: u64) {
        let ages: Vec<u64> = steering
            .upstreams()
            .iter()
            .filter_map(|(_, upstream)| upstream.told_load_age_ms(now_ms))
            .collect();
        let mean_ms = ages.iter().sum::<u64>().checked_div(ages.len() as u64);
        self.upstreams.set(to_gauge(ages.len()));
        self.age.set(mean_ms.map_or(-1, u64::cast_signed));
    }
}

/// What this VM knows of the store.
#[derive(Debug)]
pub(super) struct StoreGauges {
    pub(super) contact: IntGauge,
    pub(super) era: IntGauge,
    pub(super) table_versions: IntGaugeVec,
}

impl StoreGauges {
    /// Creates the gauges.
    pub(super) fn new() -> Result<Self, prometheus::Error> {
        Ok(Self {
            contact: IntGauge::new(
                "sedgepath_store_contact_ms",
                "For how long the store has answered this VM; -1 if it doesn't, or isn't asked.",
            )?,
            era: IntGauge::new(
                "sedgepath_store_era",
                "Era of the newest rows that this VM has; rises when the store is restored.",
            )?,
            table_versions: IntGaugeVec::new(
                Opts::new(
                    "sedgepath_table_version",
                    "Store versions of this VM's replicas, within the era: the one that it announces to others, \
                     and the position up to which it has all changes.",
                ),
                &["table", "version"],
            )?,
        })
    }

    /// Sets the gauges to the current values.
    pub(super) fn update(&self, shared: &SharedState, now_ms: u64) {
        let health = shared.store_call_state.get().health(now_ms);
        self.contact.set(health.reachable_for_ms().map_or(-1, u64::cast_signed));
        let replicas = shared.replicas.borrow();
        self.era.set(replicas.era().into());
        for table in Table::ALL {
            let replica = replicas.get(table);
            let set = |name: &str, version: StoreVersion| {
                let gauge = self.table_versions.with_label_values(&[table.name(), name]);
                gauge.set(version.counter().cast_signed());
            };
            set("announced", replica.newest_version());
            set("position", replica.position());
        }
    }
}

/// How much of its own demand this VM's region serves.
#[derive(Debug)]
pub(super) struct CapacityGauges {
    pub(super) staying_share: GaugeVec,
    pub(super) hot_objects: IntGauge,
}

impl CapacityGauges {
    /// Creates the gauges.
    pub(super) fn new() -> Result<Self, prometheus::Error> {
        Ok(Self {
            staying_share: GaugeVec::new(
                Opts::new(
                    "sedgepath_staying_share",
                    "Share of objects that rank an upstream of this VM's region first, or of its failure \
                     domain for large responses, by service.",
                ),
                &["service", "scope"],
            )?,
            hot_objects: IntGauge::new(
                "sedgepath_hot_objects",
                "Objects whose requests one upstream doesn't carry.",
            )?,
        })
    }

    /// Sets the gauges to the current values.
    pub(super) fn update(&self, steering: &Steering, now_ms: u64) {
        for (service, scope, share) in steering.regional_capacity().shares() {
            self.staying_share.with_label_values(&[service, scope.name()]).set(share);
        }
        self.hot_objects.set(to_gauge(steering.hot_objects().hot_count(now_ms)));
    }
}
