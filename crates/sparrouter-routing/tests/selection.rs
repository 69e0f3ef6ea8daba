//! Server selection: rendezvous order, bounded load, fallback, health checks and ejection.
use fastrand::Rng;
use sparrouter_membership::{LifecycleState, MembershipTable, ServerDirective, ServerRecord};
use sparrouter_routing::{
    EJECTION_PERIOD, OutdatedVersionLimits, RequestOutcome, SelectionError, SelectionRequest,
    ServerHandle, ServerTable,
};

const SECOND: u64 = 1_000_000_000;

fn server_table(servers: usize) -> (ServerTable, MembershipTable) {
    let mut membership = MembershipTable::new(1, 60 * SECOND, 1_000);
    for i in 0..servers {
        let record = ServerRecord {
            id: format!("i-{i}"),
            service: "s".into(),
            address: format!("10.0.0.{i}:80"),
            call_sequence: 1,
            ..ServerRecord::default()
        };
        membership.merge_server(record, 0);
    }
    let mut server_table = ServerTable::new(
        OutdatedVersionLimits::per_stretch_only(6 * SECOND),
        Rng::with_seed(1),
    );
    server_table.sync(&membership, 0);
    (server_table, membership)
}

/// The handles of all servers.
fn handles(server_table: &ServerTable) -> Vec<ServerHandle> {
    server_table.iter().map(|(handle, _)| handle).collect()
}

fn request(key: u64, attempted: &[ServerHandle]) -> SelectionRequest<'_> {
    SelectionRequest {
        service: "s",
        key,
        model: None,
        is_long_generation: false,
        attempted,
    }
}

#[test]
fn given_the_same_servers_when_two_nodes_select_then_they_select_the_same_server() {
    let ((a, _), (b, _)) = (server_table(9), server_table(9));
    for key in 0..500 {
        let id = |server_table: &ServerTable| {
            server_table
                .get(server_table.select(&request(key, &[]), 0).unwrap().server)
                .unwrap()
                .id
                .clone()
        };
        assert_eq!(id(&a), id(&b));
    }
}

#[test]
fn given_a_server_over_its_load_bound_then_the_next_server_in_order_is_selected() {
    let (mut server_table, _) = server_table(4);
    let winner = server_table.select(&request(1, &[]), 0).unwrap().server;
    let next = server_table
        .select(&request(1, &[winner]), 0)
        .unwrap()
        .server;
    // The floor of the load bound is two in flight, so that a third request is still sent there.
    for _ in 0..3 {
        assert_eq!(
            server_table.select(&request(1, &[]), 0).unwrap().server,
            winner
        );
        server_table.start_request(winner);
    }
    let others = handles(&server_table);
    others.into_iter().filter(|&i| i != winner).for_each(|i| {
        server_table.start_request(i);
        server_table.finish_request(i, RequestOutcome::Answered, 0);
    });
    assert_eq!(
        server_table.select(&request(1, &[]), 0).unwrap().server,
        next
    );
    server_table.finish_request(winner, RequestOutcome::Answered, 0);
    assert_eq!(
        server_table.select(&request(1, &[]), 0).unwrap().server,
        winner
    );
}

#[test]
fn given_a_server_that_is_draining_or_has_left_then_it_is_not_selected() {
    let (mut server_table, mut membership) = server_table(2);
    let preferred = server_table.select(&request(5, &[]), 0).unwrap().server;
    let id = server_table.get(preferred).unwrap().id.clone();
    let record = membership.server(&id).unwrap().clone();
    membership.merge_server(
        ServerRecord {
            state: LifecycleState::Draining,
            call_sequence: 2,
            ..record
        },
        0,
    );
    server_table.sync(&membership, 0);
    assert_ne!(
        server_table.select(&request(5, &[]), 0).unwrap().server,
        preferred
    );
    let mut others = handles(&server_table).into_iter();
    let second = others.find(|server| *server != preferred).unwrap();
    let second = server_table.get(second).unwrap().id.clone();
    membership.mark_server_left(&second, 0);
    server_table.sync(&membership, 0);
    assert_eq!(
        server_table.select(&request(5, &[]), 0),
        Err(SelectionError::NoServer)
    );
}

