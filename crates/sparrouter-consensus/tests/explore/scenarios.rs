//! The scopes that are explored: those of the sound code, and for each injected defect one that finds it.
use super::scope::{Call, Scope, Swap};
use super::step::Step;
use super::system::System;
use sparrouter_consensus::Defects;

const NO_VIOLATION_YET: &str = "no rule is broken before the search begins";

/// What happens before the search begins, for violations that lie too deep from the first state.
#[derive(Clone, Copy, Debug)]
pub enum Preparation {
    /// These calls are made, and all messages and stores among these nodes are carried out.
    Calls {
        calls: &'static [usize],
        among: &'static [usize],
    },
    /// The proposer of the scope's swap observes the nodes and asks the candidate, and all messages and stores among these
    /// nodes are carried out: a node joins only once its own disk has the group's state.
    ConfirmCandidate { among: &'static [usize] },
    /// All messages in flight are lost.
    Loss,
    /// The node restarts; what it was storing is lost.
    Crash { node: usize },
    /// The node restarts with an empty disk.
    Wipe { node: usize },
    /// The store in flight at a node ends.
    Sync { node: usize },
    /// One message of this link arrives; there must be just one.
    Deliver { from: usize, to: usize },
}

/// A scope with what comes before it.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub name: &'static str,
    pub scope: Scope,
    pub preparations: &'static [Preparation],
    /// Depth to which the test explores the sound code, or within which the defect is found.
    pub depth: usize,
}

impl Scenario {
    /// The state in which the search begins.
    ///
    /// # Panics
    /// If a rule is broken on the way there.
    pub fn root(&self) -> System {
        let mut system = System::new(self.scope.clone());
        for preparation in self.preparations {
            system = prepare(system, *preparation);
        }
        system
    }

    /// The same with the defect taken out.
    pub fn sound(&self) -> Scenario {
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
            system = all_steps_among(step(system, Step::Swap), among);
            system.allow_another_swap();
        }
    }
    system
}

/// Node 0 has promises of itself and of node 2, and asks for acceptance.
const PREPARED: [Preparation; 4] = [
    ACCEPTED_ALONE[0],
    ACCEPTED_ALONE[1],
    ACCEPTED_ALONE[2],
    ACCEPTED_ALONE[3],
];

/// Node 0 has its change accepted by nobody but itself.
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

/// Then node 1 has another one chosen with node 2, and node 0 restarts.
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

/// Node 2 accepts the change of node 0, which learns nothing of it; node 1 finds that vote and has it chosen.
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

/// Node 0 reads, so that it knows the group.
const GROUP_KNOWN: Preparation = Preparation::Calls {
    calls: &[0],
    among: &[0, 1, 2],
};

/// Then the disk of a spare, node 3, has confirmed that it holds the group's state.
const SPARE_CONFIRMED: [Preparation; 2] = [
    GROUP_KNOWN,
    Preparation::ConfirmCandidate {
        among: &[0, 1, 2, 3],
    },
];

/// Then node 2 has lost its disk, and the new one has confirmed that it holds the group's state.
const WIPED_CONFIRMED: [Preparation; 3] = [
    GROUP_KNOWN,
    Preparation::Wipe { node: 2 },
    Preparation::ConfirmCandidate { among: &[0, 1, 2] },
];

/// Two proposers of competing changes.
fn race() -> Vec<Call> {
    vec![Call::change(0, b'a', b'b'), Call::change(1, b'a', b'c')]
}

fn race_and_read() -> Vec<Call> {
    let mut calls = race();
    calls.push(Call::read(2));
    calls
}

