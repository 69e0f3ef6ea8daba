//! Harmless and harmful changes of simulated fleets, with the controller killed at every point.
mod fleet;
use fleet::*;
use sparrouter_rollout::SECOND;
use sparrouter_rollout::controller::{Observation, PhaseName};
use sparrouter_rollout::record::Outcome;
use sparrouter_rollout::stages;

/// A rollout that was played to its end.
struct Played {
    outcome: Outcome,
    fleet: Fleet,
}

fn play(nodes: usize, defect: Defect, seed: u64) -> Played {
    let mut fleet = Fleet::new(plan(nodes, 2), defect, seed);
    let outcome = fleet.play();
    Played { outcome, fleet }
}

/// Asserts that the change was rolled back for a reason that contains this text.
#[track_caller]
fn assert_rolled_back(outcome: &Outcome, text: &str) {
    assert!(
        matches!(outcome, Outcome::Back(reason) if reason.contains(text)),
        "{outcome:?}"
    );
}

/// Asserts that the nodes were left to the operator for a reason that contains this text.
#[track_caller]
fn assert_left(outcome: &Outcome, text: &str) {
    assert!(
        matches!(outcome, Outcome::Left(reason) if reason.contains(text)),
        "{outcome:?}"
    );
}

#[test]
fn a_harmless_change_reaches_every_node_within_the_disruption_budget() {
    let Played { outcome, fleet } = play(16, Defect::None, 1);
    assert_eq!((outcome, fleet.changed_nodes()), (Outcome::Through, 16));
    assert!(fleet.max_down <= 2, "{}", fleet.max_down);
}

#[test]
fn injected_defects_are_stopped_by_the_second_stage_and_rolled_back() {
    for defect in [
        Defect::CrashesAfter(3 * SECOND),
        Defect::DiesAfter(3 * SECOND),
        Defect::NeverReady,
        Defect::Slower(0.34),
        Defect::Errors(0.1),
        Defect::SecondOperationWorse(0.3),
        Defect::WorseWhenWarm(10 * SECOND, 0.2),
    ] {
        let Played { outcome, fleet } = play(16, defect, 2);
        assert!(
            matches!(outcome, Outcome::Back(_)),
            "{defect:?}: {outcome:?}"
        );
        assert!(
            fleet.stages_begun() <= 2 && fleet.changed_nodes() == 0,
            "{defect:?} in stage {}: {outcome:?}",
            fleet.stages_begun()
        );
        let lost = fleet.lost / fleet.requested;
        assert!(lost < 0.05, "{defect:?} lost {lost}");
    }
}

/// Nodes whose zones alternate were changed one after another, whatever the disruption budget.
#[test]
fn a_fleet_of_alternating_zones_uses_the_whole_disruption_budget() {
    let mut fleet = Fleet::new(plan(60, 3), Defect::None, 12);
    fleet.plan.max_unavailable = 10;
    let started_at = fleet.now;
    assert_eq!(fleet.play(), Outcome::Through);
    assert!(
        fleet.max_down <= 10 && fleet.max_down >= 8,
        "{}",
        fleet.max_down
    );
    // Four stages bake for 40 s, and the baseline takes as long; the rest is for 60 changes and 30 restarts.
    let seconds = (fleet.now - started_at) / SECOND;
    assert!(seconds < 260, "{seconds} s");
}

/// A controller that is partitioned from half of the nodes waits, takes none of them down, and continues after.
#[test]
fn a_controller_without_reports_of_half_of_the_nodes_takes_none_of_them_down() {
    for seconds in [150, 190] {
        let mut fleet = Fleet::new(plan(16, 2), Defect::None, 13);
        fleet.partition = Some(Partition {
            from: seconds * SECOND,
            to: (seconds + 30) * SECOND,
            nodes: 8,
        });
        let outcome = fleet.play();
        // A changed node that does not report is rolled back: no report is not taken for a good one.
        if outcome != Outcome::Through {
            assert_rolled_back(&outcome, "silent");
        }
        assert!(fleet.max_down <= 2, "{}", fleet.max_down);
    }
}

