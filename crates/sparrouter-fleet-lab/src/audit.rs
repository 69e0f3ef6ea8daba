//! Which rules of the fleet were broken, from the ledger alone.
use crate::engine::DRAIN_TIMEOUT;
use crate::ledger::{Attempt, Ended, Ledger, Run, body_of, event_of, seal_of};
use crate::machine::Machine;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// After the end of one node's trouble its requests may still come to nothing for so long.
const AFTER: Duration = Duration::from_secs(3);
/// The default of `bounds.config_apply_ms`.
const APPLIES: Duration = Duration::from_secs(2);
/// The default of `bounds.version_ms`.
const VERSION: Duration = Duration::from_secs(8);
/// Told in full; the rest is counted.
const MOST: usize = 20;

/// Every rule that was broken, in words. `events`: of a whole stream.
pub fn broken(ledger: &Ledger, machines: &[Rc<Machine>], events: u64) -> Vec<String> {
    let attempts = ledger.attempts.borrow();
    let runs = ledger.runs.borrow();
    let mut by_attempt: HashMap<&str, Vec<usize>> = HashMap::new();
    let mut found = ledger.breaches.borrow().clone();
    for (n, run) in runs.iter().enumerate() {
        by_attempt.entry(&run.id).or_default().push(n);
        match attempts.get(&run.id) {
            None => {
                found.push(format!(
                    "UNASKED: {} ran {}, which no client sent",
                    run.instance, run.id
                ));
            }
            Some(a) if (&a.path, &a.body) != (&run.path, &run.body) => {
                found.push(format!("UNASKED: {} was changed on its way", run.id));
            }
            Some(_) => {}
        }
        drain(ledger, run, &mut found);
        let named = ledger.named.borrow();
        let late = named
            .iter()
            .filter(|(v, at)| run.version < *v && run.at > *at + VERSION);
        found.extend(late.map(|(v, _)| {
            format!(
                "VERSION: {} began on {} at {}, {v} is named",
                run.id, run.version, run.instance
            )
        }));
    }
    for (id, attempt) in attempts.iter() {
        let own = by_attempt.get(id.as_str()).map_or(&[][..], Vec::as_slice);
        one(ledger, machines, events, id, attempt, own, &mut found);
    }
    orders(ledger, &mut found);
    found.sort();
    let more = found.len().saturating_sub(MOST);
    found.truncate(MOST);
    if more > 0 {
        found.push(format!("and {more} more"));
    }
    found
}

fn drain(ledger: &Ledger, run: &Run, found: &mut Vec<String>) {
    if let Some(at) = ledger.drains.borrow().get(&run.instance)
        && run.at > *at + DRAIN_TIMEOUT
    {
        let late = run.at - *at;
        found.push(format!(
            "DRAIN: {} began at {} {late:?} after it was to drain",
            run.id, run.instance
        ));
    }
}

fn one(
    ledger: &Ledger,
    machines: &[Rc<Machine>],
    events: u64,
    id: &str,
    attempt: &Attempt,
    own: &[usize],
    found: &mut Vec<String>,
) {
    let runs = ledger.runs.borrow();
    if own.len() > 1 && !attempt.kind.repeatable() {
        found.push(format!(
            "TWICE: {id} of {} ran {} times",
            attempt.path,
            own.len()
        ));
    }
    let Some(ended) = &attempt.ended else {
        // The lab ended before its client did.
        return;
    };
    if let Some(bad) = &ended.bad {
        found.push(format!("MIXED: {id} got bytes that are no answer: {bad}"));
    }
    if ended.status != 0 && !ended.id.is_empty() && ended.id != id {
        found.push(format!("MIXED: {id} got the answer of {}", ended.id));
    }
    match ended.status {
        200..=299 => success(events, id, ended, own, &runs, found),
        408 | 421 | 429 | 503 if !own.is_empty() && !attempt.kind.repeatable() => {
            found.push(format!("REFUSED: {id} got {} and ran", ended.status));
        }
        _ => {}
    }
    let until = ended.at.unwrap_or(attempt.sent);
    let troubles = machines[attempt.node].troubles.borrow();
    if troubles
        .iter()
        .all(|at| *at + AFTER < attempt.sent || *at > until)
    {
        config(ledger, id, attempt, ended, !own.is_empty(), found);
    }
    let excused = troubles
        .iter()
        .any(|at| *at + AFTER >= attempt.sent && *at <= until)
        || own
            .iter()
            .any(|n| ledger.crashed.borrow().contains(&runs[*n].instance));
    if !ended.whole && !ended.abandoned && !excused {
        let held = until - attempt.sent;
        found.push(format!(
            "LOST: {id} of {} at {} ended after {held:?} without a whole answer (status {}, {} runs)",
            attempt.path,
            machines[attempt.node].name,
            ended.status,
            own.len()
        ));
    }
}

