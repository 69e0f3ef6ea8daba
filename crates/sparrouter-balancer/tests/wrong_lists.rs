//! Where gone is advice: lists that are wrong, and lists that are right about nearly everything.
mod world;
use sparrouter_balancer::types::*;
use world::*;

fn advised() -> Site {
    let mut s = site();
    s.rules.removal_is_advisory = true;
    s
}

fn rows(n: usize, standing: LifecycleState) -> Vec<CacheRecord> {
    fleet(n)
        .into_iter()
        .map(|r| CacheRecord {
            state: standing,
            ..r
        })
        .collect()
}

fn served(w: &mut World, keys: std::ops::Range<u64>) -> usize {
    keys.filter(|&key| {
        let inv = w.arrive(0, Some(key), false, SECOND);
        let sent = !w.sent_to(inv).is_empty();
        w.pass(10 * MS);
        if sent {
            w.end(inv, 0, Outcome::Succeeded);
        }
        sent
    })
    .count()
}

/// A list that called all running cache servers gone emptied the election: nine tenths were turned away.
#[test]
fn all_called_gone_or_left_out_stay_in_the_election_while_they_answer() {
    for (form, list) in [
        (ListKind::Full, vec![]),
        (ListKind::Changes, rows(6, LifecycleState::Left)),
    ] {
        let mut w = World::new(advised(), fleet(6));
        let before: Vec<_> = (0..50).map(|k| winner(&mut w, k)).collect();
        w.list(form, list.clone());
        assert_eq!(
            before,
            (0..50).map(|k| winner(&mut w, k)).collect::<Vec<_>>()
        );
        // Reads that miss still find the origin.
        let inv = w.arrive(0, Some(900), false, SECOND);
        w.end(inv, 0, Outcome::Miss);
        assert_eq!(w.sent_to(inv)[1], 6);
        // Where gone binds, it is kept.
        let mut w = World::new(site(), fleet(6));
        w.list(form, list);
        assert_eq!(served(&mut w, 0..50), 0);
    }
}

#[test]
fn one_that_drained_before_it_was_gone_gets_nothing_until_it_is_listed_again() {
    let mut w = World::new(advised(), fleet(3));
    let home = winner(&mut w, 1);
    let with = |standing| {
        vec![CacheRecord {
            state: standing,
            ..row(home, 0)
        }]
    };
    w.list(ListKind::Changes, with(LifecycleState::Draining));
    assert_ne!(winner(&mut w, 1), home);
    w.list(ListKind::Changes, with(LifecycleState::Left));
    assert_ne!(winner(&mut w, 1), home);
    // A whole list that leaves it out, or has it drain still, changes nothing.
    w.list(
        ListKind::Full,
        fleet(3).into_iter().filter(|r| r.cache != home).collect(),
    );
    assert_ne!(winner(&mut w, 1), home);
    w.list(ListKind::Changes, with(LifecycleState::Ready));
    assert_eq!(winner(&mut w, 1), home);
}

/// Called gone and gone in truth, without having drained: own forwards find it out, and few of them.
#[test]
fn one_that_is_gone_in_truth_costs_few_forwards() {
    let mut w = World::new(advised(), fleet(4));
    let home = winner(&mut w, 1);
    w.list(
        ListKind::Changes,
        vec![CacheRecord {
            state: LifecycleState::Left,
            ..row(home, 0)
        }],
    );
    let mut tried = 0;
    for k in 0..1200 {
        let inv = w.arrive(0, Some(k % 40), false, SECOND);
        for copy in 0..3 {
            let Some(&to) = w.sent_to(inv).get(copy) else {
                break;
            };
            tried += usize::from(to == home);
            w.end(
                inv,
                copy,
                if to == home {
                    Outcome::Unavailable
                } else {
                    Outcome::Succeeded
                },
            );
        }
        assert!(w.answered(inv));
        w.pass(50 * MS);
    }
    // A minute: it is looked at ever more seldom.
    assert!((1..=10).contains(&tried), "{tried}");
}

/// Half of them called gone and there, half listed and there: nothing changes for either.
#[test]
fn half_called_gone_keep_their_keys_beside_those_listed() {
    let mut w = World::new(advised(), fleet(8));
    let before: Vec<_> = (0..80).map(|k| winner(&mut w, k)).collect();
    w.list(
        ListKind::Full,
        fleet(8).into_iter().filter(|r| r.cache % 2 == 0).collect(),
    );
    assert_eq!(
        before,
        (0..80).map(|k| winner(&mut w, k)).collect::<Vec<_>>()
    );
    w.list(ListKind::Full, fleet(8));
    assert_eq!(
        before,
        (0..80).map(|k| winner(&mut w, k)).collect::<Vec<_>>()
    );
}

