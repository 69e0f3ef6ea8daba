//! Tests that the audit reports each rule violation, and nothing for correct runs.
use sparrouter_fleet_lab::audit::violations;
use sparrouter_fleet_lab::ledger::{
    Attempt, Ledger, Order, RequestKind, Response, Run, Version, body_of, event_of, seal_of,
};
use std::time::Duration;
use tokio::time::Instant;

const EVENTS: u64 = 3;

/// Creates one machine without a process.
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

/// Creates a ledger with one attempt, whose id is `a`, and its runs.
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
        "expected only a violation of {rule}: {violations:?}"
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
fn given_a_stream_with_events_of_another_run_when_audited_then_order_is_reported() {
    let response = complete_response(0, &(events(0, 1, 2) + &events(7, 3, 3)));
    let ledger = ledger(
        attempt(RequestKind::Streaming, "/notice/1", Some(response)),
        vec![run("a", "/notice/1", 0)],
    );
    assert_reported(&ledger, "ORDER");
}

#[test]
fn given_a_truncated_stream_with_a_regular_end_when_audited_then_order_is_reported() {
    let response = complete_response(0, &events(0, 1, 2));
    let ledger = ledger(
        attempt(RequestKind::Streaming, "/notice/1", Some(response)),
        vec![run("a", "/notice/1", 0)],
    );
    assert_reported(&ledger, "ORDER");
}

#[test]
fn given_a_second_run_of_a_non_idempotent_request_when_audited_then_twice_is_reported() {
    let response = complete_response(0, &body_of(0));
    let runs = vec![run("a", "/assign/1", 0), run("a", "/assign/1", 0)];
    let ledger = ledger(
        attempt(RequestKind::NonIdempotent, "/assign/1", Some(response)),
        runs,
    );
    assert_reported(&ledger, "TWICE");
}

#[test]
fn given_a_503_for_an_executed_request_when_audited_then_refused_is_reported() {
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
fn given_a_success_without_a_seal_when_audited_then_mixed_is_reported() {
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
fn given_a_connection_closed_without_a_fault_when_audited_then_lost_is_reported() {
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
fn given_a_connection_closed_by_a_server_crash_when_audited_then_nothing_is_reported() {
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

/// Adds configuration versions, given as number, seconds since sending and seconds since acknowledgement.
fn add_versions(ledger: &Ledger, timings: &[(u64, u64, Option<u64>)]) {
    let ago = |s: u64| Instant::now() - Duration::from_secs(s);
    let version = |v: &(u64, u64, Option<u64>)| Version {
        number: v.0,
        sent: ago(v.1),
        acknowledged: v.2.map(ago),
    };
    ledger
        .versions
        .borrow_mut()
        .extend(timings.iter().map(version));
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
fn given_a_404_for_a_permanent_route_when_audited_then_config_is_reported() {
    assert_reported(
        &ledger(
            attempt(RequestKind::Streaming, "/notice/1", Some(denied())),
            vec![],
        ),
        "CONFIG",
    );
}

#[test]
fn given_a_404_for_an_added_route_when_audited_then_config_is_reported_only_after_the_apply_time() {
    let new_ledger = || {
        ledger(
            attempt(RequestKind::Streaming, "/extra-2/look", Some(denied())),
            vec![],
        )
    };
    let late_ledger = new_ledger();
    add_versions(&late_ledger, &[(2, 10, Some(9))]);
    assert_reported(&late_ledger, "CONFIG");
    for early_timings in [
        &[(2, 10, Some(1))][..],
        &[(2, 10, None)],
        &[(2, 10, Some(9)), (3, 1, None)],
        &[],
    ] {
        let early_ledger = new_ledger();
        add_versions(&early_ledger, early_timings);
        assert_eq!(
            violations(&early_ledger, &machines(), EVENTS),
            Vec::<String>::new(),
            "{early_timings:?}"
        );
    }
}

#[test]
fn given_a_run_on_a_removed_route_when_audited_then_config_is_reported_only_after_the_apply_time() {
    let response = || Some(complete_response(0, &events(0, 1, 3)));
    let path = "/extra-2/look";
    let new_ledger = || {
        ledger(
            attempt(RequestKind::Streaming, path, response()),
            vec![run("a", path, 0)],
        )
    };
    for invalid_timings in [&[(2, 10, Some(9)), (3, 8, Some(7))][..], &[]] {
        let late_ledger = new_ledger();
        add_versions(&late_ledger, invalid_timings);
        assert_reported(&late_ledger, "CONFIG");
    }
    for valid_timings in [
        &[(2, 10, Some(9))][..],
        &[(2, 10, None)],
        &[(2, 10, Some(9)), (3, 8, Some(1))],
    ] {
        let valid_ledger = new_ledger();
        add_versions(&valid_ledger, valid_timings);
        assert_eq!(
            violations(&valid_ledger, &machines(), EVENTS),
            Vec::<String>::new(),
            "{valid_timings:?}"
        );
    }
}

#[test]
fn given_a_run_that_starts_after_the_drain_timeout_when_audited_then_drain_is_reported() {
    let response = complete_response(0, &body_of(0));
    let late_run = Run {
        began_at: Instant::now() + Duration::from_secs(3),
        ..run("a", "/swap/1", 0)
    };
    let ledger = ledger(
        attempt(RequestKind::Idempotent, "/swap/1", Some(response)),
        vec![late_run],
    );
    ledger
        .drains
        .borrow_mut()
        .insert("i-1".into(), Instant::now());
    assert_reported(&ledger, "DRAIN");
}

#[test]
fn given_a_late_run_on_old_weights_when_audited_then_version_is_reported() {
    let response = complete_response(0, &body_of(0));
    let late_run = Run {
        began_at: Instant::now() + Duration::from_secs(9),
        ..run("a", "/swap/1", 0)
    };
    let ledger = ledger(
        attempt(RequestKind::Idempotent, "/swap/1", Some(response)),
        vec![late_run],
    );
    ledger.named.borrow_mut().push((2, Instant::now()));
    assert_reported(&ledger, "VERSION");
}

#[test]
fn given_two_holders_of_a_fencing_token_or_a_lower_token_when_audited_then_one_is_reported() {
    let ledger = Ledger::default();
    let order = |holder: &str, token| Order {
        instance: "i-1".into(),
        lease_holder: holder.into(),
        fencing_token: token,
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
