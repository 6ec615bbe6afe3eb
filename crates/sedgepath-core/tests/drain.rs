//! Tests of drain plans: the predicted end under the shift cap, and the reasons why a drain can't
//! finish in time.

use expect_test::{Expect, expect};
use sedgepath_core::catalogue::Catalogue;
use sedgepath_core::drain::{DrainPlan, DrainTarget};
use sedgepath_core::key::{DomainKey, UpstreamKey};
use sedgepath_core::record::RawRecord;
use sedgepath_test_support::bed::upstreams::FakeUpstream;
use sedgepath_test_support::bed::{CallResult, TestBed};
use sedgepath_test_support::records;
use serde_json::{Value, json};

const NOW_MS: u64 = 1_000_000;

fn upstream(name: &str, domain: &str, slots: u32) -> Value {
    json!({ "name": name, "domain": domain, "address": "127.0.0.1:9", "slots": slots })
}

fn service(name: &str, deadline_ms: u64, upstreams: &[Value]) -> RawRecord {
    let body = json!({ "longest_deadline_ms": deadline_ms, "upstreams": upstreams });
    records::record(1, "service", name, &body)
}

/// Returns records of two failure domains: `browse` has upstreams in both, `guides` only in
/// `south`.
fn records(shares: &[(&str, f64)], percent: f64) -> Vec<RawRecord> {
    let browse =
        [upstream("b1", "north", 6), upstream("b2", "north", 2), upstream("b3", "south", 8)];
    vec![
        records::places(&[("r", &["north", "south"])]),
        service("browse", 5_000, &browse),
        records::steering("browse", shares, percent, 10_000),
        service("guides", 60_000, &[upstream("g1", "south", 4)]),
        records::steering("guides", &[("south", 1.0)], 10.0, 10_000),
    ]
}

fn assert_plan(records: &[RawRecord], target: DrainTarget, given_ms: u64, expected: &Expect) {
    let catalogue = Catalogue::new(records);
    let text = match DrainPlan::new(&catalogue, target, NOW_MS, NOW_MS + given_ms) {
        Ok(plan) => {
            let steps = plan.groups.iter().flat_map(|group| &group.steps);
            let steps = steps.map(|step| format!("{} ms {:.2}", step.at_ms - NOW_MS, step.share));
            let end_ms = plan.predicted_end_ms - NOW_MS;
            format!("{}; ends after {end_ms} ms", steps.collect::<Vec<_>>().join(", "))
        }
        Err(error) => error.to_string(),
    };
    expected.assert_eq(&text);
}

/// Guards against a prediction that ignores the shift cap or the longest deadline of requests in
/// flight.
#[test]
fn domain_drain_ends_after_its_windows_and_the_longest_deadline() {
    let records = records(&[("north", 1.0), ("south", 1.0)], 20.0);
    let north = DrainTarget::Domain(DomainKey::of("north"));
    assert_plan(
        &records,
        north,
        49_000,
        &expect![
            "0 ms 0.50, 3000 ms 0.34, 13000 ms 0.34, 23000 ms 0.18, 33000 ms 0.11, 43000 ms 0.00, 44000 ms 0.00; ends after 49000 ms"
        ],
    );
}

/// Guards against planning a drain that can't finish in time, and against the wrong reason.
#[test]
fn drain_that_cannot_finish_in_time_is_rejected_with_the_reason() {
    let halves = [("north", 1.0), ("south", 1.0)];
    let north = DrainTarget::Domain(DomainKey::of("north"));
    assert_plan(
        &records(&halves, 20.0),
        north,
        48_999,
        &expect![
            "the drain cannot finish in time: service browse, group any: moving 50.0% under a cap of 20% in 10000 ms would end in 49000 ms, not in 48999 ms"
        ],
    );
    assert_plan(
        &records(&halves, 0.0),
        north,
        60_000,
        &expect![
            "the drain cannot finish in time: service browse, group any: the shift cap does not let the share move"
        ],
    );
    assert_plan(
        &records(&halves, 20.0),
        north,
        4_000,
        &expect![
            "the drain cannot finish in time: service browse: requests may run for 5000 ms, not 4000 ms"
        ],
    );
}

/// Guards against draining the only upstreams of a service.
#[test]
fn drain_without_capacity_elsewhere_is_rejected() {
    let records = records(&[("north", 1.0), ("south", 1.0)], 20.0);
    assert_plan(
        &records,
        DrainTarget::Domain(DomainKey::of("south")),
        70_000,
        &expect![
            "the drain cannot finish in time: service guides: no other upstream may take callers of group any"
        ],
    );
    assert_plan(
        &records,
        DrainTarget::Upstream(UpstreamKey::of("g1")),
        30_000,
        &expect![
            "the drain cannot finish in time: service guides: no other upstream may take callers of group any"
        ],
    );
}

