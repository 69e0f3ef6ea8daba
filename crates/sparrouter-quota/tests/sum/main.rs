//! The number of a tenant's requests over all nodes, in a model with the real buckets, divisions, permits and leases:
//! random runs and an exhaustive exploration, without and with injected defects.
mod explore;
mod holder;
mod ledger;
mod model;
mod random;
mod scenario;

use explore::{Budget, explore};
use model::{Defect, Returns};
use random::{RunConfig, run};

const NO_DEFECT: RunConfig = RunConfig {
    defect: None,
    provoked_defect: None,
    returns: Returns::Never,
    drift: 0.0,
};

/// Runs the seeds. In all runs tenants must stay within their limits, and in at least one come close to them.
fn assert_within_limits(seeds: std::ops::Range<u64>, config: RunConfig) {
    let (mut sends, mut highest) = (0, 0.0f64);
    for seed in seeds.clone() {
        let outcome = run(seed, config);
        assert_eq!(outcome.violation, None, "seed {seed}");
        sends += outcome.sends;
        highest = highest.max(outcome.highest_ratio);
    }
    println!("{seeds:?}: {sends} sends, at most {highest:.3} of the allowed number");
    assert!(
        highest > 0.95,
        "no run comes close to the limits: {highest}"
    );
}

/// Checks that one of the seeds detects the defect, and that up to it no run without the defect reports a violation.
fn assert_detected(defect: Defect, seeds: std::ops::Range<u64>) {
    let config = RunConfig {
        defect: Some(defect),
        provoked_defect: Some(defect),
        returns: Returns::Tracked,
        drift: 0.0,
    };
    let violation_of = |seed| Some((seed, run(seed, config).violation?));
    let Some((seed, violation)) = seeds.clone().find_map(violation_of) else {
        panic!("none of the seeds {seeds:?} detects {defect:?}");
    };
    println!("{defect:?}: seed {seed}, {violation:?}");
    let config_without_defect = RunConfig {
        defect: None,
        ..config
    };
    for seed in seeds.start..=seed {
        assert_eq!(
            run(seed, config_without_defect).violation,
            None,
            "seed {seed}"
        );
    }
}

/// Guards against any fault or order of messages that allows more requests than the limit, if no permit is returned.
#[test]
fn given_faults_of_all_kinds_when_permits_are_spent_then_no_window_exceeds_the_limit() {
    assert_within_limits(0..1_000, NO_DEFECT);
}

/// Guards against overlapping leases if clocks differ in speed. The division does not account for the longer permit
/// lifetime by a slower clock; the ledger therefore allows for it.
#[test]
fn given_clock_speeds_5_percent_apart_when_permits_are_spent_then_only_longer_lifetimes_add_sends()
{
    let config = RunConfig {
        drift: 0.05,
        ..NO_DEFECT
    };
    assert_within_limits(10_000..11_000, config);
}

/// Shows that returned tokens can be credited without exceeding a limit, if only those are credited that would still be
/// in the bucket had they not been taken.
#[test]
fn given_returns_that_full_buckets_reject_when_permits_are_spent_then_no_window_exceeds_the_limit()
{
    let config = RunConfig {
        returns: Returns::Tracked,
        ..NO_DEFECT
    };
    assert_within_limits(20_000..21_000, config);
}

/// Guards against returned tokens that a bucket credits although it was full and gained others in their place.
#[test]
fn given_returns_credited_by_token_buckets_when_permits_are_spent_then_no_window_exceeds_the_limit()
{
    let config = RunConfig {
        returns: Returns::TokenBucket,
        ..NO_DEFECT
    };
    assert_within_limits(0..500, config);
}

/// Checks that the model detects permits whose lifetime counts from the answer.
#[test]
fn given_permit_lifetimes_that_count_from_the_answer_when_runs_are_simulated_then_the_defect_is_detected()
 {
    assert_detected(Defect::PermitFromAnswer, 0..600);
}

/// Checks that the model detects an expired permit that is spent by a process that was suspended.
#[test]
fn given_permits_spent_without_an_expiry_check_when_runs_are_simulated_then_the_defect_is_detected()
{
    assert_detected(Defect::UncheckedSpend, 0..600);
}

/// Checks that the model detects grants of a holder whose lease has expired.
#[test]
fn given_grants_after_lease_expiry_when_runs_are_simulated_then_the_defect_is_detected() {
    assert_detected(Defect::LapsedGrant, 0..600);
}

