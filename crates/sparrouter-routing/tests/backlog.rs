//! The estimated wait of a prompt at a server.
use sparrouter_routing::Backlog;

const MS: u64 = 1_000_000;

/// Simulates a server that prefills the arrivals `(arrived at ms, cost, priority, id)` by priority at `rate` tokens per ms.
/// Returns the ms at which the prompt `prompt_id` has been prefilled.
fn prefilled_at_ms(arrivals: &[(u64, f64, u32, u64)], rate: f64, prompt_id: u64) -> u64 {
    let (mut now, mut queue, mut next) = (0.0, Vec::new(), 0);
    loop {
        while next < arrivals.len() && arrivals[next].0 as f64 <= now {
            queue.push(arrivals[next]);
            next += 1;
        }
        let Some(index) = (0..queue.len()).min_by_key(|&i| (queue[i].2, queue[i].0)) else {
            now = arrivals[next].0 as f64;
            continue;
        };
        let (_, cost, _, id) = queue.remove(index);
        now += cost / rate;
        if id == prompt_id {
            return now as u64;
        }
    }
}

#[test]
fn given_an_empty_backlog_then_the_estimated_wait_is_zero() {
    assert_eq!(Backlog::default().estimate_wait(3, 0), 0);
}

#[test]
fn given_queued_prompts_then_the_estimate_counts_only_those_of_the_same_or_a_higher_priority() {
    let mut backlog = Backlog::default();
    backlog.enqueue(1, 4_000.0, 2, 0);
    backlog.enqueue(2, 8_000.0, 5, 0);
    let (high, middle, low) = (
        backlog.estimate_wait(1, 0),
        backlog.estimate_wait(2, 0),
        backlog.estimate_wait(5, 0),
    );
    assert_eq!(high, 0);
    assert!(high < middle && middle < low, "{middle} {low}");
    backlog.remove(1, true, MS);
    assert_eq!(backlog.estimate_wait(2, MS), 0);
}

#[test]
fn given_high_priority_prompts_that_keep_arriving_then_the_estimate_includes_those_that_will_overtake()
 {
    // 40 tokens are prefilled per ms, the initially assumed rate; 15 tokens per ms arrive with small prompts.
    let mut arrivals: Vec<(u64, f64, u32, u64)> = (0..500).map(|n| (n * 10, 150.0, 0, n)).collect();
    let mut backlog = Backlog::default();
    for (arrived_ms, cost, priority, id) in arrivals.iter().take(300) {
        backlog.enqueue(*id, *cost, *priority, arrived_ms * MS);
        backlog.remove(*id, true, (arrived_ms + 5) * MS);
    }
    // 24,000 tokens are ahead: 0.6 s of prefill, and more because small prompts overtake.
    (0..4).for_each(|n| backlog.enqueue(1_000 + n, 6_000.0, 4, 3_000 * MS));
    let estimated = backlog.estimate_wait(4, 3_000 * MS) / MS;
    arrivals.extend((0..4).map(|n| (3_000, 6_000.0, 4, 1_000 + n)));
    arrivals.sort_by_key(|a| (a.0, a.3));
    let waited = prefilled_at_ms(&arrivals, 40.0, 1_003) - 3_000;
    assert!(
        waited > 800,
        "600 ms without overtaking prompts, waited {waited} ms"
    );
    assert!(
        estimated.abs_diff(waited) * 5 < waited,
        "{estimated} ms estimated, {waited} ms waited"
    );
}

#[test]
fn given_prompts_that_were_overtaken_then_the_measured_prefill_rate_is_still_correct() {
    // Each prompt of priority 5 has 3,000 tokens and is overtaken by 3,000 tokens of priority 0. At 20 tokens per ms its
    // prefill ends 300 ms after its arrival; the fixed overhead delays its first token by 40 ms more.
    let mut backlog = Backlog::default();
    for n in 0..200u64 {
        let enqueued_at = n * 1_000 * MS;
        backlog.enqueue(n * 10, 3_000.0, 5, enqueued_at);
        backlog.enqueue(n * 10 + 1, 3_000.0, 0, enqueued_at + 10 * MS);
        backlog.remove(n * 10 + 1, true, enqueued_at + 160 * MS);
        backlog.remove(n * 10, true, enqueued_at + 340 * MS);
    }
    let now = 400_000 * MS;
    backlog.enqueue(1, 20_000.0, 0, now);
    let estimated = backlog.estimate_wait(0, now) / MS;
    assert!(
        (800..=1_200).contains(&estimated),
        "20,000 tokens take 1 s, estimated {estimated} ms"
    );
}

#[test]
fn given_prompts_whose_removal_is_never_reported_when_they_expire_then_the_queue_is_empty() {
    let mut backlog = Backlog::default();
    (0..10_000).for_each(|n| backlog.enqueue(n, 1_000.0, 1, 0));
    assert!(backlog.queued() <= 4_096);
    backlog.estimate_wait(1, 20_000 * MS);
    assert_eq!(backlog.queued(), 0);
}

#[test]
fn given_queued_prompts_of_low_priority_then_a_high_priority_prompt_does_not_wait_for_them() {
    let mut backlog = Backlog::default();
    backlog.enqueue(1, 20_000.0, 4, 0);
    assert_eq!(backlog.estimate_wait(0, 0), 0);
    assert!(backlog.estimate_wait(4, 0) > 400_000_000);
    backlog.remove(1, true, 500 * MS);
    assert_eq!(backlog.estimate_wait(4, 1_000 * MS), 0);
    // A prompt whose removal is never reported expires.
    backlog.enqueue(2, 20_000.0, 4, 1_000 * MS);
    assert_eq!(backlog.estimate_wait(4, 30_000 * MS), 0);
}
