//! Checks that the server table after incremental syncs equals a table built from all records, and that selections in
//! random tables equal those by sorting all servers.
use fastrand::Rng;
use sparrouter_membership::{
    LifecycleState, LoadedModel, MembershipTable, ServerDirective, ServerRecord,
};
use sparrouter_routing::{
    OutdatedVersionLimits, RequestOutcome, SelectionRequest, ServerHandle, ServerTable,
};

const SECOND: u64 = 1_000_000_000;
const SERVICE: &str = "s";
const MODEL: &str = "m";

fn empty_table() -> ServerTable {
    ServerTable::new(
        OutdatedVersionLimits::per_stretch_only(6 * SECOND),
        Rng::with_seed(1),
    )
}

fn empty_membership() -> MembershipTable {
    MembershipTable::new(1, 20 * SECOND, 10_000)
}

fn record(number: usize, call_sequence: u64) -> ServerRecord {
    ServerRecord {
        id: format!("i-{number}"),
        service: SERVICE.into(),
        address: format!("10.0.{}.{}:80", number / 250, number % 250),
        call_sequence,
        models: vec![LoadedModel {
            name: MODEL.into(),
            version: 1,
        }]
        .into(),
        ..ServerRecord::default()
    }
}

fn directive(rng: &mut Rng, number: usize, step: u64) -> ServerDirective {
    ServerDirective {
        key: format!("{}/i-{number}/{MODEL}", ["load", "soon"][rng.usize(..2)]),
        fencing_token: 1,
        sequence: step,
        version: rng.u64(..4),
        withdrawn: rng.bool(),
    }
}

/// The server properties that a selection depends on, ordered by id.
fn server_states(table: &ServerTable) -> Vec<String> {
    let mut states: Vec<String> = table
        .iter()
        .map(|(_, server)| {
            format!(
                "{} {:?} unresponsive {} loading {} loading soon {} {:?}",
                server.id,
                server.state(),
                server.is_unresponsive(),
                server.is_loading(),
                server.will_load_soon(),
                server.models()
            )
        })
        .collect();
    states.sort();
    states
}

/// Applies one random change to the membership table.
fn apply_random_change(membership: &mut MembershipTable, rng: &mut Rng, step: u64, now: u64) {
    let number = rng.usize(..12);
    let id = format!("i-{number}");
    match rng.u32(..6) {
        0 => drop(membership.mark_server_left(&id, now)),
        1 => drop(membership.mark_server_unresponsive(&id, now)),
        2 => membership.drop_expired(now),
        3 => drop(membership.merge_directive(directive(rng, number, step), now)),
        4 => drop(membership.merge_server(
            ServerRecord {
                state: LifecycleState::Draining,
                ..record(number, step)
            },
            now,
        )),
        _ => drop(membership.merge_server(record(number, step), now)),
    }
}

#[test]
fn given_any_changes_when_synced_by_revision_then_the_table_equals_one_built_from_all_records() {
    for seed in 0..200 {
        let mut rng = Rng::with_seed(seed);
        let (mut membership, mut table) = (empty_membership(), empty_table());
        for step in 1..120 {
            let now = step * SECOND;
            (0..rng.u32(..3))
                .for_each(|_| apply_random_change(&mut membership, &mut rng, step, now));
            table.sync(&membership, now);
            let mut rebuilt = empty_table();
            rebuilt.sync(&membership, now);
            // Versions are not compared: after a directive is dropped, the table still keeps the version that it
            // recorded, because a server never loads an older version.
            let states_without_models = |t: &ServerTable| -> Vec<String> {
                server_states(t)
                    .iter()
                    .map(|s| s.split(" [").next().unwrap_or_default().to_owned())
                    .collect()
            };
            assert_eq!(
                states_without_models(&table),
                states_without_models(&rebuilt),
                "seed {seed}, step {step}"
            );
        }
    }
}

#[test]
fn given_a_server_that_left_with_a_request_in_flight_when_that_ends_then_the_next_sync_removes_it()
{
    let (mut membership, mut table) = (empty_membership(), empty_table());
    membership.merge_server(record(1, 1), 0);
    table.sync(&membership, 0);
    let index = table.find("i-1").unwrap();
    table.start_request(index);
    membership.mark_server_left("i-1", 0);
    table.sync(&membership, 0);
    assert!(table.get(index).is_some());
    table.finish_request(index, RequestOutcome::Answered, 0);
    table.sync(&membership, 0);
    assert!(table.get(index).is_none() && table.find("i-1").is_none());
}