/// An old list names cache servers long replaced, and not those that stand in for them now.
#[test]
fn an_old_list_that_comes_again_moves_keys_only_to_those_that_answer() {
    let mut w = World::new(advised(), fleet(8));
    let drained: Vec<CacheRecord> = (0..4)
        .map(|c| CacheRecord {
            state: LifecycleState::Draining,
            ..row(c, 0)
        })
        .collect();
    w.list(ListKind::Changes, drained);
    // The replaced are listed as they were, the others are left out.
    w.list(
        ListKind::Full,
        (0..4).map(|c| row(c, 0)).chain([row(8, 9)]).collect(),
    );
    let mut answered = 0;
    for k in 0..600 {
        let inv = w.arrive(0, Some(k), false, SECOND);
        for copy in 0..3 {
            let Some(&to) = w.sent_to(inv).get(copy) else {
                break;
            };
            w.pass(5 * MS);
            w.end(
                inv,
                copy,
                if to < 4 {
                    Outcome::Unavailable
                } else {
                    Outcome::Succeeded
                },
            );
        }
        answered += usize::from(w.answered(inv) && !w.sent_to(inv).is_empty());
        w.pass(20 * MS);
    }
    assert!(answered > 590, "{answered}");
}

/// Rule 4. Most drop off the list at once while one of those left is cold: the answers of all, shared out among
/// the few, stood for what one can do, and it was sent five times what it could take.
#[test]
fn a_list_that_shrinks_leaves_a_cold_one_its_budget() {
    for advice in [false, true] {
        let mut s = site();
        s.rules.removal_is_advisory = advice;
        let mut w = World::new(s, fleet(40));
        let mut key = 0;
        let mut half_a_second = |w: &mut World, shrunk: bool| {
            let mut cold = 0;
            for _ in 0..100 {
                key += 1;
                let inv = w.arrive(0, Some(key), false, SECOND);
                w.pass(5 * MS);
                // The few that are left can do no more than they did before.
                let end = if !shrunk || key % 20 == 0 {
                    Outcome::Succeeded
                } else {
                    Outcome::Full
                };
                for copy in 0..3 {
                    if w.sent_to(inv)
                        .get(copy)
                        .is_some_and(|&to| to != 2 || !shrunk)
                    {
                        w.end(inv, copy, end);
                    }
                }
                cold += usize::from(w.sent_to(inv).contains(&2));
            }
            cold
        };
        for _ in 0..21 {
            half_a_second(&mut w, false);
        }
        let at = w.now;
        w.list(
            ListKind::Full,
            vec![
                row(0, 0),
                row(1, 0),
                CacheRecord {
                    ready_at: at,
                    ..row(2, 0)
                },
                row(40, 9),
            ],
        );
        let sent: usize = (0..4).map(|_| half_a_second(&mut w, true)).sum();
        // A warm unit of weight has answered 200 / 60 a second: of that 0.15 x 3 x a half at the most.
        assert!(sent <= 3, "advice {advice}: {sent}");
    }
}

/// Rule 4. A node has just started, a handful of answers came within milliseconds, and the list changes: taken for
/// what they are a second, a cold one's budget was fifty times what it can do.
#[test]
fn first_answers_in_a_moment_are_no_rate() {
    let mut w = World::new(site(), fleet(8));
    let play = |w: &mut World, key: u64, pause: Nanos| {
        let inv = w.arrive(0, Some(key), false, SECOND);
        w.pass(pause);
        for copy in 0..3 {
            if w.sent_to(inv).len() > copy {
                w.end(inv, copy, Outcome::Succeeded);
            }
        }
        usize::from(w.sent_to(inv).contains(&2))
    };
    for key in 0..40 {
        play(&mut w, key, MS / 2);
    }
    let at = w.now;
    let cold = |n: usize| {
        if n == 2 {
            CacheRecord {
                ready_at: at,
                ..row(2, 0)
            }
        } else {
            row(n, 0)
        }
    };
    w.list(
        ListKind::Full,
        (1..4).map(cold).chain([row(40, 9)]).collect(),
    );
    let sent: usize = (100..260).map(|key| play(&mut w, key, 3 * MS)).sum();
    // Half a second: 40 answers from 8 are 5 a unit, of that 0.15 x 3 x a half a second.
    assert!(sent <= 2, "{sent}");
}

/// Calls for the list fail at once, or hang for good: it is asked for again within the time for which a node is held to
/// the list that it has, though a failed call would give it four times as long.
#[test]
fn a_list_that_cannot_be_had_is_asked_for_in_time() {
    for hangs in [false, true] {
        let mut s = site();
        s.place.list_is_polled = true;
        let (step, within) = (50 * MS, s.rules.poll_interval);
        let mut w = World::new(s, fleet(3));
        let asked = |w: &World| w.log.iter().filter(|a| **a == Action::FollowList).count();
        let (mut calls, mut since) = (asked(&w), 0);
        for _ in 0..6 * within / step {
            w.pass(step);
            since += step;
            if asked(&w) > calls {
                (calls, since) = (asked(&w), 0);
                if !hangs {
                    w.list(ListKind::Lost, Vec::new());
                }
            }
            assert!(since < within, "after {calls} calls, hangs: {hangs}");
        }
        assert!(calls > 6, "{calls}");
    }
}
