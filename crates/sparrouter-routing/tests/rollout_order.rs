//! The order in which servers load new weights.
use sparrouter_routing::{OutdatedServer, next_step};

const SECOND: i64 = 1_000_000_000;

fn server(id: &str, limit_s: i64) -> OutdatedServer {
    OutdatedServer {
        id: id.to_owned(),
        limit: limit_s * SECOND,
        is_loading: false,
        is_announced: false,
        load: 0,
        in_flight: 0,
    }
}

#[test]
fn given_servers_on_two_outdated_versions_then_those_with_the_earlier_limit_load_first() {
    let mut newer = vec![server("newer-a", 9), server("newer-b", 9)];
    newer
        .iter_mut()
        .for_each(|server| server.is_announced = true);
    let mut servers = newer;
    for id in ["older-a", "older-b"] {
        servers.push(OutdatedServer {
            load: 50,
            in_flight: 9,
            ..server(id, 6)
        });
    }
    let step = next_step(servers, 9, 1.0, 0);
    assert_eq!(step.begin, ["older-a", "older-b"]);
    assert_eq!(step.announce, ["newer-a", "newer-b"]);
}

#[test]
fn given_servers_on_one_version_then_announced_servers_and_then_the_least_busy_load_first() {
    let servers = vec![
        OutdatedServer {
            load: 3,
            ..server("busy", 6)
        },
        server("idle", 6),
        OutdatedServer {
            is_announced: true,
            load: 9,
            ..server("announced", 6)
        },
    ];
    let step = next_step(servers, 9, 0.5, 0);
    assert_eq!(step.begin, ["announced", "idle"]);
    assert_eq!(step.announce, ["busy"]);
}

#[test]
fn given_a_near_time_limit_then_more_servers_load_at_the_same_time_but_at_most_a_third() {
    let servers_with_limit = |limit| (0..9).map(|n| server(&format!("s{n}"), limit)).collect();
    assert_eq!(next_step(servers_with_limit(60), 9, 1.0, 0).begin.len(), 2);
    assert_eq!(next_step(servers_with_limit(3), 9, 1.0, 0).begin.len(), 3);
    assert_eq!(next_step(servers_with_limit(-1), 9, 1.0, 0).begin.len(), 3);
    // A server with a far limit does not hide servers with a near limit.
    let mut mixed: Vec<OutdatedServer> = servers_with_limit(1_000);
    mixed.extend((0..6).map(|n| server(&format!("near{n}"), 1)));
    assert_eq!(next_step(mixed, 15, 1.0, 0).begin.len(), 5);
}

#[test]
fn given_loading_servers_then_only_the_remaining_number_of_servers_starts_loading() {
    let mut servers: Vec<OutdatedServer> = (0..4).map(|n| server(&format!("s{n}"), 60)).collect();
    servers[0].is_loading = true;
    assert_eq!(next_step(servers.clone(), 4, 1.0, 0).begin, ["s1"]);
    servers[1].is_loading = true;
    assert!(next_step(servers, 4, 1.0, 0).begin.is_empty());
    assert_eq!(next_step(Vec::new(), 0, 1.0, 0), Default::default());
}
