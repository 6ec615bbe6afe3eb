//! Prints the results of all models and their variants.
//!
//! `cargo run -p sedgepath-model --example explore [-- --trace] [--large]`; `--trace` adds the
//! shortest counterexample of each violation, and `--large` adds sizes that are too large for a
//! test and need a release build.

use sedgepath_model::claim::{self, ClaimModel};
use sedgepath_model::conditional_write::{self, ConditionalWriteModel};
use sedgepath_model::configuration::{self, ConfigurationModel};
use sedgepath_model::quota_lending::{self, QuotaLendingModel};
use sedgepath_model::retry_budget::{self, RetryBudgetModel};
use sedgepath_model::search::{Model, Verdict, explore};
use sedgepath_model::slot_split::{self, SlotSplitModel};
use sedgepath_model::store_restore::{self, StoreRestoreModel};
use sedgepath_model::summaries::{self, SummariesModel};

const TRACE_FLAG: &str = "--trace";
const LARGE_FLAG: &str = "--large";

/// Explores a model and prints its row of the table.
fn report<M: Model>(name: &str, variant: &str, model: &M, trace_wanted: bool) {
    let exploration = explore(model);
    let (verdict, trace_length) = match &exploration.verdict {
        Verdict::Holds => ("holds".to_owned(), String::from("-")),
        Verdict::LimitReached => ("limit reached".to_owned(), String::from("-")),
        Verdict::Violated(found) => {
            (format!("{:?}", found.violation), found.trace.len().to_string())
        }
    };
    println!(
        "{name:<14} {variant:<26} {:>9} {verdict:<18} {trace_length:>5}",
        exploration.explored_states
    );
    if let (true, Some(found)) = (trace_wanted, exploration.counterexample()) {
        for step in &found.trace {
            println!("    {:?}", step.action);
        }
    }
}

fn report_claims(trace_wanted: bool) {
    report("claim", "all safeguards", &ClaimModel::new(), trace_wanted);
    for safeguard in claim::Safeguard::ALL {
        let model = ClaimModel::new().without_safeguard(safeguard);
        report("claim", &format!("no {safeguard:?}"), &model, trace_wanted);
    }
}

fn report_configurations(trace_wanted: bool) {
    let name = "configuration";
    let two_by_two = || ConfigurationModel::new(2, 2);
    report(name, "3 operators", &ConfigurationModel::new(3, 0), trace_wanted);
    report(name, "2 operators, 2 nodes", &two_by_two(), trace_wanted);
    for (operators, nodes) in [(3, 1), (2, 3)] {
        let variant = format!("{operators} and {nodes}, no lost responses");
        let model = ConfigurationModel::new(operators, nodes).with_reliable_responses();
        report(name, &variant, &model, trace_wanted);
    }
    for safeguard in configuration::Safeguard::ALL {
        let model = two_by_two().without_safeguard(safeguard);
        report(name, &format!("no {safeguard:?}"), &model, trace_wanted);
    }
}

fn report_slot_splits(trace_wanted: bool, large_wanted: bool) {
    let name = "slot split";
    let fixed = |members, restarts| SlotSplitModel::new(members, 2).with_restarts(restarts);
    let changing = |members, newcomers| SlotSplitModel::new(members, 2).with_newcomers(newcomers);
    let sizes = [
        ("2, 2 restarts, pauses", fixed(2, 2).with_pauses()),
        ("3, 1 restart, pauses", fixed(3, 1).with_pauses()),
        ("2+1, pauses", changing(2, 1).with_pauses()),
        ("1+1, 2 restarts, pauses", changing(1, 1).with_restarts(2).with_pauses()),
        ("2, removal, 1 restart", fixed(2, 1).with_removal().with_pauses()),
        ("3, removal", fixed(3, 0).with_removal()),
        ("3, releases, 1 restart", fixed(3, 1).with_releases()),
        ("1+2, removal, atomic", changing(1, 2).with_removal().with_atomic_heartbeats()),
        ("3+1, atomic", changing(3, 1).with_atomic_heartbeats()),
        ("2+1, 1 restart, atomic", changing(2, 1).with_restarts(1).with_atomic_heartbeats()),
        ("1+2, atomic", changing(1, 2).with_atomic_heartbeats()),
    ];
    for (variant, model) in &sizes {
        report(name, variant, model, trace_wanted);
    }
    if large_wanted {
        report_large_slot_splits(trace_wanted);
    }
    for safeguard in slot_split::Safeguard::ALL {
        let variant = format!("no {safeguard:?}");
        report(name, &variant, &SlotSplitModel::smallest_without(safeguard), trace_wanted);
    }
}

fn report_retry_budgets(trace_wanted: bool) {
    let name = "retry budget";
    let sizes = [
        ("1, 4 ticks, 2 restarts", RetryBudgetModel::new(1, 4).with_restarts(2)),
        ("1, 4 ticks, late, 1 r.", RetryBudgetModel::new(1, 4).with_slack(2, 1).with_restarts(1)),
        ("2, slack, 2 restarts", RetryBudgetModel::new(2, 2).with_slack(2, 2).with_restarts(2)),
        ("2, late, 1 restart", RetryBudgetModel::new(2, 2).with_slack(3, 2).with_restarts(1)),
    ];
    for (variant, model) in &sizes {
        report(name, variant, model, trace_wanted);
    }
    for safeguard in retry_budget::Safeguard::ALL {
        let variant = format!("no {safeguard:?}");
        report(name, &variant, &RetryBudgetModel::smallest_without(safeguard), trace_wanted);
    }
}

