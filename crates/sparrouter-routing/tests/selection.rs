//! The election, bounded load, the fallback, the retry budget and the backlog.
use fastrand::Rng;
use sparrouter_membership::{LifecycleState, MembershipTable, ServerDirective, ServerRecord};
use sparrouter_routing::{
    Backlog, EJECTION_PERIOD, OutdatedVersionLimits, Prompt, RequestOutcome, RetryBudget,
    RetryBudgetSettings, SelectionError, SelectionRequest, ServerTable, TypicalOutput,
};

const SECOND: u64 = 1_000_000_000;

fn server_table(servers: usize) -> (ServerTable, MembershipTable) {
    let mut rows = MembershipTable::new(1, 60 * SECOND, 1_000);
    for i in 0..servers {
        let row = ServerRecord {
            id: format!("i-{i}"),
            service: "s".into(),
            address: format!("10.0.0.{i}:80"),
            call_sequence: 1,
            ..ServerRecord::default()
        };
        rows.merge_server(row, 0);
    }
    let mut server_table = ServerTable::new(
        OutdatedVersionLimits::per_stretch_only(6 * SECOND),
        Rng::with_seed(1),
    );
    server_table.sync(&rows, 0);
    (server_table, rows)
}

fn ask(key: u64, tried: &[usize]) -> SelectionRequest<'_> {
    SelectionRequest {
        service: "s",
        key,
        model: None,
        is_long_generation: false,
        attempted: tried,
    }
}

#[test]
fn given_the_same_servers_when_two_nodes_choose_then_they_agree() {
    let ((a, _), (b, _)) = (server_table(9), server_table(9));
    for key in 0..500 {
        let id = |server_table: &ServerTable| {
            server_table
                .get(server_table.select(&ask(key, &[]), 0).unwrap().server)
                .unwrap()
                .id
                .clone()
        };
        assert_eq!(id(&a), id(&b));
    }
}

#[test]
fn given_a_server_over_its_load_bound_when_its_key_comes_then_the_next_in_order_takes_it() {
    let (mut server_table, _) = server_table(4);
    let winner = server_table.select(&ask(1, &[]), 0).unwrap().server;
    let next = server_table.select(&ask(1, &[winner]), 0).unwrap().server;
    // A floor of two: the third is still taken.
    for _ in 0..3 {
        assert_eq!(server_table.select(&ask(1, &[]), 0).unwrap().server, winner);
        server_table.start_request(winner, 10);
    }
    (0..4).filter(|&i| i != winner).for_each(|i| {
        server_table.start_request(i, 10);
        server_table.finish_request(i, 10, RequestOutcome::Answered, 0);
    });
    assert_eq!(server_table.select(&ask(1, &[]), 0).unwrap().server, next);
    server_table.finish_request(winner, 10, RequestOutcome::Answered, 0);
    assert_eq!(server_table.select(&ask(1, &[]), 0).unwrap().server, winner);
}

#[test]
fn given_a_draining_or_gone_server_then_nothing_new_goes_there() {
    let (mut server_table, mut rows) = server_table(2);
    let first = server_table.select(&ask(5, &[]), 0).unwrap().server;
    let id = server_table.get(first).unwrap().id.clone();
    let row = rows.server(&id).unwrap().clone();
    rows.merge_server(
        ServerRecord {
            state: LifecycleState::Draining,
            call_sequence: 2,
            ..row
        },
        0,
    );
    server_table.sync(&rows, 0);
    assert_ne!(server_table.select(&ask(5, &[]), 0).unwrap().server, first);
    let other = server_table.get(1 - first).unwrap().id.clone();
    rows.mark_server_left(&other, 0);
    server_table.sync(&rows, 0);
    assert_eq!(
        server_table.select(&ask(5, &[]), 0),
        Err(SelectionError::NoServer)
    );
}

#[test]
fn given_an_unreachable_server_when_a_probe_connects_then_it_is_used_again_at_once() {
    let (mut server_table, _) = server_table(2);
    let first = server_table.select(&ask(5, &[]), 0).unwrap().server;
    server_table.start_request(first, 0);
    server_table.finish_request(first, 0, RequestOutcome::Unreachable, 0);
    assert_ne!(server_table.select(&ask(5, &[]), 1).unwrap().server, first);
    assert!(server_table.due_health_checks(SECOND).contains(&first));
    server_table.mark_reachable(first);
    assert_eq!(server_table.select(&ask(5, &[]), 1).unwrap().server, first);
}

#[test]
fn given_a_request_that_breaks_every_connection_then_no_server_is_suspected() {
    let (mut server_table, _) = server_table(3);
    for ix in 0..3 {
        server_table.start_request(ix, 0);
        server_table.finish_request(ix, 0, RequestOutcome::Broke, 0);
        server_table.start_request(ix, 0);
        server_table.finish_request(ix, 0, RequestOutcome::Declined, 0);
    }
    assert!(server_table.iter().all(|(_, s)| !s.is_suspected()));
    assert!(server_table.select(&ask(1, &[]), 0).is_ok());
}