/// Harm to all nodes alike does not show between the two groups: the fleet's baseline tells.
#[test]
fn harm_to_the_whole_fleet_is_stopped_by_its_baseline() {
    let Played { outcome, fleet } = play(16, Defect::HarmsFleet(0.6), 3);
    assert_rolled_back(&outcome, "whole fleet");
    assert_eq!(fleet.changed_nodes(), 0);
}

/// Old and new nodes that disagree on a key's cache server: refused at the first node, unless the plan allows it.
#[test]
fn a_change_of_placement_is_refused_unless_allowed() {
    let Played { outcome, fleet } = play(8, Defect::MovesKeys, 9);
    assert_rolled_back(&outcome, "places keys otherwise");
    assert_eq!((fleet.changed_nodes(), fleet.stages_begun()), (0, 1));
    let mut allowed = plan(8, 2);
    allowed.changes_placement = true;
    // The plan allows that they fetch more in the first half minute: only losses are tested here.
    allowed.min_harm = 0.2;
    let mut fleet = Fleet::new(allowed, Defect::MovesKeys, 9);
    assert_eq!(fleet.play(), Outcome::Through);
}

/// Keys that move are misses at the origin: the change goes no faster than it can bear.
#[test]
fn a_change_of_placement_goes_as_fast_as_the_origin_bears() {
    let max_fetches = |bound: f64| {
        let mut allowed = plan(24, 1);
        allowed.changes_placement = true;
        allowed.min_harm = 0.2;
        // 24 nodes with 68 requests a second each, a tenth of them fetched: some 165 a second without the change. One
        // changed node fetches 54 more at first: the bound may be exceeded by so much.
        allowed.max_fetches_per_s = Some(bound);
        allowed.max_unavailable = 6;
        allowed.max_wait = 200 * SECOND;
        let mut fleet = Fleet::new(allowed, Defect::MovesKeys, 15);
        assert_eq!(fleet.play(), Outcome::Through);
        let fetches = fleet.observations.iter().map(|o| o.fetches_per_s);
        fetches.fold(0.0, f64::max)
    };
    let (unbounded, bounded) = (max_fetches(1e9), max_fetches(240.0));
    assert!(
        unbounded > 340.0 && bounded < 300.0,
        "{unbounded}, {bounded}"
    );
}

/// While all nodes suffer no more are changed, also before a stage is complete.
#[test]
fn no_more_nodes_are_changed_during_a_fault_of_the_whole_fleet() {
    let harmless = play(60, Defect::None, 14).fleet;
    let changes_last_stage = |o: &Observation| o.stage == 3 && o.phase == PhaseName::ChangingNodes;
    let observations = harmless.observations.iter();
    let last_stage = observations.clone().position(changes_last_stage).unwrap() as u64;
    let mut fleet = Fleet::new(plan(60, 2), Defect::None, 14);
    // In the middle of the last stage's changes.
    fleet.fault = Some(FleetFault {
        from: (104 + last_stage) * SECOND,
        to: (144 + last_stage) * SECOND,
        loss: 0.4,
    });
    assert_eq!(fleet.play(), Outcome::Through, "{:?}", fleet.printed);
    let suffers = |o: &&Observation| o.fleet_loss.is_some_and(|loss| loss > 0.3);
    let during: Vec<&Observation> = fleet.observations.iter().filter(suffers).collect();
    let is_changing = |o: &&Observation| o.phase == PhaseName::ChangingNodes;
    assert!(
        during.len() > 30 && during.iter().any(is_changing),
        "{}",
        during.len()
    );
    let first = during[3].changed_nodes;
    let last = during[during.len() - 1].changed_nodes;
    assert!(last <= first + 2, "{first} to {last} changed meanwhile");
}

