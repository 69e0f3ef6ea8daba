//! Simulates the fleet with faults drawn by seed, and checks that the simulation detects each injected defect.
mod fleet;

use fleet::defects::{DEFECTS, first_detection, plan};
use fleet::simulate;

/// Number of seeds within which each injected defect is detected.
const SEEDS: u64 = 24;

#[test]
fn given_random_faults_when_they_end_then_no_rule_was_violated_and_all_nodes_recover() {
    for seed in 0..16 {
        if let Err(failure) = simulate(&plan(seed)) {
            panic!("seed {seed}: {}", failure.violation);
        }
    }
}

#[test]
fn given_one_seed_when_simulated_twice_then_the_runs_are_equal() {
    assert_eq!(simulate(&plan(3)).unwrap(), simulate(&plan(3)).unwrap());
}

#[test]
fn given_each_injected_defect_when_faults_are_simulated_then_a_violation_is_detected() {
    for case in DEFECTS {
        assert!(
            first_detection(&case, SEEDS).is_some(),
            "the defect {} was not detected with {SEEDS} seeds",
            case.name
        );
    }
}
