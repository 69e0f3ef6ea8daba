//! The audit reports each violation of a rule, and nothing else.
use sparrouter_fleet_lab::audit::violations;
use sparrouter_fleet_lab::ledger::{
    Attempt, Ledger, Order, RequestKind, Response, Run, Version, body_of, event_of, seal_of,
};
use std::time::Duration;
use tokio::time::Instant;

const EVENTS: u64 = 3;

/// Machines of a lab; they need no process here.
fn machines() -> Vec<std::rc::Rc<sparrouter_fleet_lab::machine::Machine>> {
    let directory = tempfile::tempdir().expect("a directory");
    let addresses = sparrouter_fleet_lab::addresses::Addresses::find(1, &mut fastrand::Rng::new())
        .expect("free ports");
    let program = std::path::Path::new("none");
    let machine = sparrouter_fleet_lab::machine::Machine::new(
        0,
        true,
        1,
        addresses,
        directory.path(),
        program,
        Duration::from_secs(8),
    );
    vec![std::rc::Rc::new(machine.expect("settings are written"))]
}

fn attempt(kind: RequestKind, path: &str, response: Option<Response>) -> Attempt {
    let sent = Instant::now();
    Attempt {
        kind,
        path: path.into(),
        body: "b".into(),
        node: 0,
        sent,
        response,
    }
}

fn run(id: &str, path: &str, resumed: u64) -> Run {
    let (instance, body) = ("i-1".to_owned(), "b".to_owned());
    Run {
        id: id.into(),
        instance,
        path: path.into(),
        body,
        began_at: Instant::now(),
        version: 1,
        resumed,
    }
}

fn complete_response(run: usize, body: &str) -> Response {
    Response {
        ended_at: Some(Instant::now()),
        status: 200,
        seal: seal_of(run),
        id: "a".into(),
        body: body.into(),
        is_complete: true,
        ..Response::default()
    }
}

/// A ledger with one attempt and its runs.
fn ledger(attempt: Attempt, runs: Vec<Run>) -> Ledger {
    let ledger = Ledger::default();
    ledger.attempts.borrow_mut().insert("a".into(), attempt);
    runs.into_iter().for_each(|r| {
        ledger.record_run(r);
    });
    ledger
}

#[track_caller]
fn assert_reported(ledger: &Ledger, rule: &str) {
    let violations = violations(ledger, &machines(), EVENTS);
    assert!(
        violations.len() == 1 && violations[0].starts_with(rule),
        "{rule} alone: {violations:?}"
    );
}

fn events(run: usize, from: u64, to: u64) -> String {
    (from..=to).map(|e| event_of(run, e)).collect()
}

#[test]
fn given_a_complete_stream_when_audited_then_nothing_is_reported() {
    let response = complete_response(0, &events(0, 1, 3));
    let ledger = ledger(
        attempt(RequestKind::Streaming, "/notice/1", Some(response)),
        vec![run("a", "/notice/1", 0)],
    );
    assert_eq!(
        violations(&ledger, &machines(), EVENTS),
        Vec::<String>::new()
    );
}

#[test]
fn given_a_stream_resumed_at_another_server_when_audited_then_nothing_is_reported() {
    let response = complete_response(0, &(events(0, 1, 2) + &events(1, 3, 3)));
    let runs = vec![run("a", "/audit/1", 0), run("a", "/audit/1", 2)];
    let ledger = ledger(
        attempt(RequestKind::Resumable, "/audit/1", Some(response)),
        runs,
    );
    assert_eq!(
        violations(&ledger, &machines(), EVENTS),
        Vec::<String>::new()
    );
}

#[test]
fn given_pieces_of_another_run_when_audited_then_order_is_reported() {
    let response = complete_response(0, &(events(0, 1, 2) + &events(7, 3, 3)));
    let ledger = ledger(
        attempt(RequestKind::Streaming, "/notice/1", Some(response)),
        vec![run("a", "/notice/1", 0)],
    );
    assert_reported(&ledger, "ORDER");
}

#[test]
fn given_a_short_stream_that_looks_complete_when_audited_then_order_is_reported() {
    let response = complete_response(0, &events(0, 1, 2));
    let ledger = ledger(
        attempt(RequestKind::Streaming, "/notice/1", Some(response)),
        vec![run("a", "/notice/1", 0)],
    );
    assert_reported(&ledger, "ORDER");
}

#[test]
fn given_a_second_run_of_a_write_when_audited_then_twice_is_reported() {
    let response = complete_response(0, &body_of(0));
    let runs = vec![run("a", "/assign/1", 0), run("a", "/assign/1", 0)];
    let ledger = ledger(
        attempt(RequestKind::NonIdempotent, "/assign/1", Some(response)),
        runs,
    );
    assert_reported(&ledger, "TWICE");
}

#[test]
fn given_a_not_executed_answer_and_a_run_when_audited_then_refused_is_reported() {
    let response = Response {
        ended_at: Some(Instant::now()),
        status: 503,
        is_complete: true,
        ..Response::default()
    };
    let ledger = ledger(
        attempt(RequestKind::NonIdempotent, "/assign/1", Some(response)),
        vec![run("a", "/assign/1", 0)],
    );
    assert_reported(&ledger, "REFUSED");
}

#[test]
fn given_a_success_without_its_seal_when_audited_then_mixed_is_reported() {
    let response = Response {
        seal: String::new(),
        ..complete_response(0, &body_of(0))
    };
    let ledger = ledger(
        attempt(RequestKind::Idempotent, "/swap/1", Some(response)),
        vec![run("a", "/swap/1", 0)],
    );
    assert_reported(&ledger, "MIXED");
}

