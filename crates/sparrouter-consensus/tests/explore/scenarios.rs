//! The scopes that are explored: those of the sound code, and for each planted defect one that finds it.
use super::scope::{Call, Scope, Swap};
use super::system::{Step, System};
use sparrouter_consensus::Defects;

/// What happens before the search begins, for breaches that lie too deep from the first state.
#[derive(Clone, Copy, Debug)]
pub enum Before {
    /// These calls are made, and these nodes say and store all they want among themselves.
    Calls {
        calls: &'static [usize],
        among: &'static [usize],
    },
    /// The proposer of the scope's swap looks around and asks the candidate, and these nodes say and store all they want
    /// among themselves: a node joins only once its own disk holds the group's state.
    CandidateAsked { among: &'static [usize] },
    /// All messages under way are lost.
    Loss,
    /// The node restarts; what it was storing is lost.
    Crash { node: usize },
    /// The node restarts with an empty disk.
    Wipe { node: usize },
    /// The store under way at a node ends.
    Sync { node: usize },
    /// One message of this link arrives; there must be just one.
    Deliver { from: usize, to: usize },
}

/// A scope with what comes before it.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub name: &'static str,
    pub scope: Scope,
    pub before: &'static [Before],
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
        for before in self.before {
            system = played(system, *before);
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

/// Everything that these nodes say and store among themselves.
fn all_steps_among(mut system: System, among: &[usize]) -> System {
    while let Some(next) = system.steps_among(among).first() {
        let after = system.after(*next);
        system = after.expect("nothing is broken before the search begins");
    }
    system
}

fn played(mut system: System, before: Before) -> System {
    let step = |system: System, step| {
        let next = system.after(step);
        next.expect("nothing is broken before the search begins")
    };
    match before {
        Before::Loss => system.lose_messages(),
        Before::Crash { node } => {
            let crash = Step::Crash {
                node,
                written: false,
            };
            system = step(system, crash);
        }
        Before::Sync { node } => system = step(system, Step::Sync { node }),
        Before::Deliver { from, to } => {
            let messages = system.steps_between(from, to);
            assert_eq!(messages.len(), 1, "one message from {from} to {to}");
            system = step(system, messages[0]);
        }
        Before::Calls { calls, among } => {
            for &call in calls {
                system = step(system, Step::Call { call });
            }
            system = all_steps_among(system, among);
        }
        Before::Wipe { node } => system = step(system, Step::Wipe { node }),
        Before::CandidateAsked { among } => {
            system = all_steps_among(step(system, Step::Swap), among);
            system.allow_another_swap();
        }
    }
    system
}

/// Node 0 has the promises of itself and of node 2, and asks for votes.
const PREPARED: [Before; 4] = [
    VOTED_ALONE[0],
    VOTED_ALONE[1],
    VOTED_ALONE[2],
    VOTED_ALONE[3],
];

/// Node 0 has its change voted for by nobody but itself.
const VOTED_ALONE: [Before; 6] = [
    Before::Calls {
        calls: &[0],
        among: &[0],
    },
    Before::Deliver { from: 0, to: 2 },
    Before::Sync { node: 2 },
    Before::Deliver { from: 2, to: 0 },
    Before::Sync { node: 0 },
    Before::Loss,
];

/// Then node 1 has another one chosen with node 2, and node 0 starts anew.
const TWO_VALUES_VOTED: [Before; 9] = [
    VOTED_ALONE[0],
    VOTED_ALONE[1],
    VOTED_ALONE[2],
    VOTED_ALONE[3],
    VOTED_ALONE[4],
    VOTED_ALONE[5],
    Before::Calls {
        calls: &[1],
        among: &[1, 2],
    },
    Before::Loss,
    Before::Crash { node: 0 },
];

/// Node 2 votes for the change of node 0, which hears nothing of it; node 1 finds that vote and has it chosen.
const CHOSEN_BY_ANOTHER: [Before; 9] = [
    VOTED_ALONE[0],
    VOTED_ALONE[1],
    VOTED_ALONE[2],
    VOTED_ALONE[3],
    Before::Deliver { from: 0, to: 2 },
    Before::Sync { node: 2 },
    Before::Sync { node: 0 },
    Before::Loss,
    Before::Calls {
        calls: &[1],
        among: &[1, 2],
    },
];

/// Node 0 reads, so that it knows the group.
const GROUP_KNOWN: Before = Before::Calls {
    calls: &[0],
    among: &[0, 1, 2],
};

/// Then the disk of a spare, node 3, has confirmed that it holds the group's state.
const SPARE_CONFIRMED: [Before; 2] = [
    GROUP_KNOWN,
    Before::CandidateAsked {
        among: &[0, 1, 2, 3],
    },
];

/// Then node 2 has lost its disk, and the new one has confirmed that it holds the group's state.
const WIPED_CONFIRMED: [Before; 3] = [
    GROUP_KNOWN,
    Before::Wipe { node: 2 },
    Before::CandidateAsked { among: &[0, 1, 2] },
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

fn sound(name: &'static str, depth: usize, before: &'static [Before], scope: Scope) -> Scenario {
    Scenario {
        name,
        scope,
        before,
        depth,
    }
}

/// What is explored of the sound code; the depth is the test's, the example goes deeper.
pub fn all_sound() -> Vec<Scenario> {
    let group = Scope {
        calls: race_and_read(),
        ..Scope::calm(3)
    };
    let swap = Swap { by: 0, leaves: 2 };
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

fn planted(
    name: &'static str,
    depth: usize,
    plant: impl FnOnce(&mut Defects),
    before: &'static [Before],
    mut scope: Scope,
) -> Scenario {
    plant(&mut scope.defects);
    Scenario {
        name,
        scope,
        before,
        depth,
    }
}

/// Each planted defect with a scope that finds it.
pub fn all_planted() -> Vec<Scenario> {
    let race_of = |members| Scope {
        calls: race(),
        ..Scope::calm(members)
    };
    let swap_of_spare = Scope {
        spares: 1,
        swap: Some(Swap { by: 0, leaves: 2 }),
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
        planted(
            "ack_before_sync",
            8,
            |d| d.ack_before_sync = true,
            &[],
            race_of(3),
        ),
        planted(
            "promise_not_stored",
            10,
            |d| d.promise_not_stored = true,
            &PREPARED,
            crash_once,
        ),
        planted(
            "accept_below_promise",
            12,
            |d| d.accept_below_promise = true,
            &PREPARED,
            race_of(3),
        ),
        planted(
            "old_group_only",
            12,
            |d| d.old_group_only = true,
            &SPARE_CONFIRMED,
            swap_of_spare.clone(),
        ),
        planted(
            "skip_joint",
            12,
            |d| d.skip_joint = true,
            &SPARE_CONFIRMED,
            swap_of_spare,
        ),
        planted(
            "judge_unchosen",
            14,
            |d| d.judge_unchosen = true,
            &[],
            race_of(3),
        ),
        planted(
            "answer_unchosen",
            8,
            |d| d.answer_unchosen = true,
            &[],
            race_of(3),
        ),
        planted(
            "half_is_majority",
            8,
            |d| d.half_is_majority = true,
            &[],
            race_of(2),
        ),
        planted(
            "ballots_shared",
            12,
            |d| d.ballots_shared = true,
            &[],
            race_of(3),
        ),
        planted(
            "publish_accepted",
            8,
            |d| d.publish_accepted = true,
            &[],
            race_of(3),
        ),
        planted(
            "read_locally",
            12,
            |d| d.read_locally = true,
            &[],
            one_change_and_read,
        ),
        planted(
            "wiped_keeps_id",
            14,
            |d| d.wiped_keeps_id = true,
            &[
                Before::Calls {
                    calls: &[0],
                    among: &[0, 2],
                },
                Before::Loss,
            ],
            wipe_once,
        ),
        planted(
            "any_promise",
            10,
            |d| d.any_promise = true,
            &TWO_VALUES_VOTED,
            later_call,
        ),
        planted(
            "forget_sent",
            12,
            |d| d.forget_sent = true,
            &CHOSEN_BY_ANOTHER,
            race_of(3),
        ),
    ]
}
