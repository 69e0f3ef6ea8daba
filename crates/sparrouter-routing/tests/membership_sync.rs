//! The server table follows the rows by what changed, and comes to the same as a table that reads all of them.
use fastrand::Rng;
use sparrouter_membership::{
    LifecycleState, LoadedModel, MembershipTable, ServerDirective, ServerRecord,
};
use sparrouter_routing::{
    OutdatedVersionLimits, RequestOutcome, SelectionRequest, ServerIndex, ServerTable,
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

fn empty_rows() -> MembershipTable {
    MembershipTable::new(1, 20 * SECOND, 10_000)
}

fn row(number: usize, call_sequence: u64) -> ServerRecord {
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

/// What counts of a table, in the order of ids.
fn state(table: &ServerTable) -> Vec<String> {
    let mut all: Vec<String> = table
        .iter()
        .map(|(_, s)| {
            format!(
                "{} {:?} silent {} loading {} soon {} {:?}",
                s.id,
                s.state(),
                s.is_unresponsive(),
                s.is_loading(),
                s.will_load_soon(),
                s.models()
            )
        })
        .collect();
    all.sort();
    all
}

/// One change of the rows, drawn.
fn change(rows: &mut MembershipTable, rng: &mut Rng, step: u64, now: u64) {
    let number = rng.usize(..12);
    let id = format!("i-{number}");
    match rng.u32(..6) {
        0 => drop(rows.mark_server_left(&id, now)),
        1 => drop(rows.mark_server_unresponsive(&id, now)),
        2 => rows.drop_expired(now),
        3 => drop(rows.merge_directive(directive(rng, number, step), now)),
        4 => drop(rows.merge_server(
            ServerRecord {
                state: LifecycleState::Draining,
                ..row(number, step)
            },
            now,
        )),
        _ => drop(rows.merge_server(row(number, step), now)),
    }
}

#[test]
fn given_any_changes_when_synced_by_what_changed_then_the_table_is_that_of_one_that_reads_all_rows()
{
    for seed in 0..200 {
        let mut rng = Rng::with_seed(seed);
        let (mut rows, mut table) = (empty_rows(), empty_table());
        for step in 1..120 {
            let now = step * SECOND;
            (0..rng.u32(..3)).for_each(|_| change(&mut rows, &mut rng, step, now));
            table.sync(&rows, now);
            let mut anew = empty_table();
            anew.sync(&rows, now);
            // What a server runs stays known when its directive is dropped, as a server never goes back.
            let without_models = |t: &ServerTable| -> Vec<String> {
                state(t)
                    .iter()
                    .map(|s| s.split(" [").next().unwrap_or_default().to_owned())
                    .collect()
            };
            assert_eq!(
                without_models(&table),
                without_models(&anew),
                "seed {seed}, step {step}"
            );
        }
    }
}

#[test]
fn given_a_gone_server_with_a_request_in_flight_when_it_ends_then_the_next_look_removes_it() {
    let (mut rows, mut table) = (empty_rows(), empty_table());
    rows.merge_server(row(1, 1), 0);
    table.sync(&rows, 0);
    let ix = table.find("i-1").unwrap();
    table.start_request(ix, 10);
    rows.mark_server_left("i-1", 0);
    table.sync(&rows, 0);
    assert!(table.get(ix).is_some());
    table.finish_request(ix, 10, RequestOutcome::Answered, 0);
    table.sync(&rows, 0);
    assert!(table.get(ix).is_none() && table.find("i-1").is_none());
}

#[test]
fn given_thousands_of_servers_when_one_changes_then_a_look_walks_that_one() {
    let records_visited = |servers: usize| {
        let (mut rows, mut table) = (empty_rows(), empty_table());
        for number in 0..servers {
            rows.merge_server(row(number, 1), 0);
        }
        table.sync(&rows, 0);
        rows.merge_server(
            ServerRecord {
                state: LifecycleState::Draining,
                ..row(3, 2)
            },
            1,
        );
        let before = rows.records_visited();
        table.sync(&rows, 1);
        rows.records_visited() - before
    };
    assert_eq!((records_visited(10), records_visited(5_000)), (1, 1));
}

/// The order that the pass over all candidates must agree with: by score, those that are kept back last.
fn by_sorting(table: &ServerTable, ask: &SelectionRequest) -> Vec<ServerIndex> {
    let fit = table
        .of_service(SERVICE)
        .filter(|(ix, s)| !ask.attempted.contains(ix) && s.state() == LifecycleState::Ready)
        .filter(|(_, s)| !s.is_loading());
    let mut order = sparrouter_rendezvous::order(fit.map(|(ix, s)| (s.hash(), ix)), ask.key);
    order.sort_by_key(|&ix| {
        let server = table.get(ix).unwrap();
        (
            server.is_unresponsive(),
            ask.is_long_generation && server.will_load_soon(),
        )
    });
    order
}

#[test]
fn given_any_servers_when_one_is_chosen_then_it_is_the_one_that_sorting_them_gives() {
    for seed in 0..300 {
        let mut rng = Rng::with_seed(seed);
        let (mut rows, mut table) = (empty_rows(), empty_table());
        for step in 1..40 {
            change(&mut rows, &mut rng, step, SECOND);
        }
        table.sync(&rows, SECOND);
        let mut all: Vec<ServerIndex> = table.iter().map(|(ix, _)| ix).collect();
        for _ in 0..rng.usize(..40) {
            if !all.is_empty() {
                table.start_request(all[rng.usize(..all.len())], 1);
            }
        }
        // Loads change with what ends, and with servers that drain, leave and are removed.
        for &ix in all.iter().filter(|_| rng.u32(..4) == 0) {
            if table.get(ix).is_some_and(|server| server.in_flight() > 0) {
                table.finish_request(ix, 1, RequestOutcome::Answered, SECOND);
            }
        }
        for step in 40..46 {
            change(&mut rows, &mut rng, step, SECOND);
        }
        table.sync(&rows, SECOND);
        all.retain(|&ix| table.get(ix).is_some());
        for key in 0..20 {
            let tried: Vec<ServerIndex> =
                all.iter().copied().filter(|_| rng.u32(..6) == 0).collect();
            let ask = SelectionRequest {
                service: SERVICE,
                key,
                model: None,
                is_long_generation: rng.u64(..50) > 24,
                attempted: &tried,
            };
            let order = by_sorting(&table, &ask);
            let in_flight = |ix: &ServerIndex| table.get(*ix).unwrap().in_flight();
            let used: Vec<u32> = table
                .of_service(SERVICE)
                .filter(|(_, s)| s.state() == LifecycleState::Ready && s.has_been_used())
                .map(|(_, s)| s.in_flight())
                .collect();
            let mean = f64::from(used.iter().sum::<u32>()) / used.len().max(1) as f64;
            let bar = f64::max(2.0 * mean, 2.0);
            let expected = order
                .iter()
                .position(|ix| f64::from(in_flight(ix)) <= bar)
                .or((0..order.len()).min_by_key(|&place| in_flight(&order[place])));
            let chosen = table.select(&ask, SECOND).ok();
            assert_eq!(
                chosen.map(|pick| (pick.rank, pick.server)),
                expected.map(|place| (place, order[place])),
                "seed {seed}, key {key}"
            );
        }
    }
}
