//! Server directives of the rollout's lease holder, and their expiry.
use fastrand::Rng;
use sparrouter_membership::{LoadedModel, MembershipTable, ServerDirective, ServerRecord};
use sparrouter_routing::{
    OutdatedVersionLimits, RequiredVersion, SelectionError, SelectionRequest, ServerTable,
};

const SECOND: u64 = 1_000_000_000;

fn membership(servers: &[&str]) -> MembershipTable {
    let mut membership = MembershipTable::new(1, 60 * SECOND, 100);
    for (number, id) in servers.iter().enumerate() {
        let record = ServerRecord {
            id: (*id).into(),
            service: "s".into(),
            address: format!("10.0.0.{number}:80"),
            call_sequence: 1,
            models: vec![LoadedModel {
                name: "m".into(),
                version: 1,
            }]
            .into(),
            ..ServerRecord::default()
        };
        membership.merge_server(record, 0);
    }
    membership
}

fn server_table() -> ServerTable {
    ServerTable::new(
        OutdatedVersionLimits::per_stretch_only(6 * SECOND),
        Rng::with_seed(1),
    )
}

fn directive(key: &str, fencing_token: u64, version: u64, withdrawn: bool) -> ServerDirective {
    ServerDirective {
        key: key.into(),
        fencing_token,
        sequence: 1,
        version,
        withdrawn,
    }
}

fn request<'a>(key: u64, tokens_out: u64) -> SelectionRequest<'a> {
    SelectionRequest {
        service: "s",
        key,
        model: Some("m"),
        is_long_generation: tokens_out > 24,
        attempted: &[],
    }
}

#[test]
fn given_a_loading_server_when_the_lease_holder_crashes_then_it_becomes_eligible_after_the_expiry()
{
    let mut membership = membership(&["a"]);
    let mut server_table = server_table();
    membership.merge_directive(directive("load/a/m", 3, 2, false), 0);
    server_table.sync(&membership, 0);
    assert_eq!(
        server_table.select(&request(7, 0), 0),
        Err(SelectionError::NoneEligible)
    );
    // No lease holder withdraws the directive; it expires after the maximum loading time.
    server_table.sync(&membership, 13 * SECOND);
    assert!(server_table.select(&request(7, 0), 13 * SECOND).is_ok());
}

#[test]
fn given_a_directive_of_an_earlier_lease_holder_when_the_next_withdraws_it_then_the_server_is_eligible()
 {
    let mut membership = membership(&["a"]);
    let mut server_table = server_table();
    membership.merge_directive(directive("load/a/m", 3, 2, false), 0);
    membership.merge_directive(directive("load/a/m", 4, 0, true), SECOND);
    server_table.sync(&membership, SECOND);
    assert!(server_table.select(&request(7, 0), SECOND).is_ok());
    // The earlier lease holder resumes and repeats the directive with a lower fencing token.
    assert!(!membership.merge_directive(
        ServerDirective {
            sequence: 9,
            ..directive("load/a/m", 3, 2, false)
        },
        2 * SECOND
    ));
}

#[test]
fn given_a_withdrawn_directive_with_a_version_then_the_server_never_reverts_to_an_older_version() {
    let mut membership = membership(&["a"]);
    let mut server_table = server_table();
    membership.merge_directive(directive("load/a/m", 3, 2, true), 0);
    server_table.sync(&membership, 0);
    assert_eq!(
        server_table.select(&request(7, 0), 0).unwrap().version,
        Some(2)
    );
    server_table.record_loaded_version(server_table.find("a").unwrap(), "m", 1);
    assert_eq!(
        server_table.select(&request(7, 0), 0).unwrap().version,
        Some(2)
    );
}

#[test]
fn given_a_newer_version_when_its_time_limit_has_passed_then_no_request_starts_on_older_weights() {
    let mut server_table = server_table();
    server_table.sync(&membership(&["a"]), 0);
    server_table.versions.record_named("m", 2, 0, SECOND);
    assert!(server_table.select(&request(7, 0), 6 * SECOND).is_ok());
    assert_eq!(
        server_table.select(&request(7, 0), 8 * SECOND),
        Err(SelectionError::NoneEligible)
    );
    // A change in the core restarts the time limit, as required by RULES.md (VERSION).
    server_table.versions.record_core_change(8 * SECOND);
    assert!(server_table.select(&request(7, 0), 9 * SECOND).is_ok());
    assert_eq!(
        server_table.versions.limit(RequiredVersion {
            version: 2,
            named_at: SECOND as i64
        }),
        14 * SECOND as i64
    );
}

#[test]
fn given_a_server_that_will_load_soon_then_a_long_generation_is_sent_to_another_server() {
    let mut membership = membership(&["a", "b"]);
    let mut server_table = server_table();
    server_table.sync(&membership, 0);
    let key = (0..)
        .find(|&k| {
            server_table
                .get(server_table.select(&request(k, 0), 0).unwrap().server)
                .unwrap()
                .id
                == "a"
        })
        .unwrap();
    membership.merge_directive(directive("soon/a/m", 1, 2, false), 0);
    server_table.sync(&membership, 0);
    let selected_id = |server_table: &ServerTable, tokens_out| {
        server_table
            .get(
                server_table
                    .select(&request(key, tokens_out), 0)
                    .unwrap()
                    .server,
            )
            .unwrap()
            .id
            .clone()
    };
    assert_eq!(
        (
            selected_id(&server_table, 6).as_str(),
            selected_id(&server_table, 200).as_str()
        ),
        ("a", "b")
    );
}
