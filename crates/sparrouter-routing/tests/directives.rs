//! Server directives of the rollout's lease holder, and how long they apply.
use fastrand::Rng;
use sparrouter_membership::{LoadedModel, MembershipTable, ServerDirective, ServerRecord};
use sparrouter_routing::{
    OutdatedVersionLimits, RequiredVersion, SelectionError, SelectionRequest, ServerTable,
};

const SECOND: u64 = 1_000_000_000;

fn rows(servers: &[&str]) -> MembershipTable {
    let mut rows = MembershipTable::new(1, 60 * SECOND, 100);
    for (i, id) in servers.iter().enumerate() {
        let row = ServerRecord {
            id: (*id).into(),
            service: "s".into(),
            address: format!("10.0.0.{i}:80"),
            call_sequence: 1,
            models: vec![LoadedModel {
                name: "m".into(),
                version: 1,
            }]
            .into(),
            ..ServerRecord::default()
        };
        rows.merge_server(row, 0);
    }
    rows
}

fn note(key: &str, fence: u64, value: u64, over: bool) -> ServerDirective {
    ServerDirective {
        key: key.into(),
        fencing_token: fence,
        sequence: 1,
        version: value,
        withdrawn: over,
    }
}

fn ask<'a>(key: u64, tokens_out: u64) -> SelectionRequest<'a> {
    SelectionRequest {
        service: "s",
        key,
        model: Some("m"),
        is_long_generation: tokens_out > 24,
        attempted: &[],
    }
}

#[test]
fn given_a_loading_server_when_the_lease_holder_dies_then_it_is_not_excluded_for_ever() {
    let mut rows = rows(&["a"]);
    let mut server_table = ServerTable::new(
        OutdatedVersionLimits::per_stretch_only(6 * SECOND),
        Rng::with_seed(1),
    );
    rows.merge_directive(note("load/a/m", 3, 2, false), 0);
    server_table.sync(&rows, 0);
    assert_eq!(
        server_table.select(&ask(7, 0), 0),
        Err(SelectionError::NoneReady)
    );
    // Nobody ends the directive: it applies no longer than loading can take.
    server_table.sync(&rows, 13 * SECOND);
    assert!(server_table.select(&ask(7, 0), 13 * SECOND).is_ok());
}

#[test]
fn given_a_directive_left_behind_when_the_next_holder_ends_it_then_the_server_is_used_at_once() {
    let mut rows = rows(&["a"]);
    let mut server_table = ServerTable::new(
        OutdatedVersionLimits::per_stretch_only(6 * SECOND),
        Rng::with_seed(1),
    );
    rows.merge_directive(note("load/a/m", 3, 2, false), 0);
    rows.merge_directive(note("load/a/m", 4, 0, true), SECOND);
    server_table.sync(&rows, SECOND);
    assert!(server_table.select(&ask(7, 0), SECOND).is_ok());
    // The old holder, no longer frozen, repeats it with a lower fencing token.
    assert!(!rows.merge_directive(
        ServerDirective {
            sequence: 9,
            ..note("load/a/m", 3, 2, false)
        },
        2 * SECOND
    ));
}

#[test]
fn given_a_directive_that_loading_is_over_then_the_server_runs_that_version_and_never_an_older_one()
{
    let mut rows = rows(&["a"]);
    let mut server_table = ServerTable::new(
        OutdatedVersionLimits::per_stretch_only(6 * SECOND),
        Rng::with_seed(1),
    );
    rows.merge_directive(note("load/a/m", 3, 2, true), 0);
    server_table.sync(&rows, 0);
    assert_eq!(server_table.select(&ask(7, 0), 0).unwrap().version, Some(2));
    server_table.record_loaded_version(server_table.find("a").unwrap(), "m", 1);
    assert_eq!(server_table.select(&ask(7, 0), 0).unwrap().version, Some(2));
}

#[test]
fn given_a_newer_version_when_its_time_limit_is_over_then_nothing_begins_on_older_weights() {
    let mut server_table = ServerTable::new(
        OutdatedVersionLimits::per_stretch_only(6 * SECOND),
        Rng::with_seed(1),
    );
    server_table.sync(&rows(&["a"]), 0);
    server_table.versions.record_named("m", 2, 0, SECOND);
    assert!(server_table.select(&ask(7, 0), 6 * SECOND).is_ok());
    assert_eq!(
        server_table.select(&ask(7, 0), 8 * SECOND),
        Err(SelectionError::NoneReady)
    );
    // A change in the core restarts the time limit, as RULES.md (VERSION) counts it.
    server_table.versions.record_core_change(8 * SECOND);
    assert!(server_table.select(&ask(7, 0), 9 * SECOND).is_ok());
    assert_eq!(
        server_table.versions.limit(RequiredVersion {
            version: 2,
            named_at: SECOND as i64
        }),
        14 * SECOND as i64
    );
}

#[test]
fn given_a_server_about_to_load_when_a_long_generation_comes_then_another_server_takes_it() {
    let mut rows = rows(&["a", "b"]);
    let mut server_table = ServerTable::new(
        OutdatedVersionLimits::per_stretch_only(6 * SECOND),
        Rng::with_seed(1),
    );
    server_table.sync(&rows, 0);
    let key = (0..)
        .find(|&k| {
            server_table
                .get(server_table.select(&ask(k, 0), 0).unwrap().server)
                .unwrap()
                .id
                == "a"
        })
        .unwrap();
    rows.merge_directive(note("soon/a/m", 1, 2, false), 0);
    server_table.sync(&rows, 0);
    let to = |server_table: &ServerTable, out| {
        server_table
            .get(server_table.select(&ask(key, out), 0).unwrap().server)
            .unwrap()
            .id
            .clone()
    };
    assert_eq!(
        (
            to(&server_table, 6).as_str(),
            to(&server_table, 200).as_str()
        ),
        ("a", "b")
    );
}
