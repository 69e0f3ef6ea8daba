//! The scenarios to explore: scenarios of the correct code, and one for each injected defect that detects it.
use super::scope::{Call, Replacement, Scope};
use super::step::Step;
use super::system::System;
use sparrouter_consensus::Defects;

const NO_VIOLATION_YET: &str = "no rule is violated before the search begins";

/// A step before the search begins, for violations that are too deep to be found from the initial state.
#[derive(Clone, Copy, Debug)]
pub enum Preparation {
    /// The calls are made, and all messages and stores among the nodes `among` are carried out.
    Calls {
        calls: &'static [usize],
        among: &'static [usize],
    },
    /// The proposer of the scope's replacement observes the nodes and asks the candidate, and all messages and stores
    /// among the nodes `among` are carried out: a node joins only once the group's state is on its own disk.
    ConfirmCandidate { among: &'static [usize] },
    /// All messages in flight are lost.
    Loss,
    /// The node restarts; its store in flight is lost.
    Crash { node: usize },
    /// The node restarts with an empty disk.
    Wipe { node: usize },
    /// The store in flight at a node succeeds.
    Sync { node: usize },
    /// The message in flight from one node to the other arrives. There must be exactly one.
    Deliver { from: usize, to: usize },
}

/// A scope and the steps before the search.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub name: &'static str,
    pub scope: Scope,
    pub preparations: &'static [Preparation],
    /// Depth to which the test explores the correct code, or within which the defect is detected.
    pub depth: usize,
}

impl Scenario {
    /// The state in which the search begins.
    ///
    /// # Panics
    /// If a rule is violated before the search begins.
    pub fn root(&self) -> System {
        let mut system = System::new(self.scope.clone());
        for preparation in self.preparations {
            system = prepare(system, *preparation);
        }
        system
    }

    /// The same scenario without injected defects.
    pub fn without_defects(&self) -> Scenario {
        let scope = Scope {
            defects: Defects::default(),
            ..self.scope.clone()
        };
        Scenario {
            scope,
            ..self.clone()
        }
    }
}

/// Carries out all messages and stores among these nodes.
fn all_steps_among(mut system: System, among: &[usize]) -> System {
    while let Some(next) = system.steps_among(among).first() {
        let after = system.after(*next);
        system = after.expect(NO_VIOLATION_YET);
    }
    system
}

fn prepare(mut system: System, preparation: Preparation) -> System {
    let step = |system: System, step| {
        let next = system.after(step);
        next.expect(NO_VIOLATION_YET)
    };
    match preparation {
        Preparation::Loss => system.lose_messages(),
        Preparation::Crash { node } => {
            let crash = Step::Crash {
                node,
                written: false,
            };
            system = step(system, crash);
        }
        Preparation::Sync { node } => system = step(system, Step::Sync { node }),
        Preparation::Deliver { from, to } => {
            let messages = system.steps_between(from, to);
            assert_eq!(messages.len(), 1, "one message from {from} to {to}");
            system = step(system, messages[0]);
        }
        Preparation::Calls { calls, among } => {
            for &call in calls {
                system = step(system, Step::Call { call });
            }
            system = all_steps_among(system, among);
        }
        Preparation::Wipe { node } => system = step(system, Step::Wipe { node }),
        Preparation::ConfirmCandidate { among } => {
            system = all_steps_among(step(system, Step::ReplaceMember), among);
            system.allow_another_replacement();
        }
    }
    system
}

/// Node 0 has promises from itself and from node 2, and has sent `Accept`.
const PREPARED: [Preparation; 4] = [
    ACCEPTED_ALONE[0],
    ACCEPTED_ALONE[1],
    ACCEPTED_ALONE[2],
    ACCEPTED_ALONE[3],
];

/// Node 0 has proposed a change that only node 0 itself has accepted.
const ACCEPTED_ALONE: [Preparation; 6] = [
    Preparation::Calls {
        calls: &[0],
        among: &[0],
    },
    Preparation::Deliver { from: 0, to: 2 },
    Preparation::Sync { node: 2 },
    Preparation::Deliver { from: 2, to: 0 },
    Preparation::Sync { node: 0 },
    Preparation::Loss,
];

