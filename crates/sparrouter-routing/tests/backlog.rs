//! The expected wait at a server.
use sparrouter_routing::Backlog;

const MS: u64 = 1_000_000;

/// Served in the order of urgency, at so many tokens a ms, all that came by then; gives back when the token was read.
fn read_at(arrivals: &[(u64, f64, u32, u64)], rate: f64, token: u64) -> u64 {
    let (mut now, mut waiting, mut next) = (0.0, Vec::new(), 0);
    loop {
        while next < arrivals.len() && arrivals[next].0 as f64 <= now {
            waiting.push(arrivals[next]);
            next += 1;
        }
        let Some(place) = (0..waiting.len()).min_by_key(|&i| (waiting[i].2, waiting[i].0)) else {
            now = arrivals[next].0 as f64;
            continue;
        };
        let (_, cost, _, id) = waiting.remove(place);
        now += cost / rate;
        if id == token {
            return now as u64;
        }
    }
}

#[test]
fn given_an_empty_backlog_when_asked_then_there_is_no_wait() {
    assert_eq!(Backlog::default().estimate_wait(3, 0), 0);
}

#[test]
fn given_prompts_ahead_when_asked_then_only_those_as_urgent_count() {
    let mut backlog = Backlog::default();
    backlog.enqueue(1, 4_000.0, 2, 0);
    backlog.enqueue(2, 8_000.0, 5, 0);
    let (urgent, middle, late) = (
        backlog.estimate_wait(1, 0),
        backlog.estimate_wait(2, 0),
        backlog.estimate_wait(5, 0),
    );
    assert_eq!(urgent, 0);
    assert!(urgent < middle && middle < late, "{middle} {late}");
    backlog.remove(1, true, MS);
    assert_eq!(backlog.estimate_wait(2, MS), 0);
}

#[test]
fn given_urgent_prompts_that_keep_coming_when_a_large_one_asks_then_what_will_overtake_it_counts() {
    // 40 tokens a ms are read, which is what a keeper takes a server for at first; 15 of them come with small prompts.
    let mut arrivals: Vec<(u64, f64, u32, u64)> = (0..500).map(|n| (n * 10, 150.0, 0, n)).collect();
    let mut backlog = Backlog::default();
    for (at, cost, urgency, id) in arrivals.iter().take(300) {
        backlog.enqueue(*id, *cost, *urgency, at * MS);
        backlog.remove(*id, true, (at + 5) * MS);
    }
    // 24,000 tokens are ahead: 0.6 s of reading, more with those that overtake.
    (0..4).for_each(|n| backlog.enqueue(1_000 + n, 6_000.0, 4, 3_000 * MS));
    let told = backlog.estimate_wait(4, 3_000 * MS) / MS;
    arrivals.extend((0..4).map(|n| (3_000, 6_000.0, 4, 1_000 + n)));
    arrivals.sort_by_key(|a| (a.0, a.3));
    let took = read_at(&arrivals, 40.0, 1_003) - 3_000;
    assert!(took > 800, "600 ms without those that overtake it: {took}");
    assert!(
        told.abs_diff(took) * 5 < took,
        "{told} ms told, {took} ms in truth"
    );
}

#[test]
fn given_prompts_overtaken_by_others_when_they_begin_then_the_rate_is_still_learnt_right() {
    // Each large prompt has 3,000 tokens ahead and is overtaken by 3,000 more: at 20 tokens a ms it begins after 300 ms.
    let mut backlog = Backlog::default();
    for n in 0..200u64 {
        let at = n * 1_000 * MS;
        backlog.enqueue(n * 10, 3_000.0, 5, at);
        backlog.enqueue(n * 10 + 1, 3_000.0, 0, at + 10 * MS);
        backlog.remove(n * 10 + 1, true, at + 160 * MS);
        backlog.remove(n * 10, true, at + 340 * MS);
    }
    let now = 400_000 * MS;
    backlog.enqueue(1, 20_000.0, 0, now);
    let told = backlog.estimate_wait(0, now) / MS;
    assert!(
        (800..=1_200).contains(&told),
        "20,000 tokens take 1 s, told {told} ms"
    );
}

#[test]
fn given_prompts_that_are_never_reported_over_when_time_passes_then_they_stop_counting() {
    let mut backlog = Backlog::default();
    (0..10_000).for_each(|n| backlog.enqueue(n, 1_000.0, 1, 0));
    assert!(backlog.queued() <= 4_096);
    backlog.estimate_wait(1, 20_000 * MS);
    assert_eq!(backlog.queued(), 0);
}
