//! The fleet under storms, by seed; and each planted defect, which it must find.
mod fleet;

use fleet::planted::{PLANTED, first_seed, plan};
use fleet::play;

/// Seeds within which each planted defect is found.
const WITHIN: u64 = 24;

#[test]
fn given_storms_by_seed_when_they_end_then_every_rule_held_and_all_works_again() {
    for seed in 0..16 {
        if let Err(failure) = play(&plan(seed)) {
            panic!("seed {seed}: {}", failure.what);
        }
    }
}

#[test]
fn given_one_seed_when_played_twice_then_the_run_is_the_same() {
    assert_eq!(play(&plan(3)).unwrap(), play(&plan(3)).unwrap());
}

#[test]
fn given_each_planted_defect_when_the_storms_are_played_then_it_is_found() {
    for (name, plant, weather, nodes) in PLANTED {
        assert!(
            first_seed(plant, weather, nodes, WITHIN).is_some(),
            "{name} was not found by {WITHIN} seeds"
        );
    }
}