/// Checks that the model detects a new holder that grants without waiting for the end of its predecessor's lease.
#[test]
fn given_a_new_holder_without_takeover_wait_when_runs_are_simulated_then_the_defect_is_detected() {
    assert_detected(Defect::NoTakeoverWait, 0..600);
}

/// Checks that the model detects a new holder that starts with full buckets.
#[test]
fn given_a_new_holder_with_full_buckets_when_runs_are_simulated_then_the_defect_is_detected() {
    assert_detected(Defect::FullSuccessor, 0..600);
}

/// Checks that the model detects a restarted process that starts with full buckets.
#[test]
fn given_a_restarted_process_with_full_buckets_when_runs_are_simulated_then_the_defect_is_detected()
{
    assert_detected(Defect::FullRestart, 0..600);
}

/// Checks that the model detects a duplicated return that is credited twice.
#[test]
fn given_duplicated_returns_credited_twice_when_runs_are_simulated_then_the_defect_is_detected() {
    assert_detected(Defect::DoubleReturn, 0..600);
}

/// Checks that the model detects a return that is credited under another lease than the permit's.
#[test]
fn given_a_return_credited_under_a_later_lease_when_the_holder_changes_then_the_defect_is_detected()
{
    let without_defect = scenario::return_after_takeover(None);
    assert_eq!(without_defect, Ok(()));
    let with_defect = scenario::return_after_takeover(Some(Defect::ForeignReturn));
    assert!(with_defect.is_err());
}

/// Checks that the model detects a lowered limit whose buckets keep tokens above the new capacity.
#[test]
fn given_a_lowered_limit_that_keeps_the_old_level_when_runs_are_simulated_then_the_defect_is_detected()
 {
    assert_detected(Defect::KeptLevel, 0..600);
}

/// Maximum number of each action in an exploration; each test adds its own actions.
const BUDGET: Budget = Budget {
    steps: 5,
    asks: 5,
    acquires: [0, 1],
    renewals: 1,
    releases: 0,
    restarts: 0,
    duplicates: 0,
};

/// Explores all states. At least one window must contain three sends of the 3.5 that are allowed.
fn assert_explored(budget: Budget, answers_at_once: bool) {
    let explored = explore(None, budget, answers_at_once);
    println!("{budget:?}: {explored:?}");
    assert_eq!(explored.violation, None);
    assert!(explored.states > 10_000);
    assert!(explored.highest_ratio > 0.85);
}

fn assert_exploration_detects(defect: Defect, budget: Budget) {
    let explored = explore(Some(defect), budget, true);
    println!("{defect:?}: {explored:?}");
    assert!(explored.violation.is_some(), "{defect:?}");
}

/// Guards against any order of a release, a renewal and a takeover that lets two holders grant.
#[test]
fn given_a_release_and_a_takeover_when_all_orders_are_explored_then_the_limit_holds() {
    let budget = Budget {
        releases: 1,
        ..BUDGET
    };
    assert_explored(budget, true);
    assert_exploration_detects(Defect::LapsedGrant, budget);
    assert_exploration_detects(Defect::NoTakeoverWait, budget);
    assert_exploration_detects(Defect::FullSuccessor, budget);
    assert_exploration_detects(Defect::UncheckedSpend, budget);
}

/// Guards against any order of renewals and a takeover that lets two holders grant.
#[test]
fn given_two_renewals_and_a_takeover_when_all_orders_are_explored_then_the_limit_holds() {
    let budget = Budget {
        renewals: 2,
        ..BUDGET
    };
    assert_explored(budget, true);
}

/// Guards against a restart that, at any moment, creates additional tokens.
#[test]
fn given_a_restart_and_two_acquires_when_all_orders_are_explored_then_the_limit_holds() {
    let budget = Budget {
        acquires: [1, 0],
        restarts: 1,
        ..BUDGET
    };
    assert_explored(budget, true);
    assert_exploration_detects(Defect::FullRestart, budget);
}

/// Guards against any delay of a request for a permit that lets the permit be spent later.
#[test]
fn given_permit_requests_in_flight_when_all_orders_are_explored_then_the_limit_holds() {
    let budget = Budget {
        steps: 3,
        asks: 3,
        ..BUDGET
    };
    assert_explored(budget, false);
}