/// Guards against a request that is sent to another server, since the one selected for it was removed while it waited.
#[test]
fn given_a_removed_server_when_others_are_added_then_its_handle_names_none_of_them() {
    let (mut membership, mut table) = (empty_membership(), empty_table());
    let mut removed = Vec::new();
    for number in 0..50 {
        membership.merge_server(record(number, 1), 0);
        table.sync(&membership, 0);
        let handle = table.find(&format!("i-{number}")).unwrap();
        assert_eq!(table.get(handle).unwrap().id, format!("i-{number}"));
        // None of these may change a server that was added since.
        for &earlier in &removed {
            assert!(table.get(earlier).is_none());
            table.start_request(earlier);
            table.finish_request(earlier, RequestOutcome::Unreachable, 0);
            table.mark_full(earlier, SECOND);
            table.record_loaded_version(earlier, MODEL, 9);
        }
        let server = table.get(handle).unwrap();
        assert!(server.in_flight() == 0 && !server.has_been_used() && !server.is_suspected());
        assert!(server.version_of(MODEL) != Some(9));
        membership.mark_server_left(&format!("i-{number}"), 0);
        table.sync(&membership, 0);
        removed.push(handle);
    }
}

#[test]
fn given_thousands_of_servers_when_one_record_changes_then_a_sync_visits_only_that_record() {
    let records_visited = |servers: usize| {
        let (mut membership, mut table) = (empty_membership(), empty_table());
        for number in 0..servers {
            membership.merge_server(record(number, 1), 0);
        }
        table.sync(&membership, 0);
        membership.merge_server(
            ServerRecord {
                state: LifecycleState::Draining,
                ..record(3, 2)
            },
            1,
        );
        let before = membership.records_visited();
        table.sync(&membership, 1);
        membership.records_visited() - before
    };
    assert_eq!((records_visited(10), records_visited(5_000)), (1, 1));
}

/// The expected order of the selection: by score, with demoted servers last.
fn sorted_candidates(table: &ServerTable, request: &SelectionRequest) -> Vec<ServerHandle> {
    let eligible = table
        .of_service(SERVICE)
        .filter(|(index, s)| {
            !request.attempted.contains(index) && s.state() == LifecycleState::Ready
        })
        .filter(|(_, s)| !s.is_loading());
    let mut order =
        sparrouter_rendezvous::order(eligible.map(|(index, s)| (s.hash(), index)), request.key);
    order.sort_by_key(|&index| {
        let server = table.get(index).unwrap();
        (
            server.is_unresponsive(),
            request.is_long_generation && server.will_load_soon(),
        )
    });
    order
}

/// The rank and server that the selection must return, computed from [`sorted_candidates`].
fn expected_selection(
    table: &ServerTable,
    request: &SelectionRequest,
) -> Option<(usize, ServerHandle)> {
    let order = sorted_candidates(table, request);
    let in_flight = |index: &ServerHandle| table.get(*index).unwrap().in_flight();
    let in_flight_if_used: Vec<u32> = table
        .of_service(SERVICE)
        .filter(|(_, s)| s.state() == LifecycleState::Ready && s.has_been_used())
        .map(|(_, s)| s.in_flight())
        .collect();
    let servers_in_use = in_flight_if_used.len().max(1) as f64;
    let mean = f64::from(in_flight_if_used.iter().sum::<u32>()) / servers_in_use;
    let load_bound = f64::max(2.0 * mean, 2.0);
    order
        .iter()
        .position(|index| f64::from(in_flight(index)) <= load_bound)
        .or((0..order.len()).min_by_key(|&rank| in_flight(&order[rank])))
        .map(|rank| (rank, order[rank]))
}

/// A table after random membership changes with random requests in flight, and the indices of its servers.
fn random_table(rng: &mut Rng) -> (ServerTable, Vec<ServerHandle>) {
    let (mut membership, mut table) = (empty_membership(), empty_table());
    for step in 1..40 {
        apply_random_change(&mut membership, rng, step, SECOND);
    }
    table.sync(&membership, SECOND);
    let mut indices: Vec<ServerHandle> = table.iter().map(|(index, _)| index).collect();
    for _ in 0..rng.usize(..40) {
        if !indices.is_empty() {
            table.start_request(indices[rng.usize(..indices.len())]);
        }
    }
    // Loads also change when requests end, and when servers drain, leave and are removed.
    for &index in indices.iter().filter(|_| rng.u32(..4) == 0) {
        if table
            .get(index)
            .is_some_and(|server| server.in_flight() > 0)
        {
            table.finish_request(index, RequestOutcome::Answered, SECOND);
        }
    }
    for step in 40..46 {
        apply_random_change(&mut membership, rng, step, SECOND);
    }
    table.sync(&membership, SECOND);
    indices.retain(|&index| table.get(index).is_some());
    (table, indices)
}

#[test]
fn given_random_servers_when_one_is_selected_then_it_equals_the_selection_by_sorting_all_servers() {
    for seed in 0..300 {
        let mut rng = Rng::with_seed(seed);
        let (table, indices) = random_table(&mut rng);
        for key in 0..20 {
            let attempted: Vec<ServerHandle> = indices
                .iter()
                .copied()
                .filter(|_| rng.u32(..6) == 0)
                .collect();
            let request = SelectionRequest {
                service: SERVICE,
                key,
                model: None,
                is_long_generation: rng.u64(..50) > 24,
                attempted: &attempted,
            };
            let selected = table.select(&request, SECOND).ok();
            assert_eq!(
                selected.map(|selection| (selection.rank, selection.server)),
                expected_selection(&table, &request),
                "seed {seed}, key {key}"
            );
        }
    }
}