/// As `ACCEPTED_ALONE`; then another change of node 1 is chosen by nodes 1 and 2, and node 0 restarts.
const TWO_VALUES_ACCEPTED: [Preparation; 9] = [
    ACCEPTED_ALONE[0],
    ACCEPTED_ALONE[1],
    ACCEPTED_ALONE[2],
    ACCEPTED_ALONE[3],
    ACCEPTED_ALONE[4],
    ACCEPTED_ALONE[5],
    Preparation::Calls {
        calls: &[1],
        among: &[1, 2],
    },
    Preparation::Loss,
    Preparation::Crash { node: 0 },
];

/// Node 2 accepts a change of node 0, but node 0 doesn't receive the acceptance; node 1 adopts that vote, and it is
/// chosen.
const CHOSEN_BY_ANOTHER: [Preparation; 9] = [
    ACCEPTED_ALONE[0],
    ACCEPTED_ALONE[1],
    ACCEPTED_ALONE[2],
    ACCEPTED_ALONE[3],
    Preparation::Deliver { from: 0, to: 2 },
    Preparation::Sync { node: 2 },
    Preparation::Sync { node: 0 },
    Preparation::Loss,
    Preparation::Calls {
        calls: &[1],
        among: &[1, 2],
    },
];

/// Node 0 performs a read, so that it knows the group.
const GROUP_KNOWN: Preparation = Preparation::Calls {
    calls: &[0],
    among: &[0, 1, 2],
};

/// As `GROUP_KNOWN`; then a spare, node 3, has confirmed that the group's state is on its disk.
const SPARE_CONFIRMED: [Preparation; 2] = [
    GROUP_KNOWN,
    Preparation::ConfirmCandidate {
        among: &[0, 1, 2, 3],
    },
];

/// As `GROUP_KNOWN`; then node 2 has lost its disk and has confirmed that the group's state is on its new disk.
const WIPED_CONFIRMED: [Preparation; 3] = [
    GROUP_KNOWN,
    Preparation::Wipe { node: 2 },
    Preparation::ConfirmCandidate { among: &[0, 1, 2] },
];

/// Competing changes of two proposers.
fn competing_changes() -> Vec<Call> {
    vec![Call::change(0, b'a', b'b'), Call::change(1, b'a', b'c')]
}

fn competing_changes_and_read() -> Vec<Call> {
    let mut calls = competing_changes();
    calls.push(Call::read(2));
    calls
}

fn without_defects(
    name: &'static str,
    depth: usize,
    preparations: &'static [Preparation],
    scope: Scope,
) -> Scenario {
    Scenario {
        name,
        scope,
        preparations,
        depth,
    }
}

/// The scenarios of the correct code, with the depths of the test. The example searches to a greater depth.
#[allow(clippy::too_many_lines, reason = "a table of scopes")]
pub fn all_without_defects() -> Vec<Scenario> {
    let group = Scope {
        calls: competing_changes_and_read(),
        ..Scope::without_faults(3)
    };
    let replacement = Replacement {
        proposer: 0,
        replaced: 2,
    };
    let with_replacement = Scope {
        calls: vec![Call::read(0), Call::change(1, b'a', b'b'), Call::read(0)],
        replacement: Some(replacement),
        ..Scope::without_faults(3)
    };
    vec![
        without_defects(
            "a proposer and a read",
            10,
            &[],
            Scope {
                calls: vec![Call::change(0, b'a', b'b'), Call::read(2)],
                ..Scope::without_faults(3)
            },
        ),
        without_defects(
            "a proposer and a crash",
            20,
            &[],
            Scope {
                calls: vec![Call::change(0, b'a', b'b')],
                crashes: 1,
                ..Scope::without_faults(3)
            },
        ),
        without_defects(
            "two proposers",
            10,
            &[],
            Scope {
                calls: competing_changes(),
                ..Scope::without_faults(3)
            },
        ),
        without_defects("two proposers, a read", 8, &[], group.clone()),
        without_defects(
            "two proposers, a read, a crash",
            7,
            &[],
            Scope {
                crashes: 1,
                ..group.clone()
            },
        ),
        without_defects(
            "two proposers, a read, two timers",
            6,
            &[],
            Scope {
                timers: 2,
                ..group.clone()
            },
        ),
        without_defects(
            "two proposers, a read, a failed store",
            7,
            &[],
            Scope {
                store_failures: 1,
                ..group.clone()
            },
        ),
        without_defects(
            "two proposers, a read, a duplicated message",
            7,
            &[],
            Scope {
                duplicates: 1,
                ..group.clone()
            },
        ),
        without_defects(
            "a proposer, a read, a member replaced by a spare",
            7,
            &SPARE_CONFIRMED,
            Scope {
                spares: 1,
                ..with_replacement.clone()
            },
        ),
        without_defects(
            "a proposer, a read, a wiped member replaced",
            7,
            &WIPED_CONFIRMED,
            Scope {
                wipes: 1,
                ..with_replacement
            },
        ),
    ]
}