fn sound(
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

/// What is explored of the sound code; the depth is the test's, the example goes deeper.
#[allow(clippy::too_many_lines, reason = "a table of scopes")]
pub fn all_sound() -> Vec<Scenario> {
    let group = Scope {
        calls: race_and_read(),
        ..Scope::calm(3)
    };
    let swap = Swap {
        proposer: 0,
        replaced: 2,
    };
    let swapped = Scope {
        calls: vec![Call::read(0), Call::change(1, b'a', b'b'), Call::read(0)],
        swap: Some(swap),
        ..Scope::calm(3)
    };
    vec![
        sound(
            "a proposer and a read",
            10,
            &[],
            Scope {
                calls: vec![Call::change(0, b'a', b'b'), Call::read(2)],
                ..Scope::calm(3)
            },
        ),
        sound(
            "a proposer and a crash",
            20,
            &[],
            Scope {
                calls: vec![Call::change(0, b'a', b'b')],
                crashes: 1,
                ..Scope::calm(3)
            },
        ),
        sound(
            "two proposers",
            10,
            &[],
            Scope {
                calls: race(),
                ..Scope::calm(3)
            },
        ),
        sound("two proposers, a read", 8, &[], group.clone()),
        sound(
            "and a crash",
            7,
            &[],
            Scope {
                crashes: 1,
                ..group.clone()
            },
        ),
        sound(
            "and two timers",
            6,
            &[],
            Scope {
                timers: 2,
                ..group.clone()
            },
        ),
        sound(
            "and a failing store",
            7,
            &[],
            Scope {
                store_failures: 1,
                ..group.clone()
            },
        ),
        sound(
            "and a message twice",
            7,
            &[],
            Scope {
                duplicates: 1,
                ..group.clone()
            },
        ),
        sound(
            "a proposer, a read, a swap for a spare",
            7,
            &SPARE_CONFIRMED,
            Scope {
                spares: 1,
                ..swapped.clone()
            },
        ),
        sound(
            "a proposer, a read, a wipe and its swap",
            7,
            &WIPED_CONFIRMED,
            Scope {
                wipes: 1,
                ..swapped
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

/// Each injected defect with a scope that finds it.
#[allow(clippy::too_many_lines, reason = "a table of defects")]
pub fn all_defects() -> Vec<Scenario> {
    let race_of = |members| Scope {
        calls: race(),
        ..Scope::calm(members)
    };
    let swap_of_spare = Scope {
        spares: 1,
        swap: Some(Swap {
            proposer: 0,
            replaced: 2,
        }),
        calls: vec![Call::read(0)],
        ..Scope::calm(3)
    };
    let one_change_and_read = Scope {
        calls: vec![Call::change(0, b'a', b'b'), Call::read(2)],
        ..Scope::calm(3)
    };
    let crash_once = Scope {
        crashes: 1,
        ..race_of(3)
    };
    let wipe_once = Scope {
        wipes: 1,
        ..race_of(3)
    };
    let later_call = Scope {
        calls: vec![
            Call::change(0, b'a', b'b'),
            Call::change(1, b'a', b'c'),
            Call::change(0, b'a', b'd'),
        ],
        ..Scope::calm(3)
    };
    vec![
        with_defect(
            "ack_before_sync",
            8,
            |d| d.ack_before_sync = true,
            &[],
            race_of(3),
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
            race_of(3),
        ),
        with_defect(
            "old_group_only",
            12,
            |d| d.old_group_only = true,
            &SPARE_CONFIRMED,
            swap_of_spare.clone(),
        ),
        with_defect(
            "skip_joint",
            12,
            |d| d.skip_joint = true,
            &SPARE_CONFIRMED,
            swap_of_spare,
        ),
        with_defect(
            "evaluate_on_unchosen",
            14,
            |d| d.evaluate_on_unchosen = true,
            &[],
            race_of(3),
        ),
        with_defect(
            "answer_before_chosen",
            8,
            |d| d.answer_before_chosen = true,
            &[],
            race_of(3),
        ),
        with_defect(
            "half_is_majority",
            8,
            |d| d.half_is_majority = true,
            &[],
            race_of(2),
        ),
        with_defect(
            "shared_proposal_numbers",
            12,
            |d| d.shared_proposal_numbers = true,
            &[],
            race_of(3),
        ),
        with_defect(
            "publish_accepted",
            8,
            |d| d.publish_accepted = true,
            &[],
            race_of(3),
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
            race_of(3),
        ),
    ]
}
