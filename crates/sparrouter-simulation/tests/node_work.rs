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
        assert!(cost.rows <= 2 && cost.servers == 0, "{work:?}");
    }
}

#[test]
fn given_any_number_of_nodes_when_a_followed_server_has_an_event_then_no_row_is_walked() {
    for work in small_and_large() {
        assert_eq!((work.event.rows, work.event.servers), (0, 0), "{work:?}");
    }
}

#[test]
fn given_any_number_of_nodes_when_a_request_comes_then_the_election_passes_over_the_servers_once() {
    for work in small_and_large() {
        let servers = (work.nodes * SERVERS_PER_NODE) as u64;
        assert_eq!(work.request.rows, 0, "{work:?}");
        assert!(work.request.servers <= servers, "{work:?}");
    }
}

#[test]
fn given_any_number_of_nodes_when_one_comes_or_goes_then_the_node_rows_are_walked_once() {
    for work in small_and_large() {
        let allowed = work.nodes as u64 + 2;
        let cost = work.node_poll;
        assert!(cost.rows <= allowed && cost.servers == 0, "{work:?}");
    }
}

#[test]
fn given_any_number_of_nodes_when_nothing_changes_then_nothing_is_walked() {
    for work in small_and_large() {
        let cost = work.idle_10s;
        assert_eq!((cost.rows, cost.servers), (0, 0), "{work:?}");
    }
}