fn with_defect(
    name: &'static str,
    depth: usize,
    inject: impl FnOnce(&mut Defects),
    preparations: &'static [Preparation],
    mut scope: Scope,
) -> Scenario {
    inject(&mut scope.defects);
    Scenario {
        name,
        scope,
        preparations,
        depth,
    }
}

/// For each injected defect, a scenario that detects it.
#[allow(clippy::too_many_lines, reason = "a table of defects")]
pub fn all_defects() -> Vec<Scenario> {
    let competing_changes_in = |members| Scope {
        calls: competing_changes(),
        ..Scope::without_faults(members)
    };
    let replacement_by_spare = Scope {
        spares: 1,
        replacement: Some(Replacement {
            proposer: 0,
            replaced: 2,
        }),
        calls: vec![Call::read(0)],
        ..Scope::without_faults(3)
    };
    let one_change_and_read = Scope {
        calls: vec![Call::change(0, b'a', b'b'), Call::read(2)],
        ..Scope::without_faults(3)
    };
    let crash_once = Scope {
        crashes: 1,
        ..competing_changes_in(3)
    };
    let wipe_once = Scope {
        wipes: 1,
        ..competing_changes_in(3)
    };
    let later_call = Scope {
        calls: vec![
            Call::change(0, b'a', b'b'),
            Call::change(1, b'a', b'c'),
            Call::change(0, b'a', b'd'),
        ],
        ..Scope::without_faults(3)
    };
    vec![
        with_defect(
            "ack_before_sync",
            8,
            |d| d.ack_before_sync = true,
            &[],
            competing_changes_in(3),
        ),
        with_defect(
            "promise_not_stored",
            10,
            |d| d.promise_not_stored = true,
            &PREPARED,
            crash_once,
        ),
        with_defect(
            "accept_below_promise",
            12,
            |d| d.accept_below_promise = true,
            &PREPARED,
            competing_changes_in(3),
        ),
        with_defect(
            "old_group_only",
            12,
            |d| d.old_group_only = true,
            &SPARE_CONFIRMED,
            replacement_by_spare.clone(),
        ),
        with_defect(
            "skip_joint",
            12,
            |d| d.skip_joint = true,
            &SPARE_CONFIRMED,
            replacement_by_spare,
        ),
        with_defect(
            "evaluate_on_unchosen",
            14,
            |d| d.evaluate_on_unchosen = true,
            &[],
            competing_changes_in(3),
        ),
        with_defect(
            "answer_before_chosen",
            8,
            |d| d.answer_before_chosen = true,
            &[],
            competing_changes_in(3),
        ),
        with_defect(
            "half_is_majority",
            8,
            |d| d.half_is_majority = true,
            &[],
            competing_changes_in(2),
        ),
        with_defect(
            "shared_proposal_numbers",
            12,
            |d| d.shared_proposal_numbers = true,
            &[],
            competing_changes_in(3),
        ),
        with_defect(
            "publish_accepted",
            8,
            |d| d.publish_accepted = true,
            &[],
            competing_changes_in(3),
        ),
        with_defect(
            "read_locally",
            12,
            |d| d.read_locally = true,
            &[],
            one_change_and_read,
        ),
        with_defect(
            "wiped_disk_keeps_id",
            14,
            |d| d.wiped_disk_keeps_id = true,
            &[
                Preparation::Calls {
                    calls: &[0],
                    among: &[0, 2],
                },
                Preparation::Loss,
            ],
            wipe_once,
        ),
        with_defect(
            "adopt_first_vote",
            10,
            |d| d.adopt_first_vote = true,
            &TWO_VALUES_ACCEPTED,
            later_call,
        ),
        with_defect(
            "forget_sent_proposals",
            12,
            |d| d.forget_sent_proposals = true,
            &CHOSEN_BY_ANOTHER,
            competing_changes_in(3),
        ),
    ]
}
