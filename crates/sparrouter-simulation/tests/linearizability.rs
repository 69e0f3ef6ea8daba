//! The checker of histories on histories whose verdict is known, and the model of the configuration's register.
use sparrouter_simulation::history::{History, OrderCall, Outcome, without_space};
use sparrouter_simulation::linearizability::{
    RecordedCall, Response, SequentialModel, Verdict, check,
};
use std::collections::BTreeSet;

const MAX_CONFIGURATIONS: usize = 1_000_000;

/// A register of one number with compare-and-set, as it stands in the literature.
struct Register;

#[derive(Clone, Copy, Debug)]
enum Operation {
    Read,
    Write(u8),
    CompareAndSet(u8, u8),
}
use Operation::{CompareAndSet, Read, Write};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reply {
    Value(u8),
    Done,
    Failed,
}
use Reply::{Done, Failed, Value};

impl SequentialModel for Register {
    type State = u8;
    type Call = Operation;
    type Outcome = Reply;

    fn initial(&self) -> u8 {
        0
    }

    fn apply(&self, state: &u8, call: &Operation, outcome: &Reply) -> Option<u8> {
        match (call, outcome) {
            (Read, Value(value)) => (value == state).then_some(*state),
            (Write(value), Done) => Some(*value),
            (CompareAndSet(from, to), Done) => (from == state).then_some(*to),
            (CompareAndSet(from, _), Failed) => (from != state).then_some(*state),
            _ => None,
        }
    }

    fn apply_unanswered(&self, state: &u8, call: &Operation) -> Option<u8> {
        match call {
            Read => None,
            Write(value) => Some(*value),
            CompareAndSet(from, to) => (from == state).then_some(*to),
        }
    }
}

type Recorded = RecordedCall<Operation, Reply>;

/// A call by the moments of its invocation and response.
fn call(invoked_at: usize, call: Operation, received_at: usize, outcome: Reply) -> Recorded {
    RecordedCall {
        call,
        invoked_at,
        response: Some(Response {
            received_at,
            outcome,
        }),
    }
}

fn unanswered(invoked_at: usize, call: Operation) -> Recorded {
    RecordedCall {
        call,
        invoked_at,
        response: None,
    }
}

fn is_linearizable(history: &[Recorded]) -> bool {
    match check(&Register, history, MAX_CONFIGURATIONS) {
        Verdict::Linearizable(order) => {
            assert_order(history, &order);
            true
        }
        Verdict::NotLinearizable { .. } => false,
        Verdict::Undecided => panic!("undecided"),
    }
}

/// The order that was found is one: it holds every answered call, respects time and follows the model.
fn assert_order(history: &[Recorded], order: &[usize]) {
    let distinct: BTreeSet<&usize> = order.iter().collect();
    assert_eq!(distinct.len(), order.len());
    let answered = (0..history.len()).filter(|c| history[*c].response.is_some());
    assert!(answered.into_iter().all(|c| distinct.contains(&c)));
    let mut state = Register.initial();
    let mut latest_invocation = 0;
    for index in order {
        let recorded = &history[*index];
        latest_invocation = latest_invocation.max(recorded.invoked_at);
        let after = match &recorded.response {
            Some(response) => {
                assert!(response.received_at > latest_invocation, "{order:?}");
                Register.apply(&state, &recorded.call, &response.outcome)
            }
            None => Register.apply_unanswered(&state, &recorded.call),
        };
        state = after.expect("the model allows each step");
    }
}

#[test]
fn given_no_calls_or_only_unanswered_ones_when_checked_then_it_is_linearizable() {
    assert!(is_linearizable(&[]));
    assert!(is_linearizable(&[
        unanswered(0, Write(1)),
        unanswered(1, Read)
    ]));
}

#[test]
fn given_calls_one_after_the_other_when_checked_then_a_stale_read_is_found() {
    let mut history = vec![
        call(0, Write(1), 1, Done),
        call(2, Read, 3, Value(1)),
        call(4, Write(2), 5, Done),
        call(6, Read, 7, Value(2)),
    ];
    assert!(is_linearizable(&history));
    history[3] = call(6, Read, 7, Value(1));
    assert!(!is_linearizable(&history));
}

#[test]
fn given_a_read_beside_a_write_when_checked_then_it_may_see_either_value() {
    for (value, fits) in [(0, true), (1, true), (2, false)] {
        let history = [call(0, Write(1), 3, Done), call(1, Read, 2, Value(value))];
        assert_eq!(is_linearizable(&history), fits, "{value}");
    }
}

#[test]
fn given_two_reads_beside_a_write_when_the_later_one_sees_the_older_value_then_it_is_not_linearizable()
 {
    let history = |first, second| {
        [
            call(0, Write(1), 5, Done),
            call(1, Read, 2, Value(first)),
            call(3, Read, 4, Value(second)),
        ]
    };
    assert!(is_linearizable(&history(0, 1)));
    assert!(!is_linearizable(&history(1, 0)));
}