/// What only an older version allows, long after a newer one was acknowledged; or a newer one than was ever sent.
fn config(
    ledger: &Ledger,
    id: &str,
    attempt: &Attempt,
    ended: &Ended,
    ran: bool,
    found: &mut Vec<String>,
) {
    let until = ended.at.unwrap_or(attempt.sent);
    let extra = attempt
        .path
        .strip_prefix("/extra-")
        .and_then(|p| p.split('/').next()?.parse::<u64>().ok());
    let in_force = |number: u64| {
        let at = ledger.version(number).and_then(|v| v.acknowledged);
        at.is_some_and(|at| at + APPLIES < attempt.sent)
    };
    let sent = |number: u64| ledger.version(number).is_some_and(|v| v.sent <= until);
    let denied = matches!(ended.status, 401 | 403 | 404);
    let (must_be, may_be) = match extra {
        None => (true, true),
        Some(n) => (in_force(n) && !sent(n + 1), sent(n) && !in_force(n + 1)),
    };
    if denied && must_be {
        found.push(format!(
            "CONFIG: {id} of {} got {}",
            attempt.path, ended.status
        ));
    }
    if ran && !may_be {
        found.push(format!(
            "CONFIG: {id} ran on {}, which is gone",
            attempt.path
        ));
    }
}

fn success(
    events: u64,
    id: &str,
    ended: &Ended,
    own: &[usize],
    runs: &[Run],
    found: &mut Vec<String>,
) {
    let Some(first) = own.iter().copied().find(|n| seal_of(*n) == ended.seal) else {
        found.push(format!(
            "MIXED: {id} got a success under the seal {:?}",
            ended.seal
        ));
        return;
    };
    if !crate::engine::kind_of(&runs[first].path).streams() {
        if ended.whole && ended.body != body_of(first) {
            found.push(format!("MIXED: {id} got another body than its run made"));
        }
        return;
    }
    // Events rise by one; where the run changes, the next one was told to go on from there.
    let mut last = runs[first].resumed;
    let mut rest = ended.body.as_str();
    while let Some(end) = rest.find("\n\n") {
        let (event, behind) = rest.split_at(end + 2);
        let fits = |n: &&usize| event == event_of(**n, last + 1) && runs[**n].resumed <= last;
        if own.iter().find(fits).is_none() {
            found.push(format!("ORDER: {id} got {event:?} after event {last}"));
            return;
        }
        last += 1;
        rest = behind;
    }
    if ended.whole && (last != events || !rest.is_empty()) {
        found.push(format!(
            "ORDER: {id} looks complete after event {last} of {events}"
        ));
    }
}

fn orders(ledger: &Ledger, found: &mut Vec<String>) {
    let orders = ledger.orders.borrow();
    let mut holders: HashMap<(&str, u64), &str> = HashMap::new();
    let mut newest: HashMap<&str, u64> = HashMap::new();
    let mut loads = HashSet::new();
    for order in orders.iter() {
        let holder = holders
            .entry((&order.instance, order.fence))
            .or_insert(&order.holder);
        if *holder != order.holder {
            found.push(format!(
                "ONE: two holders order {} under {}",
                order.instance, order.fence
            ));
        }
        let known = newest.entry(&order.instance).or_default();
        if order.fence < *known {
            found.push(format!(
                "ONE: {} is ordered under {} after {known}",
                order.instance, order.fence
            ));
        }
        *known = (*known).max(order.fence);
        if order.loads && !loads.insert((&order.instance, order.version)) {
            found.push(format!(
                "ONE: {} loads version {} twice",
                order.instance, order.version
            ));
        }
    }
}

/// Whether everything that was asked has come to an end.
pub fn open(ledger: &Ledger) -> usize {
    ledger
        .attempts
        .borrow()
        .values()
        .filter(|a| a.ended.is_none())
        .count()
}

/// A moment, for messages: seconds since the run's own beginning.
pub fn at(began: Instant, moment: Instant) -> f64 {
    moment.saturating_duration_since(began).as_secs_f64()
}