/// A fault of the fleet in the middle of a stage is not blamed on the change: it waits, and continues after.
#[test]
fn a_harmless_change_waits_out_a_fault_of_the_fleet() {
    for seconds in [140, 200, 260] {
        let mut fleet = Fleet::new(plan(16, 2), Defect::None, 4);
        fleet.fault = Some(FleetFault {
            from: seconds * SECOND,
            to: (seconds + 40) * SECOND,
            loss: 0.4,
        });
        assert_eq!(fleet.play(), Outcome::Through, "{:?}", fleet.printed);
    }
}

#[test]
fn nothing_begins_while_a_node_is_unresponsive() {
    let mut fleet = Fleet::new(plan(8, 1), Defect::None, 5);
    fleet.muted = vec![3];
    assert_left(&fleet.play(), "no report from n3");
    assert_eq!(fleet.changed_nodes(), 0);
}

#[test]
fn a_node_whose_commands_fail_is_named_and_the_others_are_rolled_back() {
    let mut fleet = Fleet::new(plan(8, 1), Defect::None, 6);
    let first = stages::order(&fleet.plan)[0];
    fleet.nodes[first].commands_fail = true;
    let outcome = fleet.play();
    assert_left(&outcome, &fleet.plan.nodes[first].name);
    assert_eq!(fleet.changed_nodes(), 0);
}

/// Somebody else changed a node: it reports the new generation without a command.
#[test]
fn a_node_that_somebody_else_changed_ends_the_rollout() {
    let mut fleet = Fleet::new(plan(8, 1), Defect::None, 7);
    let last = *stages::order(&fleet.plan).last().unwrap();
    fleet.nodes[last].report.generation = "new".into();
    assert_left(&fleet.play(), "not changed yet");
    assert_eq!(fleet.changed_nodes(), 0);
}

/// The controller is killed before each of its actions in turn, and another continues: it ends as it would have.
#[test]
fn killed_at_any_point_it_ends_as_it_would_have() {
    for defect in [Defect::None, Defect::Errors(0.2)] {
        let undisturbed = play(6, defect, 8);
        let changed = if defect == Defect::None { 6 } else { 0 };
        for kill in 0..undisturbed.fleet.action_count() {
            let mut fleet = Fleet::new(plan(6, 2), defect, 8);
            fleet.kill_after = Some(kill);
            let outcome = fleet.play();
            assert_eq!(
                std::mem::discriminant(&outcome),
                std::mem::discriminant(&undisturbed.outcome),
                "killed at {kill}: {outcome:?}"
            );
            assert_eq!(fleet.changed_nodes(), changed, "killed at {kill}");
            assert!(
                fleet.max_down <= 2,
                "killed at {kill}: {} down",
                fleet.max_down
            );
        }
    }
}

/// A/A test: the change changes nothing, and the nodes differ for good. Few runs may be stopped, however often one
/// looks.
#[test]
fn harmless_changes_are_seldom_stopped() {
    let stopped: Vec<String> = (0..150)
        .filter_map(|seed| match play(8, Defect::None, 1000 + seed).outcome {
            Outcome::Through => None,
            outcome => Some(format!("{seed}: {outcome:?}")),
        })
        .collect();
    assert!(stopped.len() <= 3, "{stopped:?}");
}

#[test]
fn stages_are_nested_spread_over_zones_and_end_with_all_nodes() {
    let plan = plan(40, 4);
    let order = stages::order(&plan);
    let sizes = stages::sizes(&plan.stage_fractions, 40);
    assert_eq!((sizes.last(), order.len()), (Some(&40), 40));
    for size in sizes {
        let mut zones = [0; 4];
        order[..size].iter().for_each(|node| zones[node % 4] += 1);
        let (max, min) = (zones.iter().max().unwrap(), zones.iter().min().unwrap());
        assert!(max - min <= 1, "{size}: {zones:?}");
    }
}