#[test]
fn given_two_compare_and_sets_from_one_value_when_both_are_done_then_it_is_not_linearizable() {
    let history = |second| {
        [
            call(0, CompareAndSet(0, 1), 2, Done),
            call(1, CompareAndSet(0, 2), 3, second),
        ]
    };
    assert!(is_linearizable(&history(Failed)));
    assert!(!is_linearizable(&history(Done)));
}

#[test]
fn given_an_unanswered_write_when_it_is_seen_late_or_never_then_it_is_linearizable_but_not_both_ways()
 {
    let history = |values: [u8; 3]| {
        let read = |n: usize| call(1 + 2 * n, Read, 2 + 2 * n, Value(values[n]));
        [unanswered(0, Write(1)), read(0), read(1), read(2)]
    };
    assert!(is_linearizable(&history([0, 0, 0])));
    assert!(is_linearizable(&history([0, 0, 1])));
    assert!(is_linearizable(&history([1, 1, 1])));
    assert!(!is_linearizable(&history([0, 1, 0])));
}

#[test]
fn given_an_unanswered_call_when_its_effect_is_seen_before_it_was_made_then_it_is_not_linearizable()
{
    let history = [call(0, Read, 1, Value(1)), unanswered(2, Write(1))];
    assert!(!is_linearizable(&history));
}

#[test]
fn given_a_failed_compare_and_set_when_nothing_stood_in_its_way_then_it_is_not_linearizable() {
    assert!(!is_linearizable(&[call(0, CompareAndSet(0, 1), 1, Failed)]));
    let beside = [
        call(0, CompareAndSet(0, 1), 3, Failed),
        call(1, Write(2), 2, Done),
    ];
    assert!(is_linearizable(&beside));
}

/// Lowe's trap for a search without memory: many writes at once, and a read that none of them explains.
#[test]
fn given_many_calls_at_once_when_none_explains_a_read_then_it_is_detected_within_bounds() {
    let writes = 14;
    let mut history: Vec<Recorded> = (0..writes)
        .map(|n| call(n, Write(1), 2 * writes + n, Done))
        .collect();
    history.push(call(writes, Read, writes + 1, Value(9)));
    assert!(!is_linearizable(&history));
    assert_eq!(check(&Register, &history, 10), Verdict::Undecided);
}

#[test]
fn given_a_long_history_when_checked_then_it_takes_one_configuration_a_call() {
    let calls: Vec<Recorded> = (0..4_000)
        .map(|n| {
            let (from, to) = ((n % 250) as u8, ((n + 1) % 250) as u8);
            call(2 * n, CompareAndSet(from, to), 2 * n + 1, Done)
        })
        .collect();
    assert!(matches!(
        check(&Register, &calls, calls.len()),
        Verdict::Linearizable(order) if order.len() == calls.len()
    ));
}

/// All histories that a sequential run may have made are linearizable; with one answer falsified most are not, and
/// never differs the verdict from that of trying every order.
#[test]
fn given_drawn_histories_when_checked_then_the_verdict_is_that_of_trying_every_order() {
    let (mut fits, mut breaks) = (0, 0);
    for seed in 0..3_000 {
        let history = from_seed(&mut fastrand::Rng::with_seed(seed));
        let expected = some_order_fits(&history, &mut Vec::new(), 0);
        assert_eq!(is_linearizable(&history), expected, "{seed}: {history:?}");
        *if expected { &mut fits } else { &mut breaks } += 1;
    }
    assert!(fits > 500 && breaks > 500, "{fits} {breaks}");
}

fn from_seed(rng: &mut fastrand::Rng) -> Vec<Recorded> {
    let calls = rng.usize(2..7);
    let mut moments: Vec<usize> = (0..2 * calls).collect();
    rng.shuffle(&mut moments);
    let each = moments.chunks(2).map(|two| {
        let (invoked, at) = (two[0].min(two[1]), two[0].max(two[1]));
        let (operation, outcome) = match rng.u8(..3) {
            0 => (Read, Value(rng.u8(..3))),
            1 => (Write(rng.u8(1..3)), Done),
            _ => (
                CompareAndSet(rng.u8(..3), rng.u8(..3)),
                if rng.bool() { Done } else { Failed },
            ),
        };
        match rng.u8(..5) {
            0 => unanswered(invoked, operation),
            _ => call(invoked, operation, at, outcome),
        }
    });
    each.collect()
}

fn some_order_fits(history: &[Recorded], order: &mut Vec<usize>, state: u8) -> bool {
    let left: Vec<usize> = (0..history.len()).filter(|c| !order.contains(c)).collect();
    if left.iter().all(|c| history[*c].response.is_none()) {
        return true;
    }
    let first_response = left
        .iter()
        .filter_map(|c| history[*c].response.as_ref().map(|r| r.received_at))
        .min();
    for next in &left {
        let recorded = &history[*next];
        if first_response.is_some_and(|at| recorded.invoked_at > at) {
            continue;
        }
        let after = match &recorded.response {
            Some(response) => Register.apply(&state, &recorded.call, &response.outcome),
            None => Register.apply_unanswered(&state, &recorded.call),
        };
        if let Some(after) = after {
            order.push(*next);
            if some_order_fits(history, order, after) {
                return true;
            }
            order.pop();
        }
    }
    false
}

