//! Explores all orders of events of small groups of real registers up to a depth: the correct code violates no rule,
//! and each injected defect is detected.
//!
//! The example `explore` searches to a greater depth.
mod explore;

use explore::scenarios::{all_defects, all_without_defects};
use explore::search::{Limits, explore};

/// Limit of visited states, which none of these searches reaches: each search ends at its depth.
const STATES: usize = 2_000_000;

fn assert_no_violation(name: &str) {
    let scenarios = all_without_defects();
    let scenario = scenarios
        .iter()
        .find(|s| s.name == name)
        .expect("a scenario with this name");
    let limits = Limits {
        depth: scenario.depth,
        states: STATES,
    };
    let explored = explore(&scenario.root(), limits);
    assert!(
        explored.counterexample.is_none(),
        "{:#?}",
        explored.counterexample
    );
    assert_eq!(
        explored.depth, scenario.depth,
        "the search of {name} did not reach its depth"
    );
}

fn assert_defect_is_found(name: &str) {
    let scenarios = all_defects();
    let scenario = scenarios
        .iter()
        .find(|s| s.name == name)
        .expect("a defect with this name");
    let limits = Limits {
        depth: scenario.depth,
        states: STATES,
    };
    let explored = explore(&scenario.root(), limits);
    let counterexample = explored
        .counterexample
        .expect("the injected defect violates a rule");
    let same_depth = Limits {
        depth: counterexample.depth,
        ..limits
    };
    let without_defect = explore(&scenario.without_defects().root(), same_depth);
    assert!(
        without_defect.counterexample.is_none(),
        "{:#?}",
        without_defect.counterexample
    );
}

macro_rules! without_defects {
    ($($test:ident: $name:literal;)*) => {
        $(#[test] fn $test() { assert_no_violation($name); })*

        #[test]
        fn given_all_scenarios_without_defects_when_listed_then_each_has_a_test() {
            let names: Vec<&str> = all_without_defects().iter().map(|s| s.name).collect();
            assert_eq!(names, [$($name),*]);
        }
    };
}

macro_rules! defects {
    ($($test:ident: $name:literal;)*) => {
        $(#[test] fn $test() { assert_defect_is_found($name); })*

        #[test]
        fn given_all_injected_defects_when_listed_then_each_has_a_test() {
            let names: Vec<&str> = all_defects().iter().map(|s| s.name).collect();
            assert_eq!(names, [$($name),*]);
        }
    };
}

without_defects! {
    given_a_proposer_and_a_read_when_all_orders_are_explored_then_no_rule_is_violated: "a proposer and a read";
    given_a_proposer_and_a_crash_when_all_orders_are_explored_then_no_rule_is_violated: "a proposer and a crash";
    given_two_proposers_when_all_orders_are_explored_then_no_rule_is_violated: "two proposers";
    given_two_proposers_and_a_read_when_all_orders_are_explored_then_no_rule_is_violated: "two proposers, a read";
    given_two_proposers_a_read_and_a_crash_when_all_orders_are_explored_then_no_rule_is_violated: "two proposers, a read, a crash";
    given_two_proposers_a_read_and_two_timers_when_all_orders_are_explored_then_no_rule_is_violated: "two proposers, a read, two timers";
    given_two_proposers_a_read_and_a_failed_store_when_all_orders_are_explored_then_no_rule_is_violated: "two proposers, a read, a failed store";
    given_two_proposers_a_read_and_a_duplicate_when_all_orders_are_explored_then_no_rule_is_violated: "two proposers, a read, a duplicated message";
    given_a_member_replaced_by_a_spare_when_all_orders_are_explored_then_no_rule_is_violated: "a proposer, a read, a member replaced by a spare";
    given_a_wiped_member_replaced_when_all_orders_are_explored_then_no_rule_is_violated: "a proposer, a read, a wiped member replaced";
}

defects! {
    given_acknowledgements_before_the_sync_when_explored_then_a_violation_is_found: "ack_before_sync";
    given_promises_that_are_not_stored_when_explored_then_a_violation_is_found: "promise_not_stored";
    given_votes_accepted_below_the_promise_when_explored_then_a_violation_is_found: "accept_below_promise";
    given_majorities_of_the_old_group_only_when_explored_then_a_violation_is_found: "old_group_only";
    given_majorities_of_the_new_group_only_when_explored_then_a_violation_is_found: "skip_joint";
    given_evaluation_on_an_unchosen_vote_when_explored_then_a_violation_is_found: "evaluate_on_unchosen";
    given_answers_before_the_vote_is_chosen_when_explored_then_a_violation_is_found: "answer_before_chosen";
    given_half_of_a_group_as_majority_when_explored_then_a_violation_is_found: "half_is_majority";
    given_proposal_numbers_shared_by_proposers_when_explored_then_a_violation_is_found: "shared_proposal_numbers";
    given_accepted_votes_published_as_chosen_when_explored_then_a_violation_is_found: "publish_accepted";
    given_reads_without_a_quorum_when_explored_then_a_violation_is_found: "read_locally";
    given_a_wiped_disk_that_keeps_its_id_when_explored_then_a_violation_is_found: "wiped_disk_keeps_id";
    given_the_first_reported_vote_adopted_when_explored_then_a_violation_is_found: "adopt_first_vote";
    given_proposed_operations_evaluated_again_when_explored_then_a_violation_is_found: "forget_sent_proposals";
}
