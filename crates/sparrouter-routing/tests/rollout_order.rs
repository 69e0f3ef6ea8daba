//! Which servers load new weights next.
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
fn given_servers_on_two_old_versions_then_those_with_the_earlier_limit_go_first() {
    let mut newer = vec![server("newer-a", 9), server("newer-b", 9)];
    newer
        .iter_mut()
        .for_each(|server| server.is_announced = true);
    let mut all = newer;
    for id in ["older-a", "older-b"] {
        all.push(OutdatedServer {
            load: 50,
            in_flight: 9,
            ..server(id, 6)
        });
    }
    let step = next_step(all, 9, 1.0, 0);
    assert_eq!(step.begin, ["older-a", "older-b"]);
    assert_eq!(step.announce, ["newer-a", "newer-b"]);
}

#[test]
fn given_servers_on_one_version_then_announced_ones_and_the_least_busy_go_first() {
    let all = vec![
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
    let step = next_step(all, 9, 0.5, 0);
    assert_eq!(step.begin, ["announced", "idle"]);
    assert_eq!(step.announce, ["busy"]);
}

#[test]
fn given_a_near_limit_then_more_load_at_once_but_at_most_a_third() {
    let all = |limit| (0..9).map(|n| server(&format!("s{n}"), limit)).collect();
    assert_eq!(next_step(all(60), 9, 1.0, 0).begin.len(), 2);
    assert_eq!(next_step(all(3), 9, 1.0, 0).begin.len(), 3);
    assert_eq!(next_step(all(-1), 9, 1.0, 0).begin.len(), 3);
    // One far limit does not hide a near one.
    let mut mixed: Vec<OutdatedServer> = all(1_000);
    mixed.extend((0..6).map(|n| server(&format!("near{n}"), 1)));
    assert_eq!(next_step(mixed, 15, 1.0, 0).begin.len(), 5);
}

#[test]
fn given_servers_that_are_loading_then_only_the_remaining_ones_begin() {
    let mut all: Vec<OutdatedServer> = (0..4).map(|n| server(&format!("s{n}"), 60)).collect();
    all[0].is_loading = true;
    assert_eq!(next_step(all.clone(), 4, 1.0, 0).begin, ["s1"]);
    all[1].is_loading = true;
    assert!(next_step(all, 4, 1.0, 0).begin.is_empty());
    assert_eq!(next_step(Vec::new(), 0, 1.0, 0), Default::default());
}
