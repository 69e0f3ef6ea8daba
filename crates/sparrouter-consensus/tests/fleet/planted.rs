//! Planted defects by name, and the first seed that finds each.
use super::{Plan, SECOND, Weather, play};
use sparrouter_consensus::Defects;

pub type Plant = fn(&mut Defects);

/// Name, switch, and the weather and number of nodes that show it soonest.
pub const PLANTED: [(&str, Plant, Weather, usize); 15] = [
    (
        "ack_before_sync",
        |d| d.ack_before_sync = true,
        Weather::Mixed,
        3,
    ),
    (
        "promise_not_stored",
        |d| d.promise_not_stored = true,
        Weather::Flaps,
        3,
    ),
    (
        "accept_below_promise",
        |d| d.accept_below_promise = true,
        Weather::Mixed,
        3,
    ),
    (
        "old_group_only",
        |d| d.old_group_only = true,
        Weather::Leaves,
        3,
    ),
    ("skip_joint", |d| d.skip_joint = true, Weather::Leaves, 3),
    (
        "judge_unchosen",
        |d| d.judge_unchosen = true,
        Weather::Mixed,
        3,
    ),
    (
        "answer_unchosen",
        |d| d.answer_unchosen = true,
        Weather::Mixed,
        3,
    ),
    ("any_promise", |d| d.any_promise = true, Weather::Mixed, 3),
    (
        "half_is_majority",
        |d| d.half_is_majority = true,
        Weather::Mixed,
        4,
    ),
    (
        "ballots_shared",
        |d| d.ballots_shared = true,
        Weather::Mixed,
        3,
    ),
    (
        "publish_accepted",
        |d| d.publish_accepted = true,
        Weather::Mixed,
        3,
    ),
    ("read_locally", |d| d.read_locally = true, Weather::Mixed, 3),
    ("forget_sent", |d| d.forget_sent = true, Weather::Mixed, 3),
    (
        "wiped_keeps_id",
        |d| d.wiped_keeps_id = true,
        Weather::Wipes,
        3,
    ),
    (
        "unconfirmed_candidates",
        |d| d.unconfirmed_candidates = true,
        Weather::Joins,
        3,
    ),
];

pub fn plan(seed: u64) -> Plan {
    let nodes = [3, 5, 3, 6, 4, 7, 2, 1][seed as usize % 8];
    // Every other storm is of all faults; of the rest each kind has its turn at each size.
    let weather = match seed / 8 % 7 {
        1 => Weather::Flaps,
        3 => Weather::Leaves,
        5 => Weather::Wipes,
        6 => Weather::Joins,
        _ => Weather::Mixed,
    };
    Plan {
        seed,
        nodes,
        storm: 8 * SECOND,
        weather,
        defects: Defects::default(),
        pieces: seed % 2 == 1,
        trace: false,
    }
}

/// The first seed that breaks a rule, and which.
pub fn first_seed(
    plant: Plant,
    weather: Weather,
    nodes: usize,
    most: u64,
) -> Option<(u64, String)> {
    let mut defects = Defects::default();
    plant(&mut defects);
    (0..most).find_map(|seed| {
        let plan = Plan {
            nodes,
            weather,
            defects: defects.clone(),
            pieces: false,
            ..plan(seed)
        };
        // In debug the core may find a breach itself, by an assertion.
        match std::panic::catch_unwind(|| play(&plan)) {
            Ok(played) => Some((seed, played.err()?.what)),
            Err(_) => Some((seed, "an assertion".to_owned())),
        }
    })
}