#[test]
fn given_a_run_without_a_request_when_audited_then_unasked_is_reported() {
    let ledger = Ledger::default();
    ledger.record_run(run("b", "/swap/1", 0));
    assert_reported(&ledger, "UNASKED");
}

#[test]
fn given_a_connection_that_ended_without_a_fault_when_audited_then_lost_is_reported() {
    let response = Response {
        ended_at: Some(Instant::now()),
        ..Response::default()
    };
    let ledger = ledger(
        attempt(RequestKind::Streaming, "/notice/1", Some(response)),
        vec![],
    );
    assert_reported(&ledger, "LOST");
}

#[test]
fn given_a_connection_that_ended_with_its_server_when_audited_then_nothing_is_reported() {
    let response = Response {
        ended_at: Some(Instant::now()),
        ..Response::default()
    };
    let ledger = ledger(
        attempt(RequestKind::Streaming, "/notice/1", Some(response)),
        vec![run("a", "/notice/1", 0)],
    );
    ledger.crashed.borrow_mut().insert("i-1".into());
    assert_eq!(
        violations(&ledger, &machines(), EVENTS),
        Vec::<String>::new()
    );
}

/// Versions with what was sent and acknowledged so many seconds before now.
fn versions(ledger: &Ledger, of: &[(u64, u64, Option<u64>)]) {
    let ago = |s: u64| Instant::now() - Duration::from_secs(s);
    let version = |v: &(u64, u64, Option<u64>)| Version {
        number: v.0,
        sent: ago(v.1),
        acknowledged: v.2.map(ago),
    };
    ledger.versions.borrow_mut().extend(of.iter().map(version));
}

fn denied() -> Response {
    Response {
        ended_at: Some(Instant::now()),
        status: 404,
        is_complete: true,
        ..Response::default()
    }
}

#[test]
fn given_a_permanent_route_when_denied_then_config_is_reported() {
    assert_reported(
        &ledger(
            attempt(RequestKind::Streaming, "/notice/1", Some(denied())),
            vec![],
        ),
        "CONFIG",
    );
}

#[test]
fn given_an_added_route_when_denied_then_config_is_reported_only_long_after() {
    let of = || {
        ledger(
            attempt(RequestKind::Streaming, "/extra-2/look", Some(denied())),
            vec![],
        )
    };
    let long = of();
    versions(&long, &[(2, 10, Some(9))]);
    assert_reported(&long, "CONFIG");
    for early in [
        &[(2, 10, Some(1))][..],
        &[(2, 10, None)],
        &[(2, 10, Some(9)), (3, 1, None)],
        &[],
    ] {
        let early_of = of();
        versions(&early_of, early);
        assert_eq!(
            violations(&early_of, &machines(), EVENTS),
            Vec::<String>::new(),
            "{early:?}"
        );
    }
}

#[test]
fn given_a_removed_route_when_it_still_runs_then_config_is_reported_only_long_after() {
    let response = || Some(complete_response(0, &events(0, 1, 3)));
    let path = "/extra-2/look";
    let of = || {
        ledger(
            attempt(RequestKind::Streaming, path, response()),
            vec![run("a", path, 0)],
        )
    };
    for broken_by in [&[(2, 10, Some(9)), (3, 8, Some(7))][..], &[]] {
        let late = of();
        versions(&late, broken_by);
        assert_reported(&late, "CONFIG");
    }
    for fine in [
        &[(2, 10, Some(9))][..],
        &[(2, 10, None)],
        &[(2, 10, Some(9)), (3, 8, Some(1))],
    ] {
        let fine_of = of();
        versions(&fine_of, fine);
        assert_eq!(
            violations(&fine_of, &machines(), EVENTS),
            Vec::<String>::new(),
            "{fine:?}"
        );
    }
}

#[test]
fn given_a_drained_server_when_a_run_begins_late_then_drain_is_reported() {
    let response = complete_response(0, &body_of(0));
    let late = Run {
        began_at: Instant::now() + Duration::from_secs(3),
        ..run("a", "/swap/1", 0)
    };
    let ledger = ledger(
        attempt(RequestKind::Idempotent, "/swap/1", Some(response)),
        vec![late],
    );
    ledger
        .drains
        .borrow_mut()
        .insert("i-1".into(), Instant::now());
    assert_reported(&ledger, "DRAIN");
}

#[test]
fn given_new_weights_when_a_run_begins_on_old_ones_late_then_version_is_reported() {
    let response = complete_response(0, &body_of(0));
    let late = Run {
        began_at: Instant::now() + Duration::from_secs(9),
        ..run("a", "/swap/1", 0)
    };
    let ledger = ledger(
        attempt(RequestKind::Idempotent, "/swap/1", Some(response)),
        vec![late],
    );
    ledger.named.borrow_mut().push((2, Instant::now()));
    assert_reported(&ledger, "VERSION");
}

#[test]
fn given_two_holders_under_one_fence_when_audited_then_one_is_reported() {
    let ledger = Ledger::default();
    let order = |holder: &str, fence| Order {
        instance: "i-1".into(),
        lease_holder: holder.into(),
        fencing_token: fence,
        version: 2,
        loads: false,
    };
    ledger
        .orders
        .borrow_mut()
        .extend([order("n1", 4), order("n2", 4)]);
    assert_reported(&ledger, "ONE");
    ledger.orders.borrow_mut().clear();
    ledger
        .orders
        .borrow_mut()
        .extend([order("n1", 4), order("n2", 3)]);
    assert_reported(&ledger, "ONE");
}