/// Guards against moving callers to a domain that is drained or has no share.
#[test]
fn drained_or_unlisted_domain_takes_no_callers() {
    let mut records = records(&[("north", 1.0), ("south", 1.0)], 20.0);
    let body = json!({ "target": "domain", "active": true });
    records.push(records::record(1, "drain", "south", &body));
    let north = DrainTarget::Domain(DomainKey::of("north"));
    assert_plan(
        &records,
        north,
        60_000,
        &expect![
            "the drain cannot finish in time: service browse: no other upstream may take callers of group any"
        ],
    );
    assert_plan(
        &self::records(&[("north", 1.0), ("south", 0.0)], 20.0),
        north,
        60_000,
        &expect![
            "the drain cannot finish in time: service browse: no other upstream may take callers of group any"
        ],
    );
}

/// Guards against moving more than a drained upstream's fraction of its domain's share, or any
/// share if the rest of the domain has to take it.
#[test]
fn drained_upstream_moves_its_fraction_of_the_share() {
    let halves = records(&[("north", 1.0), ("south", 1.0)], 20.0);
    assert_plan(
        &halves,
        DrainTarget::Upstream(UpstreamKey::of("b1")),
        60_000,
        &expect![
            "0 ms 0.38, 3000 ms 0.22, 13000 ms 0.22, 23000 ms 0.05, 32000 ms 0.00; ends after 37000 ms"
        ],
    );
    let north = records(&[("north", 1.0)], 20.0);
    assert_plan(
        &north,
        DrainTarget::Upstream(UpstreamKey::of("b1")),
        60_000,
        &expect!["0 ms 0.00; ends after 5000 ms"],
    );
    assert_plan(
        &north,
        DrainTarget::Upstream(UpstreamKey::of("b3")),
        60_000,
        &expect!["0 ms 0.00; ends after 5000 ms"],
    );
    assert_plan(
        &north,
        DrainTarget::Upstream(UpstreamKey::of("b9")),
        60_000,
        &expect!["no such upstream or failure domain is configured"],
    );
}

/// Guards against a drained domain that rejects requests before its share has moved, or gets new
/// requests after the planned time.
#[test]
fn drained_domain_serves_until_its_share_has_moved() {
    for seed in 1..=3 {
        let mut bed = two_domains(seed);
        let mut all = records(&[("north", 1.0), ("south", 1.0)], 20.0);
        bed.write_records(&all);
        bed.settle(60_000);
        run_load(&mut bed, 20_000);
        let body = json!({ "target": "domain", "active": true });
        all.push(records::record(1, "drain", "north", &body));
        let north = DrainTarget::Domain(DomainKey::of("north"));
        let (from_ms, by_ms) = (bed.now_ms(), bed.now_ms() + 60_000);
        let plan = DrainPlan::new(&Catalogue::new(&all), north, from_ms, by_ms);
        let plan = plan.expect("there is time enough");
        bed.write_records(&all);
        run_load(&mut bed, 60_000);
        bed.run_for(2_000);
        let rejected =
            bed.calls().iter().filter(|call| matches!(call.result, CallResult::Concluded(_)));
        assert_eq!(rejected.count(), 0, "seed {seed}");
        let moved_ms = plan.groups[0].steps.last().expect("a plan has steps").at_ms;
        let runs = bed.upstreams.iter().filter(|(key, _)| *key != UpstreamKey::of("b3"));
        let runs: Vec<_> = runs.flat_map(|(_, upstream)| &upstream.runs).collect();
        let late = runs.iter().filter(|run| run.started_at_ms > moved_ms + MAX_TRANSIT_MS);
        assert_eq!(late.count(), 0, "seed {seed}");
        let runs_during_drain = runs.iter().filter(|run| run.started_at_ms > from_ms).count();
        assert!(
            runs_during_drain > 300,
            "seed {seed}: {runs_during_drain} runs at the drained domain"
        );
    }
}

/// The maximum delay of a request between its placement and its start.
const MAX_TRANSIT_MS: u64 = 200;

fn two_domains(seed: u64) -> TestBed {
    let mut bed = TestBed::new(seed);
    for (name, slots) in [("b1", 6), ("b2", 2), ("b3", 8), ("g1", 4)] {
        bed.upstreams.add(name, FakeUpstream::new(slots, 50));
    }
    for (name, domain) in [("n1", "north"), ("n2", "north"), ("s1", "south"), ("s2", "south")] {
        bed.add_node(name, domain);
    }
    bed
}

fn run_load(bed: &mut TestBed, duration_ms: u64) {
    for step in 0..duration_ms / 20 {
        let head = bed.request_head("browse");
        bed.call((step % 4) as usize, head);
        bed.run_for(20);
    }
}
