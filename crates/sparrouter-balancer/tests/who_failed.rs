//! Who failed: this cache server, this invocation wherever it goes, or everything.
mod world;
use sparrouter_balancer::types::*;
use world::*;

/// Reads that err wherever they go had the origin's limit fall to nothing: for half a minute after they had
/// stopped, a third of all reads was turned away. Each went to every cache server allowed, too.
#[test]
fn what_errs_wherever_it_goes_harms_no_other() {
    let mut s = site();
    s.limits.max_forwards = 6;
    let mut w = World::new(s, fleet(6));
    let mut refused = 0;
    for n in 0..600u64 {
        let bad = n % 3 == 0;
        let inv = w.arrive(0, Some(if bad { n % 4 } else { 100 + n }), false, SECOND);
        for copy in 0..6 {
            let Some(&to) = w.sent_to(inv).get(copy) else {
                break;
            };
            w.pass(5 * MS);
            let end = match bad {
                true => Outcome::Error,
                false if to == 6 || n % 5 > 1 => Outcome::Succeeded,
                false => Outcome::Miss,
            };
            w.end(inv, copy, end);
        }
        if bad {
            assert!(
                w.sent_to(inv).len() <= 2 && !w.sent_to(inv).contains(&6),
                "{:?}",
                w.sent_to(inv)
            );
        } else {
            refused += usize::from(matches!(w.sent_to(inv).len(), 0));
        }
    }
    assert_eq!(refused, 0);
    // Nobody's standing has changed: keys are where a node that saw none of it has them.
    let mut other = World::new(site(), fleet(6));
    assert!((700..800).all(|k| winner(&mut w, k) == winner(&mut other, k)));
}

/// Writes that err at the origin, all with the same keys, are no sign that it is crowded.
#[test]
fn writes_that_fail_by_themselves_leave_the_origin_its_limit() {
    let mut w = World::new(site(), fleet(4));
    for n in 0..200u64 {
        let inv = w.arrive(1, Some(n % 3), true, SECOND);
        w.pass(5 * MS);
        w.end(inv, 0, Outcome::Error);
        assert!(w.answered(inv));
        let good = w.arrive(1, Some(50 + n), true, SECOND);
        assert_eq!(w.sent_to(good), vec![4]);
        w.pass(5 * MS);
        w.end(good, 0, Outcome::Succeeded);
    }
}

/// Plays misses at a steady rate before an origin that serves one after another besides what others make it
/// take, for a while; mean time of its answers and how many fetches it had in the last third.
fn origin_under(rate: Nanos, each: Nanos, alone: Nanos) -> (Nanos, usize) {
    let mut s = site();
    s.limits.max_forwards = 2;
    let mut w = World::new(s, fleet(6));
    // Ends of fetches: who, when. One at a time, each after the one before.
    let (mut queue, mut free, mut lags): (Vec<(InvocationIndex, Nanos, Nanos)>, _, _) =
        (vec![], w.now, vec![]);
    for n in 0..2400u64 {
        let inv = w.arrive(0, Some(n), false, 1200 * MS);
        if w.sent_to(inv).len() == 1 {
            w.end(inv, 0, Outcome::Miss);
        }
        w.pass(rate);
        for i in (0..queue.len())
            .rev()
            .filter(|&i| queue[i].2 <= w.now)
            .collect::<Vec<_>>()
        {
            let (inv, at, _) = queue.remove(i);
            lags.push((n, w.now - at));
            w.end(inv, 1, Outcome::Succeeded);
        }
        for (inv, copy) in w.open().into_iter().filter(|o| o.1 == 1) {
            if queue.iter().all(|q| q.0 != inv) {
                free = free.max(w.now) + each;
                queue.push((inv, w.now, free + alone));
            }
            assert_eq!(copy, 1);
        }
    }
    let late: Vec<Nanos> = lags.iter().filter(|l| l.0 > 1600).map(|l| l.1).collect();
    (
        late.iter().sum::<Nanos>() / late.len().max(1) as Nanos,
        late.len(),
    )
}

/// Asked for half as much again as it can do from the first second on, the origin's crowded time was taken for
/// what it needs: nobody waited in time any more, and nothing ever told otherwise.
#[test]
fn a_crowd_at_the_origin_from_the_start_is_told_from_a_slow_one() {
    let (lag, served) = origin_under(20 * MS, 30 * MS, 0);
    assert!(
        lag < 200 * MS && served > 400,
        "crowded: {} ms, {served}",
        lag / MS
    );
    // One that takes longer than is tolerated however few ask is used all the same.
    let (lag, served) = origin_under(20 * MS, MS, 180 * MS);
    assert!(
        lag < 250 * MS && served > 400,
        "slow by itself: {} ms, {served}",
        lag / MS
    );
}

/// Forwards that an arrival of this key leads to: it errs wherever it goes, or is answered at once.
fn forwards(w: &mut World, key: u64, errs: impl Fn(CacheIndex) -> bool) -> usize {
    let inv = w.arrive(0, Some(key), false, SECOND);
    for copy in 0..3 {
        let Some(&to) = w.sent_to(inv).get(copy) else {
            break;
        };
        w.end(
            inv,
            copy,
            if errs(to) {
                Outcome::Error
            } else {
                Outcome::Succeeded
            },
        );
    }
    assert!(w.answered(inv), "given up is answered at once");
    w.sent_to(inv).len()
}

/// One key that fails everywhere filled the cache servers it belongs to; while the evidence lasts few of it are
/// let in, and the key is served again soon after it has stopped to fail.
#[test]
fn a_key_that_fails_everywhere_is_let_in_seldom_and_served_again_soon() {
    let mut w = World::new(site(), fleet(6));
    let key = |n: u64| n.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let mut sent = 0;
    for n in 0..200 {
        sent += forwards(&mut w, key(1), |_| true);
        assert_eq!(
            forwards(&mut w, key(100 + n), |_| false),
            1,
            "others are served as before"
        );
        w.pass(25 * MS);
    }
    assert!(sent < 60, "{sent} forwards of 200 that fail");
    w.pass(2 * SECOND);
    let served = (0..40)
        .filter(|_| forwards(&mut w, key(1), |_| false) == 1)
        .count();
    assert!(served > 20, "{served} of 40 after two seconds");
}

/// Nothing in common, all fail: each was sent on for nothing. One cache server that errs: the next one answers, and
/// it is sent on to again.
#[test]
fn what_errs_is_sent_on_as_far_as_that_helps() {
    let mut w = World::new(site(), fleet(6));
    let key = |n: u64| n.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let run = |w: &mut World, from: u64, errs: &dyn Fn(CacheIndex) -> bool| {
        (from..from + 150)
            .map(|n| forwards(w, key(n), errs))
            .sum::<usize>()
    };
    run(&mut w, 0, &|_| true);
    let most = run(&mut w, 1000, &|_| true);
    assert!(most < 150 * 5 / 4, "{most} forwards of 150 that all err");
    run(&mut w, 2000, &|c| c < 3);
    run(&mut w, 3000, &|c| c < 3);
    let helped = run(&mut w, 4000, &|c| c == 0);
    let mut fresh = World::new(site(), fleet(6));
    let before = run(&mut fresh, 4000, &|c| c == 0);
    assert!(
        helped > 150 && before - helped < 8,
        "{helped}, {before} at first"
    );
}
