//! What one node does for an event, a request or a poll must not grow with the number of nodes. Counts, not times.
use sparrouter_simulation::node_work::{NodeCost, SERVERS_PER_NODE, measure};

const SMALL: usize = 10;
const LARGE: usize = 200;

fn small_and_large() -> [NodeCost; 2] {
    [measure(SMALL), measure(LARGE)]
}

#[test]
fn given_any_number_of_nodes_when_a_server_changes_then_only_its_row_is_walked() {
    for work in small_and_large() {
        let cost = work.server_poll;
        assert!(
            cost.membership_records <= 2 && cost.server_records == 0,
            "{work:?}"
        );
    }
}

#[test]
fn given_any_number_of_nodes_when_a_followed_server_has_an_event_then_no_row_is_walked() {
    for work in small_and_large() {
        assert_eq!(
            (work.event.membership_records, work.event.server_records),
            (0, 0),
            "{work:?}"
        );
    }
}

#[test]
fn given_any_number_of_nodes_when_a_request_comes_then_the_election_passes_over_the_servers_once() {
    for work in small_and_large() {
        let servers = (work.nodes * SERVERS_PER_NODE) as u64;
        assert_eq!(work.request.membership_records, 0, "{work:?}");
        assert!(work.request.server_records <= servers, "{work:?}");
    }
}

#[test]
fn given_any_number_of_nodes_when_one_comes_or_goes_then_the_node_rows_are_walked_once() {
    for work in small_and_large() {
        let allowed = work.nodes as u64 + 2;
        let cost = work.node_poll;
        assert!(
            cost.membership_records <= allowed && cost.server_records == 0,
            "{work:?}"
        );
    }
}

#[test]
fn given_any_number_of_nodes_when_nothing_changes_then_nothing_is_walked() {
    for work in small_and_large() {
        let cost = work.idle_10s;
        assert_eq!(
            (cost.membership_records, cost.server_records),
            (0, 0),
            "{work:?}"
        );
    }
}