/// Every window of the terms' length, wherever it falls.
#[test]
fn given_many_nodes_that_spend_all_they_may_then_no_window_holds_more_than_the_budget() {
    let terms = RetryBudgetSettings {
        ratio: 0.2,
        slack: 64.0,
        window: 10 * SECOND,
    };
    let mut rng = Rng::with_seed(3);
    let nodes = 12;
    let mut budgets: Vec<RetryBudget> = (0..nodes).map(|_| RetryBudget::new(terms, 0, 0)).collect();
    let (mut asked, mut spent) = (Vec::new(), Vec::new());
    let mut now = 0;
    while now < 60 * SECOND {
        now += rng.u64(..SECOND / 50);
        let node = rng.usize(..nodes);
        if rng.bool() {
            budgets[node].record_request(now);
            asked.push(now);
        }
        if budgets[node].try_acquire(nodes, now) {
            spent.push(now);
        }
    }
    assert!(spent.len() > 300, "{}", spent.len());
    for from in (0..50 * SECOND).step_by((SECOND / 7) as usize) {
        let within = |all: &[u64]| {
            all.iter()
                .filter(|&&t| (from..from + terms.window).contains(&t))
                .count() as f64
        };
        let allowed = terms.ratio * within(&asked) + terms.slack;
        assert!(
            within(&spent) <= allowed,
            "{} of {allowed} from {from}",
            within(&spent)
        );
    }
}

#[test]
fn given_a_restarted_process_then_it_gets_no_second_retry_slack() {
    let terms = RetryBudgetSettings {
        ratio: 0.2,
        slack: 64.0,
        window: 10 * SECOND,
    };
    let mut budget = RetryBudget::new(terms, 0, 0);
    assert!(!budget.try_acquire(1, SECOND));
    assert!(budget.try_acquire(1, 11 * SECOND));
}

#[test]
fn given_waiting_large_prompts_when_a_small_one_comes_then_it_does_not_wait_for_them() {
    let mut backlog = Backlog::default();
    backlog.enqueue(1, 20_000.0, 4, 0);
    assert_eq!(backlog.estimate_wait(0, 0), 0);
    assert!(backlog.estimate_wait(4, 0) > 400_000_000);
    backlog.remove(1, true, SECOND / 2);
    assert_eq!(backlog.estimate_wait(4, SECOND), 0);
    // A prompt that is never reported over does not count for ever.
    backlog.enqueue(2, 20_000.0, 4, SECOND);
    assert_eq!(backlog.estimate_wait(4, 30 * SECOND), 0);
}

#[test]
fn given_a_prompt_then_its_key_is_the_deepest_shared_part_with_its_salt() {
    let a = Prompt::read(Some("aa:10,bb:20,c1:5"), Some("35,7"));
    let b = Prompt::read(Some("aa:10,bb:20,c2:9"), Some("39,7"));
    assert_eq!(a.key("m/"), b.key("m/"));
    assert_ne!(a.key("m/"), a.key("m/tenant"));
    assert_eq!(
        (a.tokens_in, a.tokens_out, a.shared_blocks().len()),
        (35, 7, 2)
    );
    assert_eq!(Prompt::read(Some("junk,,x:y"), None).key(""), None);
}

/// Tells the table of servers that fail requests which others would serve.
fn avoid(server_table: &mut ServerTable, rows: &mut MembershipTable, servers: &[usize], now: u64) {
    for &server in servers {
        let id = server_table.get(server).unwrap().id.clone();
        let note = ServerDirective {
            key: format!("avoid/{id}/"),
            sequence: now + 1,
            withdrawn: true,
            ..ServerDirective::default()
        };
        rows.merge_directive(note, now);
    }
    server_table.sync(rows, now);
}

#[test]
fn given_a_server_that_fails_requests_when_its_key_comes_then_others_come_first_for_a_while() {
    let (mut server_table, mut rows) = server_table(4);
    let winner = server_table.select(&ask(1, &[]), 0).unwrap().server;
    let next = server_table.select(&ask(1, &[winner]), 0).unwrap().server;
    avoid(&mut server_table, &mut rows, &[winner], SECOND);
    let chosen = |server_table: &ServerTable, at: u64| server_table.select(&ask(1, &[]), at);
    assert_eq!(chosen(&server_table, 2 * SECOND).unwrap().server, next);
    // It is still the last resort.
    let others: Vec<usize> = (0..4).filter(|ix| *ix != winner).collect();
    let last = server_table.select(&ask(1, &others), 2 * SECOND).unwrap();
    assert_eq!(last.server, winner);
    let over = SECOND + EJECTION_PERIOD;
    assert_eq!(chosen(&server_table, over).unwrap().server, winner);
}

#[test]
fn given_half_of_the_servers_failing_requests_then_the_choice_is_as_without() {
    let (mut server_table, mut rows) = server_table(4);
    let winner = server_table.select(&ask(1, &[]), 0).unwrap().server;
    let other = (winner + 1) % 4;
    avoid(&mut server_table, &mut rows, &[winner, other], SECOND);
    let chosen = server_table.select(&ask(1, &[]), 2 * SECOND).unwrap();
    assert_eq!((chosen.server, chosen.rank), (winner, 0));
}

#[test]
fn given_requests_of_two_kinds_then_those_that_generate_more_than_usual_are_long() {
    let mut usual = TypicalOutput::default();
    for n in 0..200 {
        let tokens = if n % 2 == 0 { 205 } else { 780 };
        let is_long = usual.observe(tokens);
        // Nothing is known before the first requests of both kinds.
        assert!(n < 4 || is_long == (tokens == 780), "request {n}");
    }
    // Where all generate alike none is long.
    let mut alike = TypicalOutput::default();
    assert!((0..200).all(|_| !alike.observe(64)));
}
