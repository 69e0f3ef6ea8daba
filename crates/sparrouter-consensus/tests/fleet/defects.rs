//! Injected defects by name, and the search for the first seed that detects a defect.
use super::monitor::Violation;
use super::{FaultMix, Plan, SECOND, simulate};
use sparrouter_consensus::Defects;

/// An injected defect, with the faults and group size that detect it with few seeds.
pub struct DefectCase {
    pub name: &'static str,
    pub inject: fn(&mut Defects),
    pub fault_mix: FaultMix,
    pub nodes: usize,
}

/// A simulation that detected a defect.
pub struct Detection {
    pub seed: u64,
    pub violation: Violation,
}

const fn case(name: &'static str, inject: fn(&mut Defects), fault_mix: FaultMix) -> DefectCase {
    DefectCase {
        name,
        inject,
        fault_mix,
        nodes: 3,
    }
}

/// All defects that the simulation detects.
pub const DEFECTS: [DefectCase; 15] = [
    case(
        "ack_before_sync",
        |d| d.ack_before_sync = true,
        FaultMix::Mixed,
    ),
    case(
        "promise_not_stored",
        |d| d.promise_not_stored = true,
        FaultMix::Flaps,
    ),
    case(
        "accept_below_promise",
        |d| d.accept_below_promise = true,
        FaultMix::Mixed,
    ),
    case(
        "old_group_only",
        |d| d.old_group_only = true,
        FaultMix::Departures,
    ),
    case("skip_joint", |d| d.skip_joint = true, FaultMix::Departures),
    case(
        "evaluate_on_unchosen",
        |d| d.evaluate_on_unchosen = true,
        FaultMix::Mixed,
    ),
    case(
        "answer_before_chosen",
        |d| d.answer_before_chosen = true,
        FaultMix::Mixed,
    ),
    case(
        "adopt_first_vote",
        |d| d.adopt_first_vote = true,
        FaultMix::Mixed,
    ),
    DefectCase {
        name: "half_is_majority",
        inject: |d| d.half_is_majority = true,
        fault_mix: FaultMix::Mixed,
        nodes: 4,
    },
    case(
        "shared_proposal_numbers",
        |d| d.shared_proposal_numbers = true,
        FaultMix::Mixed,
    ),
    case(
        "publish_accepted",
        |d| d.publish_accepted = true,
        FaultMix::Mixed,
    ),
    case("read_locally", |d| d.read_locally = true, FaultMix::Mixed),
    case(
        "forget_sent_proposals",
        |d| d.forget_sent_proposals = true,
        FaultMix::Mixed,
    ),
    case(
        "wiped_disk_keeps_id",
        |d| d.wiped_disk_keeps_id = true,
        FaultMix::Wipes,
    ),
    case(
        "unconfirmed_candidates",
        |d| d.unconfirmed_candidates = true,
        FaultMix::Joins,
    ),
];

/// The plan of a seed. Group sizes and mixes of faults alternate.
pub fn plan(seed: u64) -> Plan {
    let nodes = [3, 5, 3, 6, 4, 7, 2, 1][seed as usize % 8];
    let fault_mix = match seed / 8 % 7 {
        1 => FaultMix::Flaps,
        3 => FaultMix::Departures,
        5 => FaultMix::Wipes,
        6 => FaultMix::Joins,
        _ => FaultMix::Mixed,
    };
    Plan {
        seed,
        nodes,
        faults_end: 8 * SECOND,
        fault_mix,
        defects: Defects::default(),
        fetch_bodies: seed % 2 == 1,
        trace: false,
    }
}

/// The first of `seeds` seeds that violates a rule with this defect; `None` if none does.
pub fn first_detection(case: &DefectCase, seeds: u64) -> Option<Detection> {
    let mut defects = Defects::default();
    (case.inject)(&mut defects);
    (0..seeds).find_map(|seed| {
        let plan = Plan {
            nodes: case.nodes,
            fault_mix: case.fault_mix,
            defects: defects.clone(),
            fetch_bodies: false,
            ..plan(seed)
        };
        // In a debug build, an assertion of the register may fail before the monitor detects a violation.
        let violation = match std::panic::catch_unwind(|| simulate(&plan)) {
            Ok(result) => result.err()?.violation,
            Err(_) => Violation("an assertion of the register failed".to_owned()),
        };
        Some(Detection { seed, violation })
    })
}
