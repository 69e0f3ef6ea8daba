//! Every order of events at small scope, on the real registers: nothing is broken; and each injected defect is found.
//!
//! The example `explore` goes deeper.
mod explore;

use explore::scenarios::{all_defects, all_sound};
use explore::search::{Limits, explore};

/// More than any of these searches visits: each one ends by its depth.
const STATES: usize = 2_000_000;

fn assert_sound(name: &str) {
    let scenarios = all_sound();
    let scenario = scenarios.iter().find(|s| s.name == name).expect("a scope");
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
    assert_eq!(explored.depth, scenario.depth, "every state to that depth");
}

fn assert_defect_is_found(name: &str) {
    let scenarios = all_defects();
    let scenario = scenarios.iter().find(|s| s.name == name).expect("a defect");
    let limits = Limits {
        depth: scenario.depth,
        states: STATES,
    };
    let explored = explore(&scenario.root(), limits);
    let counterexample = explored
        .counterexample
        .expect("the injected defect breaks a rule");
    let same_depth = Limits {
        depth: counterexample.depth,
        ..limits
    };
    let sound = explore(&scenario.sound().root(), same_depth);
    assert!(
        sound.counterexample.is_none(),
        "{:#?}",
        sound.counterexample
    );
}

macro_rules! sound {
    ($($test:ident: $name:literal;)*) => {
        $(#[test] fn $test() { assert_sound($name); })*

        #[test]
        fn every_scope_has_its_test() {
            let names: Vec<&str> = all_sound().iter().map(|s| s.name).collect();
            assert_eq!(names, [$($name),*]);
        }
    };
}

macro_rules! defects {
    ($($test:ident: $name:literal;)*) => {
        $(#[test] fn $test() { assert_defect_is_found($name); })*

        #[test]
        fn every_injected_defect_has_its_test() {
            let names: Vec<&str> = all_defects().iter().map(|s| s.name).collect();
            assert_eq!(names, [$($name),*]);
        }
    };
}

sound! {
    given_a_proposer_and_a_reader_then_no_order_of_events_breaks_a_rule: "a proposer and a read";
    given_a_proposer_and_a_crash_then_no_order_at_all_breaks_a_rule: "a proposer and a crash";
    given_two_proposers_then_no_order_of_events_breaks_a_rule: "two proposers";
    given_two_proposers_and_a_reader_then_no_order_of_events_breaks_a_rule: "two proposers, a read";
    given_a_crash_as_well_then_no_order_breaks_a_rule: "and a crash";
    given_two_timers_as_well_then_no_order_breaks_a_rule: "and two timers";
    given_a_failing_store_as_well_then_no_order_breaks_a_rule: "and a failing store";
    given_a_message_twice_as_well_then_no_order_breaks_a_rule: "and a message twice";
    given_a_swap_for_a_spare_then_no_order_breaks_a_rule: "a proposer, a read, a swap for a spare";
    given_a_wipe_and_its_swap_then_no_order_breaks_a_rule: "a proposer, a read, a wipe and its swap";
}

defects! {
    given_answers_before_the_sync_then_it_is_found: "ack_before_sync";
    given_promises_that_are_not_stored_then_it_is_found: "promise_not_stored";
    given_votes_below_the_promise_then_it_is_found: "accept_below_promise";
    given_majorities_of_the_old_group_only_then_it_is_found: "old_group_only";
    given_majorities_of_the_new_group_only_then_it_is_found: "skip_joint";
    given_answers_on_a_vote_that_is_not_chosen_then_it_is_found: "evaluate_on_unchosen";
    given_answers_before_the_votes_then_it_is_found: "answer_before_chosen";
    given_half_of_a_group_as_its_majority_then_it_is_found: "half_is_majority";
    given_ballots_that_two_proposers_share_then_it_is_found: "shared_proposal_numbers";
    given_accepted_votes_that_are_published_then_it_is_found: "publish_accepted";
    given_reads_of_one_node_alone_then_it_is_found: "read_locally";
    given_a_wiped_disk_under_its_old_id_then_it_is_found: "wiped_disk_keeps_id";
    given_the_first_vote_in_place_of_the_newest_then_it_is_found: "adopt_first_vote";
    given_a_sent_change_that_is_judged_again_then_it_is_found: "forget_sent_proposals";
}
