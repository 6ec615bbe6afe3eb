//! Prints what the search finds in every model and variant.
//!
//! `cargo run -p sedgepath-model --example explore [-- --trace]`; with `--trace` each violation is
//! followed by its shortest counterexample.

use sedgepath_model::claim::{self, ClaimModel};
use sedgepath_model::configuration::{self, ConfigurationModel};
use sedgepath_model::search::{Model, Verdict, explore};

/// The flag that asks for counterexamples.
const TRACE_FLAG: &str = "--trace";

/// Prints one row of the table.
fn report<M: Model>(name: &str, variant: &str, model: &M, trace_wanted: bool) {
    let exploration = explore(model);
    let (verdict, length) = match &exploration.verdict {
        Verdict::Holds => ("holds".to_owned(), String::from("-")),
        Verdict::LimitReached => ("limit reached".to_owned(), String::from("-")),
        Verdict::Violated(found) => {
            (format!("{:?}", found.violation), found.trace.len().to_string())
        }
    };
    println!("{name:<14} {variant:<26} {:>9} {verdict:<18} {length:>5}", exploration.explored);
    if let (true, Some(found)) = (trace_wanted, exploration.counterexample()) {
        for step in &found.trace {
            println!("    {:?}", step.action);
        }
    }
}

/// Prints the rows of the model of claims and tickets.
fn report_claims(trace_wanted: bool) {
    report("claim", "all safeguards", &ClaimModel::new(), trace_wanted);
    for safeguard in claim::Safeguard::ALL {
        let model = ClaimModel::new().with_removed(safeguard);
        report("claim", &format!("no {safeguard:?}"), &model, trace_wanted);
    }
}

/// Prints the rows of the model of configuration changes.
fn report_configurations(trace_wanted: bool) {
    let name = "configuration";
    let two_by_two = || ConfigurationModel::new(2, 2);
    report(name, "3 operators", &ConfigurationModel::new(3, 0), trace_wanted);
    report(name, "2 operators, 2 nodes", &two_by_two(), trace_wanted);
    for (operators, nodes) in [(3, 1), (2, 3)] {
        let variant = format!("{operators} and {nodes}, answers kept");
        let model = ConfigurationModel::new(operators, nodes).with_answers_kept();
        report(name, &variant, &model, trace_wanted);
    }
    for safeguard in configuration::Safeguard::ALL {
        let model = two_by_two().with_removed(safeguard);
        report(name, &format!("no {safeguard:?}"), &model, trace_wanted);
    }
}

fn main() {
    let trace_wanted = std::env::args().any(|argument| argument == TRACE_FLAG);
    println!("{:<14} {:<26} {:>9} {:<18} {:>5}", "model", "variant", "states", "verdict", "trace");
    report_claims(trace_wanted);
    report_configurations(trace_wanted);
}