fn order(base: u64, number: u64, note: &str) -> OrderCall {
    let document = format!("{{\"version\":{number},\"note\":\"{note}\"}}");
    OrderCall {
        base,
        number,
        request: format!("PUT {document}"),
        document,
        is_valid: true,
    }
}

/// Orders one after the other, and how each was answered.
fn history_of(calls: &[(OrderCall, Option<Outcome>)]) -> History {
    let mut history = History::default();
    for (order, outcome) in calls {
        let call = history.order_invoked(order.clone());
        if let Some(outcome) = outcome {
            history.answered(call, outcome.clone());
        }
    }
    history
}

fn read(history: &mut History, order: &OrderCall) {
    let call = history.read_invoked();
    history.answered(call, Outcome::Document(order.document.clone()));
}

const ACKNOWLEDGED: Option<Outcome> = Some(Outcome::Acknowledged);
const REJECTED: Option<Outcome> = Some(Outcome::Rejected);

#[test]
fn given_orders_as_they_should_be_answered_when_checked_then_nothing_speaks_against_it() {
    let mut history = history_of(&[
        (order(0, 3, "a"), ACKNOWLEDGED),
        (order(3, 5, "b"), None),
        (order(3, 5, "b"), ACKNOWLEDGED),
        (order(3, 5, "c"), REJECTED),
        (order(0, 3, "a"), ACKNOWLEDGED),
        (order(5, 6, "d"), None),
    ]);
    read(&mut history, &order(3, 5, "b"));
    read(&mut history, &order(5, 6, "d"));
    assert_eq!(history.violation(), None);
}

#[test]
fn given_orders_answered_wrongly_when_checked_then_each_is_found() {
    let first = (order(0, 3, "a"), ACKNOWLEDGED);
    let wrong = [
        // Two under one number.
        vec![
            (order(3, 5, "b"), ACKNOWLEDGED),
            (order(3, 5, "c"), ACKNOWLEDGED),
        ],
        // Two on one base.
        vec![
            (order(3, 5, "b"), ACKNOWLEDGED),
            (order(3, 6, "c"), ACKNOWLEDGED),
        ],
        // Rejected though it was accepted.
        vec![
            (order(3, 5, "b"), ACKNOWLEDGED),
            (order(3, 5, "b"), REJECTED),
        ],
        vec![
            (order(3, 5, "b"), ACKNOWLEDGED),
            (order(5, 7, "c"), ACKNOWLEDGED),
            (order(3, 5, "b"), REJECTED),
        ],
        // Rejected though nothing stood in its way.
        vec![(order(3, 5, "b"), REJECTED)],
        // Accepted on a base that was not in force.
        vec![(order(4, 5, "b"), ACKNOWLEDGED)],
        // Rejected, and what builds on it is accepted.
        vec![
            (order(3, 5, "b"), ACKNOWLEDGED),
            (order(3, 6, "c"), REJECTED),
            (order(6, 7, "d"), ACKNOWLEDGED),
        ],
    ];
    for orders in wrong {
        let mut all = vec![first.clone()];
        all.extend(orders);
        let history = history_of(&all);
        assert!(history.violation().is_some(), "{all:?}");
    }
}

#[test]
fn given_a_read_of_a_configuration_that_was_overtaken_or_rejected_when_checked_then_it_is_found() {
    for seen in [order(0, 3, "a"), order(3, 5, "c")] {
        let mut history = history_of(&[
            (order(0, 3, "a"), ACKNOWLEDGED),
            (order(3, 5, "b"), ACKNOWLEDGED),
            (order(3, 5, "c"), REJECTED),
        ]);
        read(&mut history, &seen);
        let violation = history.violation().unwrap_or_default();
        assert!(violation.contains("a read"), "{violation}");
    }
}

#[test]
fn given_an_invalid_order_when_it_is_acknowledged_then_it_is_found() {
    let invalid = OrderCall {
        is_valid: false,
        ..order(0, 3, "a")
    };
    assert!(
        history_of(&[(invalid.clone(), ACKNOWLEDGED)])
            .violation()
            .is_some()
    );
    assert_eq!(history_of(&[(invalid, REJECTED)]).violation(), None);
}

#[test]
fn given_bodies_that_differ_in_spaces_only_when_recorded_then_they_are_one_order() {
    let spaced = OrderCall {
        request: "PUT {\"version\": 3,\n \"note\":\"a\"}".to_owned(),
        ..order(0, 3, "a")
    };
    let history = history_of(&[(order(0, 3, "a"), ACKNOWLEDGED), (spaced, ACKNOWLEDGED)]);
    assert_eq!(history.violation(), None);
    assert_eq!(
        without_space("{ \"a b\" : \"c\\\" d\" }"),
        "{\"a b\":\"c\\\" d\"}"
    );
}
