//! Retries: distinguishes failures of a cache server, of a single invocation, and of the whole deployment.
mod harness;
use harness::*;
use sparrouter_balancer::types::*;

/// Reads that fail at every server, mixed with good ones, don't reduce the origin's limit and are sent to at most two
/// cache servers.
#[test]
fn reads_that_fail_at_every_server_do_not_affect_other_reads() {
    let mut node = Harness::new(setup().max_forwards(6), servers(6));
    let mut rejected = 0;
    for n in 0..600u64 {
        let fails = n % 3 == 0;
        let index = node.read(if fails { n % 4 } else { 100 + n });
        for forward_index in 0..6 {
            let Some(&target) = node.targets(index).get(forward_index) else {
                break;
            };
            node.advance(5 * MS);
            let outcome = match fails {
                true => Outcome::Error,
                false if target == 6 || n % 5 > 1 => Outcome::Succeeded,
                false => Outcome::Miss,
            };
            node.end(index, forward_index, outcome);
        }
        let targets = node.targets(index);
        if fails {
            assert!(targets.len() <= 2 && !targets.contains(&6), "{targets:?}");
        } else {
            rejected += usize::from(targets.is_empty());
        }
    }
    assert_eq!(rejected, 0);
    // No cache server's weight has changed: the placement of keys equals that of a fresh node.
    let mut fresh = Harness::new(setup(), servers(6));
    assert!((700..800).all(|key| node.winner(key) == fresh.winner(key)));
}

/// Returns the number of forwards of a read that fails at the cache servers for which `fails` is true, and succeeds
/// at others.
fn count_forwards(node: &mut Harness, key: u64, fails: impl Fn(CacheIndex) -> bool) -> usize {
    let index = node.read(key);
    for forward_index in 0..3 {
        let Some(&target) = node.targets(index).get(forward_index) else {
            break;
        };
        let outcome = if fails(target) {
            Outcome::Error
        } else {
            Outcome::Succeeded
        };
        node.end(index, forward_index, outcome);
    }
    assert!(
        node.is_answered(index),
        "a shed read must be answered immediately"
    );
    node.targets(index).len()
}

/// Guards against a key that fails at every server and overloads the cache servers responsible for it. While the
/// evidence lasts, few of its reads are admitted; it is served again soon after the failures stop.
#[test]
fn a_key_that_fails_at_every_server_is_mostly_shed_and_recovers_within_seconds() {
    let mut node = Harness::new(setup(), servers(6));
    let mut forwards = 0;
    for n in 0..200 {
        forwards += count_forwards(&mut node, key_hash(1), |_| true);
        let other_forwards = count_forwards(&mut node, key_hash(100 + n), |_| false);
        assert_eq!(other_forwards, 1, "reads of other keys must be served");
        node.advance(25 * MS);
    }
    assert!(forwards < 60, "{forwards} forwards of 200 failing reads");
    node.advance(2 * SECOND);
    let is_served = |_: &i32| count_forwards(&mut node, key_hash(1), |_| false) == 1;
    let served = (0..40).filter(is_served).count();
    assert!(
        served > 20,
        "{served} of 40 reads served two seconds after the last failure"
    );
}

/// If all reads fail, retries are useless and stop. If one cache server fails, the next one answers, and retries
/// continue.
#[test]
fn the_fraction_of_retried_failures_follows_the_success_rate_of_retries() {
    let run = |node: &mut Harness, from: u64, fails: &dyn Fn(CacheIndex) -> bool| {
        let keys = (from..from + 150).map(key_hash);
        keys.map(|key| count_forwards(node, key, fails))
            .sum::<usize>()
    };
    let mut node = Harness::new(setup(), servers(6));
    run(&mut node, 0, &|_| true);
    let forwards = run(&mut node, 1000, &|_| true);
    assert!(
        forwards < 150 * 5 / 4,
        "{forwards} forwards of 150 failing reads"
    );
    run(&mut node, 2000, &|cache| cache < 3);
    run(&mut node, 3000, &|cache| cache < 3);
    let after = run(&mut node, 4000, &|cache| cache == 0);
    let mut fresh = Harness::new(setup(), servers(6));
    let before = run(&mut fresh, 4000, &|cache| cache == 0);
    assert!(
        after > 150 && before - after < 8,
        "{after} forwards, {before} at a fresh node"
    );
}

/// A read crashes the cache server that executes it: its connection breaks, and the server then refuses connections.
/// The read must not be sent to the next server, which it would crash too. Other reads that were at the server by
/// coincidence are throttled and may be retried by their clients.
#[test]
fn a_read_that_crashes_its_cache_server_is_not_sent_to_the_next() {
    let mut node = Harness::new(setup().without_health_checks(), servers(6));
    node.play_good_reads(2 * SECOND);
    let mut crashed = std::collections::BTreeSet::new();
    for n in 0..4 {
        let index = node.read(key_hash(7_000_000 + n));
        for forward_index in 0..3 {
            let Some(&target) = node.targets(index).get(forward_index) else {
                break;
            };
            node.advance(10 * MS);
            let crashes_now = crashed.insert(target);
            let outcome = if crashes_now {
                Outcome::Reset
            } else {
                Outcome::Unavailable
            };
            node.end(index, forward_index, outcome);
        }
        assert!(node.is_answered(index));
        node.play_reads(SECOND, &|cache| {
            Some(if crashed.contains(&cache) {
                Outcome::Unavailable
            } else {
                Outcome::Succeeded
            })
        });
    }
    assert!(crashed.len() <= 4, "{crashed:?}");
    // After the servers have restarted, none is suspected any more.
    let run = node.play_good_reads(10 * SECOND);
    assert!(run.first_success.is_some());
    let before = node.log.len();
    node.play_good_reads(2 * SECOND);
    assert!(
        !node.log[before..]
            .iter()
            .any(|a| matches!(a, Action::CheckHealth { .. } | Action::Throttle { .. }))
    );
}

/// A connection that broke before the request was sent completely proves that the read didn't run, so it can't have
/// caused the crash.
#[test]
fn a_read_that_never_reached_its_cache_server_is_retried_at_the_next() {
    let mut node = Harness::new(setup(), servers(6));
    node.play_good_reads(2 * SECOND);
    let index = node.read(key_hash(7));
    node.advance(10 * MS);
    node.end(index, 0, Outcome::Broken);
    node.end(index, 1, Outcome::Unavailable);
    let targets = node.targets(index);
    assert!(
        targets.len() == 3 && targets[0] == targets[1] && targets[2] != targets[0],
        "{targets:?}"
    );
}
