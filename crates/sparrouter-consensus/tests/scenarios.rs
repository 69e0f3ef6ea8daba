//! The fleet under faults, by seed; and each injected defect, which it must find.
mod fleet;

use fleet::defects::{DEFECTS, first_finding, plan};
use fleet::play;

/// Seeds within which each injected defect is found.
const SEEDS: u64 = 24;

#[test]
fn given_faults_by_seed_when_they_end_then_every_rule_held_and_all_works_again() {
    for seed in 0..16 {
        if let Err(failure) = play(&plan(seed)) {
            panic!("seed {seed}: {}", failure.violation);
        }
    }
}

#[test]
fn given_one_seed_when_played_twice_then_the_run_is_the_same() {
    assert_eq!(play(&plan(3)).unwrap(), play(&plan(3)).unwrap());
}

#[test]
fn given_each_injected_defect_when_faults_are_played_then_it_is_found() {
    for case in DEFECTS {
        assert!(
            first_finding(&case, SEEDS).is_some(),
            "{} was not found by {SEEDS} seeds",
            case.name
        );
    }
}
