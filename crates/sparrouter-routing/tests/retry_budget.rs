//! The retry budget over all nodes and all windows.
use fastrand::Rng;
use sparrouter_routing::{RetryBudget, RetryBudgetSettings};

const SECOND: u64 = 1_000_000_000;
const SETTINGS: RetryBudgetSettings = RetryBudgetSettings {
    ratio: 0.2,
    slack: 64.0,
    window: 10 * SECOND,
};

/// Checks every window of the budget's length, wherever it starts.
#[test]
fn given_many_nodes_that_retry_whenever_allowed_then_no_window_exceeds_the_budget() {
    let mut rng = Rng::with_seed(3);
    let nodes = 12;
    let mut budgets: Vec<RetryBudget> = (0..nodes)
        .map(|_| RetryBudget::new(SETTINGS, 0, 0))
        .collect();
    let (mut requests, mut retries) = (Vec::new(), Vec::new());
    let mut now = 0;
    while now < 60 * SECOND {
        now += rng.u64(..SECOND / 50);
        let node = rng.usize(..nodes);
        if rng.bool() {
            budgets[node].record_request(now);
            requests.push(now);
        }
        if budgets[node].try_acquire(nodes, now) {
            retries.push(now);
        }
    }
    assert!(retries.len() > 300, "{}", retries.len());
    for from in (0..50 * SECOND).step_by((SECOND / 7) as usize) {
        let within = |moments: &[u64]| {
            moments
                .iter()
                .filter(|&&moment| (from..from + SETTINGS.window).contains(&moment))
                .count() as f64
        };
        let allowed = SETTINGS.ratio * within(&requests) + SETTINGS.slack;
        assert!(
            within(&retries) <= allowed,
            "{} of {allowed} from {from}",
            within(&retries)
        );
    }
}

#[test]
fn given_a_restarted_process_then_it_spends_no_slack_within_the_first_window() {
    let mut budget = RetryBudget::new(SETTINGS, 0, 0);
    assert!(!budget.try_acquire(1, SECOND));
    assert!(budget.try_acquire(1, 11 * SECOND));
}