#[test]
fn given_an_unreachable_server_when_a_health_check_connects_then_it_is_selected_again() {
    let (mut server_table, _) = server_table(2);
    let preferred = server_table.select(&request(5, &[]), 0).unwrap().server;
    server_table.start_request(preferred);
    server_table.finish_request(preferred, RequestOutcome::Unreachable, 0);
    assert_ne!(
        server_table.select(&request(5, &[]), 1).unwrap().server,
        preferred
    );
    assert!(server_table.due_health_checks(SECOND).contains(&preferred));
    server_table.mark_reachable(preferred);
    assert_eq!(
        server_table.select(&request(5, &[]), 1).unwrap().server,
        preferred
    );
}

/// Guards against a request that breaks every connection, and whose retries would make each server suspected.
#[test]
fn given_requests_that_end_in_lost_connections_or_rejections_then_no_server_is_suspected() {
    let (mut server_table, _) = server_table(3);
    for server in handles(&server_table) {
        server_table.start_request(server);
        server_table.finish_request(server, RequestOutcome::ConnectionLost, 0);
        server_table.start_request(server);
        server_table.finish_request(server, RequestOutcome::Declined, 0);
    }
    assert!(server_table.iter().all(|(_, s)| !s.is_suspected()));
    assert!(server_table.select(&request(1, &[]), 0).is_ok());
}

/// Ejects servers by directives that arrive at `now`.
fn eject(
    server_table: &mut ServerTable,
    membership: &mut MembershipTable,
    servers: &[ServerHandle],
    now: u64,
) {
    for &server in servers {
        let id = server_table.get(server).unwrap().id.clone();
        let directive = ServerDirective {
            key: format!("avoid/{id}/"),
            sequence: now + 1,
            withdrawn: true,
            ..ServerDirective::default()
        };
        membership.merge_directive(directive, now);
    }
    server_table.sync(membership, now);
}

#[test]
fn given_an_ejected_server_then_other_servers_are_preferred_for_the_ejection_period() {
    let (mut server_table, mut membership) = server_table(4);
    let winner = server_table.select(&request(1, &[]), 0).unwrap().server;
    let next = server_table
        .select(&request(1, &[winner]), 0)
        .unwrap()
        .server;
    eject(&mut server_table, &mut membership, &[winner], SECOND);
    let selected =
        |server_table: &ServerTable, now: u64| server_table.select(&request(1, &[]), now);
    assert_eq!(selected(&server_table, 2 * SECOND).unwrap().server, next);
    // The ejected server is still selected if no second server remains.
    let mut others = handles(&server_table);
    others.retain(|server| *server != winner);
    assert_eq!(others.len(), 3);
    let last = server_table
        .select(&request(1, &others), 2 * SECOND)
        .unwrap();
    assert_eq!(last.server, winner);
    let ejection_ends_at = SECOND + EJECTION_PERIOD;
    assert_eq!(
        selected(&server_table, ejection_ends_at).unwrap().server,
        winner
    );
}

#[test]
fn given_half_of_the_servers_ejected_then_ejections_are_ignored() {
    let (mut server_table, mut membership) = server_table(4);
    let winner = server_table.select(&request(1, &[]), 0).unwrap().server;
    let mut others = handles(&server_table).into_iter();
    let second = others.find(|server| *server != winner).unwrap();
    eject(
        &mut server_table,
        &mut membership,
        &[winner, second],
        SECOND,
    );
    let selected = server_table.select(&request(1, &[]), 2 * SECOND).unwrap();
    assert_eq!((selected.server, selected.rank), (winner, 0));
}
