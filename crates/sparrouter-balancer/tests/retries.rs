//! Retries: whether a failure is that of the cache server, of the invocation wherever it goes, or of everything.
mod harness;
use harness::*;
use sparrouter_balancer::types::*;

/// Reads that fail wherever they go, among good ones, reduce no limit of the origin and go to two cache servers at most.
#[test]
fn reads_that_fail_everywhere_harm_no_other() {
    let mut node = Harness::new(setup().max_forwards(6), servers(6));
    let mut rejected = 0;
    for n in 0..600u64 {
        let fails = n % 3 == 0;
        let index = node.read(if fails { n % 4 } else { 100 + n });
        for copy in 0..6 {
            let Some(&target) = node.targets(index).get(copy) else {
                break;
            };
            node.advance(5 * MS);
            let outcome = match fails {
                true => Outcome::Error,
                false if target == 6 || n % 5 > 1 => Outcome::Succeeded,
                false => Outcome::Miss,
            };
            node.end(index, copy, outcome);
        }
        let targets = node.targets(index);
        if fails {
            assert!(targets.len() <= 2 && !targets.contains(&6), "{targets:?}");
        } else {
            rejected += usize::from(targets.is_empty());
        }
    }
    assert_eq!(rejected, 0);
    // No cache server's weight has changed: keys are where a node that saw none of it has them.
    let mut fresh = Harness::new(setup(), servers(6));
    assert!((700..800).all(|key| node.winner(key) == fresh.winner(key)));
}

/// Number of forwards of a read that fails at the cache servers for which `fails` says so, and succeeds at others.
fn count_forwards(node: &mut Harness, key: u64, fails: impl Fn(CacheIndex) -> bool) -> usize {
    let index = node.read(key);
    for copy in 0..3 {
        let Some(&target) = node.targets(index).get(copy) else {
            break;
        };
        let outcome = if fails(target) {
            Outcome::Error
        } else {
            Outcome::Succeeded
        };
        node.end(index, copy, outcome);
    }
    assert!(node.is_answered(index), "what is shed is answered at once");
    node.targets(index).len()
}

/// Guards against a key that fails everywhere and fills the cache servers it belongs to. While the evidence lasts few of its
/// reads are admitted, and it is served again soon after it has stopped to fail.
#[test]
fn a_key_that_fails_everywhere_is_admitted_seldom_and_served_again_soon() {
    let mut node = Harness::new(setup(), servers(6));
    let mut forwards = 0;
    for n in 0..200 {
        forwards += count_forwards(&mut node, key_hash(1), |_| true);
        let of_other = count_forwards(&mut node, key_hash(100 + n), |_| false);
        assert_eq!(of_other, 1, "others are served as before");
        node.advance(25 * MS);
    }
    assert!(forwards < 60, "{forwards} forwards of 200 that fail");
    node.advance(2 * SECOND);
    let is_served = |_: &i32| count_forwards(&mut node, key_hash(1), |_| false) == 1;
    let served = (0..40).filter(is_served).count();
    assert!(served > 20, "{served} of 40 after two seconds");
}

/// If all fail, each retry is for nothing. If one cache server fails, the next one answers, and retries go on.
#[test]
fn failures_are_retried_as_far_as_that_helps() {
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
        "{forwards} forwards of 150 that all fail"
    );
    run(&mut node, 2000, &|cache| cache < 3);
    run(&mut node, 3000, &|cache| cache < 3);
    let after = run(&mut node, 4000, &|cache| cache == 0);
    let mut fresh = Harness::new(setup(), servers(6));
    let before = run(&mut fresh, 4000, &|cache| cache == 0);
    assert!(
        after > 150 && before - after < 8,
        "{after}, {before} at first"
    );
}

/// A read that brings down what it reaches: its connection breaks, and nobody listens there any more. It does not go to the
/// next, which would go down too; another that was there by chance is throttled and may come again.
#[test]
fn a_read_that_brings_down_its_cache_is_not_sent_to_the_next() {
    let mut node = Harness::new(setup().without_health_checks(), servers(6));
    node.play_good_reads(2 * SECOND);
    let mut down = std::collections::BTreeSet::new();
    for n in 0..4 {
        let index = node.read(key_hash(7_000_000 + n));
        for copy in 0..3 {
            let Some(&target) = node.targets(index).get(copy) else {
                break;
            };
            node.advance(10 * MS);
            let goes_down_now = down.insert(target);
            let outcome = if goes_down_now {
                Outcome::Reset
            } else {
                Outcome::Unavailable
            };
            node.end(index, copy, outcome);
        }
        assert!(node.is_answered(index));
        node.play_reads(SECOND, &|cache| {
            Some(if down.contains(&cache) {
                Outcome::Unavailable
            } else {
                Outcome::Succeeded
            })
        });
    }
    assert!(down.len() <= 4, "{down:?}");
    // Once they are up again no suspicion remains.
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

/// A connection that broke before the request was sent completely proves that nothing ran: the read is not to blame.
#[test]
fn a_read_that_never_reached_its_cache_goes_on_to_the_next() {
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
