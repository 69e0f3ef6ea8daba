//! The retry budget over all nodes and windows.
use fastrand::Rng;
use sparrouter_routing::{RetryBudget, RetryBudgetSettings, SlackDivision};

const SECOND: u64 = 1_000_000_000;
const SETTINGS: RetryBudgetSettings = RetryBudgetSettings {
    ratio: 0.2,
    slack: 64.0,
    window: 10 * SECOND,
};

const SINGLE_NODE: SlackDivision = SlackDivision { nodes: 1, rank: 0 };

/// Checks windows of the budget's length from many start times, not only from slice boundaries.
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
        if budgets[node].try_acquire(SlackDivision { nodes, rank: node }, now) {
            retries.push(now);
        }
    }
    assert!(retries.len() > 300, "only {} retries", retries.len());
    for window_start in (0..50 * SECOND).step_by((SECOND / 7) as usize) {
        let within = |timestamps: &[u64]| {
            timestamps
                .iter()
                .filter(|&&timestamp| {
                    (window_start..window_start + SETTINGS.window).contains(&timestamp)
                })
                .count() as f64
        };
        let allowed = SETTINGS.ratio * within(&requests) + SETTINGS.slack;
        assert!(
            within(&retries) <= allowed,
            "{} retries of {allowed} allowed in the window from {window_start}",
            within(&retries)
        );
    }
}

#[test]
fn given_a_restarted_process_then_it_spends_no_slack_within_the_first_window() {
    let mut budget = RetryBudget::new(SETTINGS, 0, 0);
    assert!(!budget.try_acquire(SINGLE_NODE, SECOND));
    assert!(budget.try_acquire(SINGLE_NODE, 11 * SECOND));
}

/// Number of retries that a budget without requests allows at `now`.
fn allowed_retries(budget: &RetryBudget, division: SlackDivision, now: u64) -> usize {
    let mut budget = budget.clone();
    (0..1_000)
        .take_while(|_| budget.try_acquire(division, now))
        .count()
}

/// Guards against a slack smaller than the fleet that is rounded down to zero retries for every node.
#[test]
fn given_more_nodes_than_slack_then_the_shares_add_up_to_the_slack() {
    for (nodes, slack) in [(12, 10.0), (300, 64.0), (7, 64.0), (1, 64.9), (5, 0.0)] {
        let settings = RetryBudgetSettings { slack, ..SETTINGS };
        let budget = RetryBudget::new(settings, 0, 0);
        let shares: Vec<usize> = (0..nodes)
            .map(|rank| allowed_retries(&budget, SlackDivision { nodes, rank }, 11 * SECOND))
            .collect();
        assert_eq!(
            shares.iter().sum::<usize>(),
            slack as usize,
            "{nodes} nodes"
        );
        let (max_share, min_share) = (shares.iter().max(), shares.iter().min());
        assert!(
            max_share
                .zip(min_share)
                .is_some_and(|(max_share, min_share)| max_share - min_share <= 1)
        );
    }
}

#[test]
fn given_a_changed_slack_share_then_an_increase_applies_a_window_later_and_a_decrease_at_once() {
    let mut budget = RetryBudget::new(SETTINGS, 0, 0);
    let halved = SlackDivision { nodes: 2, rank: 0 };
    assert!(budget.try_acquire(halved, 11 * SECOND));
    assert_eq!(allowed_retries(&budget, halved, 30 * SECOND), 32);
    // The other node left, and may just have spent its half of the slack.
    assert!(budget.try_acquire(SINGLE_NODE, 30 * SECOND));
    assert_eq!(allowed_retries(&budget, SINGLE_NODE, 39 * SECOND), 31);
    assert_eq!(allowed_retries(&budget, SINGLE_NODE, 41 * SECOND), 64);
    assert!(budget.try_acquire(SINGLE_NODE, 41 * SECOND));
    assert_eq!(allowed_retries(&budget, halved, 42 * SECOND), 31);
}
