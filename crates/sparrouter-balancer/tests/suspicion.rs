//! Failure detection: cache servers that don't respond, and their recovery.
mod harness;
use harness::*;
use sparrouter_balancer::types::*;

/// A cache server that accepts requests and answers none loses its keys until a health check is answered.
#[test]
fn an_unresponsive_cache_server_is_suspected_and_loses_its_keys() {
    let mut node = Harness::new(setup(), servers(4));
    let winner = node.winner(1);
    for _ in 0..2 {
        node.arrive(Request::read(1).timeout(2 * SECOND));
        node.advance(320 * MS);
    }
    assert_ne!(node.winner(1), winner);
}

/// If every node periodically checked every suspected cache server, the number of checks would grow with the product
/// of their numbers.
#[test]
fn a_suspected_cache_server_is_checked_only_on_demand() {
    let mut node = Harness::new(setup(), servers(4));
    let winner = node.winner(1);
    node.arrive(Request::read(1).timeout(2 * SECOND));
    node.advance(30 * SECOND);
    let checks = |node: &Harness| node.count_actions(|a| matches!(a, Action::CheckHealth { .. }));
    assert_eq!(checks(&node), 0);
    assert_ne!(node.winner(1), winner);
    assert_eq!(checks(&node), 1);
}

/// Recovery has no fixed delay: whatever the period of the failures, the recovery is detected by trial forwards.
#[test]
fn a_cache_server_that_fails_periodically_is_used_again_soon_after_it_recovers() {
    for failure in [None, Some(Outcome::Unavailable), Some(Outcome::Reset)] {
        for period in [2, 6, 12] {
            let mut node = Harness::new(setup().without_health_checks(), servers(4));
            for _ in 0..2 {
                node.play_good_reads(period * SECOND / 2);
                node.play_reads(period * SECOND / 2, &|cache| {
                    if cache == 0 {
                        failure
                    } else {
                        Some(Outcome::Succeeded)
                    }
                });
            }
            let run = node.play_good_reads(8 * SECOND);
            // Consecutive checks are at most eight times the shortest latency target apart, and need a read of one of
            // the server's keys.
            let max_recovery_time = 9 * 300 * MS;
            assert!(
                run.first_success
                    .is_some_and(|time| time <= max_recovery_time),
                "{failure:?} for {period} s: {:?}",
                run.first_success
            );
        }
    }
}

/// Load reports that are constant, always idle or always full, have no effect: the outcomes of this node's forwards
/// decide.
#[test]
fn load_reports_do_not_affect_decisions() {
    let run = |load: Option<Load>| {
        let mut node = Harness::new(setup(), servers(4));
        node.load = load;
        node.play_good_reads(2 * SECOND);
        node.play_reads(3 * SECOND, &|cache| {
            (cache != 0).then_some(Outcome::Succeeded)
        });
        node.play_reads(3 * SECOND, &|cache| {
            Some(if cache == 1 {
                Outcome::Full
            } else {
                Outcome::Succeeded
            })
        });
        node.log
    };
    let idle = run(Some(Load {
        active: Some(0.0),
        waiting: Some(0.0),
    }));
    let full = run(Some(Load {
        active: Some(64.0),
        waiting: Some(999.0),
    }));
    assert!(idle == full && idle == run(None));
}

/// Late or missing answers reduce the limit of forwards in flight: a server with a full queue does all its work after
/// the clients' deadlines.
#[test]
fn late_answers_reduce_the_limit_of_forwards_in_flight() {
    let mut node = Harness::new(setup(), servers(1));
    for key in 0..30 {
        node.arrive(Request::read(key).timeout(2 * SECOND));
        node.advance(20 * MS);
    }
    node.advance(2 * SECOND);
    let before = node.in_flight().len();
    for key in 100..110 {
        node.arrive(Request::read(key).timeout(2 * SECOND));
    }
    let after = node.in_flight().len();
    assert!(after <= before + 2, "{after}");
}
