//! Log lines and reports for what upstreams state of themselves with their responses.

use sedgepath_core::direct::attempts::Attempt;
use sedgepath_core::direct::statements::{StatedLeaving, StatedPause, StatedRateLimit, Statements};

use super::clock;
use super::logging::ROUTINE_TARGET;
use super::shared::SharedState;

/// Records what an upstream states of itself with the response to an attempt.
pub fn record(shared: &SharedState, attempt: &Attempt, statements: Statements) {
    let mut steering = shared.steering.borrow_mut();
    let news = steering.record_statements(attempt, statements, clock::now_ms());
    if steering.reports_mut().due_at_ms().is_some() {
        shared.reports_queued.notify_one();
    }
    let upstream = &attempt.name;
    if news.rate_limit {
        let per_s = match statements.rate_limit {
            Some(StatedRateLimit::PerSecond(per_s)) => per_s.to_string(),
            _ => "none".into(),
        };
        log::info!("event=upstream_limit upstream={upstream} per_s={per_s}");
    }
    if news.leaving {
        log::info!("event=upstream_says_leaving upstream={upstream}");
    }
    if news.pause
        && let StatedPause::ForMs(pause_ms) = statements.pause
    {
        log::info!("event=upstream_pause upstream={upstream} for_ms={pause_ms}");
    }
    let unreadable = [
        ("limit", statements.rate_limit == Some(StatedRateLimit::Invalid)),
        ("leaving", statements.leaving == StatedLeaving::Invalid),
        ("pause", statements.pause == StatedPause::Invalid),
    ];
    for (statement, _) in unreadable.into_iter().filter(|(_, is_unreadable)| *is_unreadable) {
        log::warn!(
            target: ROUTINE_TARGET,
            "event=upstream_{statement}_unreadable upstream={upstream}",
        );
    }
}