fn report_quota_lending(trace_wanted: bool) {
    let name = "quota lending";
    let sizes = [
        ("2 restarts", QuotaLendingModel::new().with_restarts(2)),
        ("2 cuts, 1 restart", QuotaLendingModel::new().with_cuts(2).with_restarts(1)),
    ];
    for (variant, model) in &sizes {
        report(name, variant, model, trace_wanted);
    }
    for safeguard in quota_lending::Safeguard::ALL {
        let variant = format!("no {safeguard:?}");
        report(name, &variant, &QuotaLendingModel::smallest_without(safeguard), trace_wanted);
    }
}

fn report_summaries(trace_wanted: bool) {
    let name = "summaries";
    for kills in 0..=2 {
        let model = SummariesModel::new().with_kills(kills).with_isolations(2);
        report(name, &format!("{kills} kills, 2 isolated"), &model, trace_wanted);
    }
    for safeguard in summaries::Safeguard::ALL {
        let variant = format!("no {safeguard:?}");
        report(name, &variant, &SummariesModel::smallest_without(safeguard), trace_wanted);
    }
}

fn report_conditional_writes(trace_wanted: bool) {
    let name = "cond. write";
    for restores in 0..=2 {
        let model = ConditionalWriteModel::new(restores);
        report(name, &format!("{restores} restores"), &model, trace_wanted);
    }
    for safeguard in conditional_write::Safeguard::ALL {
        let model = ConditionalWriteModel::new(1).without_safeguard(safeguard);
        report(name, &format!("no {safeguard:?}"), &model, trace_wanted);
    }
}

fn report_store_restores(trace_wanted: bool, large_wanted: bool) {
    let name = "store restore";
    let sizes = [
        ("1 write, 1 restart", StoreRestoreModel::new(1).with_restarts(1)),
        ("1, another row's", StoreRestoreModel::new(1).with_other_writes(1)),
        ("1, 2 restores", StoreRestoreModel::new(1).with_restores(2)),
        ("2 writes", StoreRestoreModel::new(2)),
    ];
    for (variant, model) in &sizes {
        report(name, variant, model, trace_wanted);
    }
    if large_wanted {
        let large = [
            ("2 writes, 1 restart", StoreRestoreModel::new(2).with_restarts(1)),
            ("2, another row's", StoreRestoreModel::new(2).with_other_writes(1)),
            ("2, 2 restores", StoreRestoreModel::new(2).with_restores(2)),
        ];
        for (variant, model) in &large {
            report(name, variant, model, trace_wanted);
        }
    }
    for safeguard in store_restore::Safeguard::ALL {
        let variant = format!("no {safeguard:?}");
        let model = StoreRestoreModel::smallest_without(safeguard);
        report(name, &variant, &model, trace_wanted);
    }
}

fn report_large_slot_splits(trace_wanted: bool) {
    let sizes = [
        ("3, 3 slots, 1 r., pauses", SlotSplitModel::new(3, 3).with_restarts(1).with_pauses()),
        ("1+2, pauses", SlotSplitModel::new(1, 2).with_newcomers(2).with_pauses()),
        (
            "2+1, 1 restart, in a tick",
            SlotSplitModel::new(2, 2).with_newcomers(1).with_restarts(1).with_message_ticks(0),
        ),
        ("3+1, in a tick", SlotSplitModel::new(3, 2).with_newcomers(1).with_message_ticks(0)),
        (
            "2+1, rem., 1 r., atomic",
            SlotSplitModel::new(2, 2)
                .with_newcomers(1)
                .with_restarts(1)
                .with_removal()
                .with_atomic_heartbeats(),
        ),
        (
            "2+2, removal, atomic",
            SlotSplitModel::new(2, 2).with_newcomers(2).with_removal().with_atomic_heartbeats(),
        ),
        (
            "3+1, 1 restart, atomic",
            SlotSplitModel::new(3, 2).with_newcomers(1).with_restarts(1).with_atomic_heartbeats(),
        ),
    ];
    for (variant, model) in &sizes {
        report("slot split", variant, model, trace_wanted);
    }
}

fn main() {
    let has_flag = |flag: &str| std::env::args().any(|argument| argument == flag);
    let trace_wanted = has_flag(TRACE_FLAG);
    println!("{:<14} {:<26} {:>9} {:<18} {:>5}", "model", "variant", "states", "verdict", "trace");
    report_claims(trace_wanted);
    report_configurations(trace_wanted);
    report_retry_budgets(trace_wanted);
    report_quota_lending(trace_wanted);
    report_summaries(trace_wanted);
    report_conditional_writes(trace_wanted);
    report_store_restores(trace_wanted, has_flag(LARGE_FLAG));
    report_slot_splits(trace_wanted, has_flag(LARGE_FLAG));
}
