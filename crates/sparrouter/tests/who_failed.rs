//! Who failed: this cache server, this invocation wherever it goes, or everything.
mod world;
use sparrouter::types::*;
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
            let Some(&to) = w.sent_to(inv).get(copy) else { break };
            w.pass(5 * MS);
            let end = match bad {
                true => Outcome::Error,
                false if to == 6 || n % 5 > 1 => Outcome::Succeeded,
                false => Outcome::Miss,
            };
            w.end(inv, copy, end);
        }
        if bad {
            assert!(w.sent_to(inv).len() <= 2 && !w.sent_to(inv).contains(&6), "{:?}", w.sent_to(inv));
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
