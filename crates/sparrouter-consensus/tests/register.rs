//! The calls of a few registers, with messages and stores carried out by the test.
use sparrouter_consensus::message::{Message, RejectReason};
use sparrouter_consensus::{
    Action, Applied, Machine, Member, Outcome, ProposalNumber, Record, Register, Rejection, SECOND,
    Settings,
};
use std::collections::VecDeque;

/// A body that is overwritten by `new` where it is `old`.
struct Swap;

impl Machine for Swap {
    fn apply(&self, body: &[u8], change: &[u8]) -> Applied {
        let (old, new) = change.split_at(change.len() / 2);
        match body == old {
            true => Applied::Changed {
                body: new.to_vec(),
                answer: b"done".to_vec(),
            },
            false => Applied::Unchanged {
                answer: b"other".to_vec(),
            },
        }
    }
}

fn member(n: u64) -> Member {
    Member {
        disk_id: n,
        name: format!("node-{n}"),
        address: format!("10.0.0.{n}:7360"),
    }
}

fn register(n: u64, group: u64) -> Register<Swap> {
    let record = Record::bootstrap((1..=group).map(member).collect(), b"a".to_vec()).encode();
    let rng = fastrand::Rng::with_seed(n);
    Register::new(
        7,
        member(n),
        Some(&record),
        Swap,
        rng,
        Settings::default(),
        0,
    )
    .unwrap()
}

/// What the registers did until nothing was left to do.
#[derive(Default)]
struct Activity {
    completed: Vec<(u64, Outcome)>,
    chosen_slots: Vec<u64>,
    stores: usize,
}

/// Carries all messages and stores out until nothing is left; nodes that are missing in `nodes` receive nothing.
fn run_to_quiescence(nodes: &mut [Register<Swap>], now: u64) -> Activity {
    let mut activity = Activity::default();
    loop {
        let mut is_quiet = true;
        let mut messages: VecDeque<(Member, Member, Message)> = VecDeque::new();
        for (index, node) in nodes.iter_mut().enumerate() {
            for action in node.take_actions() {
                is_quiet = false;
                match action {
                    Action::Send { to, message } => {
                        messages.push_back((member(index as u64 + 1), to, message))
                    }
                    Action::Store { token, .. } => {
                        activity.stores += 1;
                        node.stored(token, true, now);
                    }
                    Action::Chosen(state) => activity.chosen_slots.push(state.slot),
                    Action::Completed { op, outcome } => activity.completed.push((op, outcome)),
                }
            }
        }
        for (from, to, message) in messages {
            let message = Message::decode(&message.encode(), 1 << 20).unwrap();
            if let Some(node) = nodes.get_mut(to.disk_id as usize - 1) {
                node.handle(from, message, now);
            }
        }
        if is_quiet {
            return activity;
        }
    }
}

#[test]
fn given_three_nodes_when_one_proposes_then_all_publish_and_the_caller_is_answered() {
    let mut nodes: Vec<_> = (1..=3).map(|n| register(n, 3)).collect();
    nodes[0].propose(1, b"ab".to_vec(), SECOND, 0);
    let activity = run_to_quiescence(&mut nodes, 1);
    assert_eq!(
        activity.completed,
        [(1, Outcome::Answered(b"done".to_vec()))]
    );
    assert!(nodes.iter().all(|n| n.chosen().unwrap().body == b"b"));
    nodes[1].propose(2, b"ac".to_vec(), SECOND, 2);
    assert_eq!(
        run_to_quiescence(&mut nodes, 3).completed,
        [(2, Outcome::Answered(b"other".to_vec()))]
    );
}

#[test]
fn given_a_proposer_that_leads_when_it_proposes_again_then_one_vote_and_one_store_a_node_do() {
    let mut nodes: Vec<_> = (1..=3).map(|n| register(n, 3)).collect();
    nodes[0].propose(1, b"ab".to_vec(), SECOND, 0);
    run_to_quiescence(&mut nodes, 1);
    nodes[0].propose(2, b"bc".to_vec(), SECOND, 2);
    let activity = run_to_quiescence(&mut nodes, 3);
    assert_eq!((activity.stores, activity.chosen_slots), (3, vec![2, 2, 2]));
}

#[test]
fn given_a_group_that_agrees_when_read_then_nothing_is_stored() {
    let mut nodes: Vec<_> = (1..=3).map(|n| register(n, 3)).collect();
    nodes[2].read(1, SECOND, 0);
    let activity = run_to_quiescence(&mut nodes, 1);
    assert_eq!(activity.completed, [(1, Outcome::Answered(b"a".to_vec()))]);
    assert_eq!(activity.stores, 0);
}

#[test]
fn given_a_minority_when_it_proposes_then_it_is_refused_only_if_no_vote_was_asked_for() {
    let mut nodes: Vec<_> = (1..=3).map(|n| register(n, 3)).collect();
    nodes[0].propose(1, b"ab".to_vec(), SECOND, 0);
    run_to_quiescence(&mut nodes, 1);
    let mut alone = nodes.drain(..1).collect::<Vec<_>>();
    alone[0].propose(2, b"bc".to_vec(), SECOND, 2);
    run_to_quiescence(&mut alone, 3);
    alone[0].tick(SECOND);
    assert_eq!(
        run_to_quiescence(&mut alone, SECOND).completed,
        [(2, Outcome::Unknown)]
    );
    alone[0].propose(3, b"bd".to_vec(), 3 * SECOND, 2 * SECOND);
    run_to_quiescence(&mut alone, 2 * SECOND);
    alone[0].tick(3 * SECOND);
    assert_eq!(
        run_to_quiescence(&mut alone, 3 * SECOND).completed,
        [(3, Outcome::Rejected(Rejection::NoQuorum))]
    );
}

#[test]
fn given_too_many_or_too_large_calls_then_they_are_refused_at_once() {
    let mut node = vec![register(1, 3)];
    for op in 0..=Settings::default().max_pending as u64 {
        node[0].propose(op, b"ab".to_vec(), SECOND, 0);
    }
    assert_eq!(
        run_to_quiescence(&mut node, 0).completed,
        [(256, Outcome::Rejected(Rejection::Busy))]
    );
    node[0].propose(
        999,
        vec![0; Settings::default().max_change_bytes + 1],
        SECOND,
        0,
    );
    assert_eq!(
        run_to_quiescence(&mut node, 0).completed,
        [(999, Outcome::Rejected(Rejection::TooLarge))]
    );
}

/// The token of the store among these actions.
fn store_token(actions: Vec<Action>) -> u64 {
    let token = actions.into_iter().find_map(|action| match action {
        Action::Store { token, .. } => Some(token),
        _ => None,
    });
    token.expect("a store")
}

/// The only message among these actions, which have nothing else.
fn only_message(actions: &[Action]) -> Message {
    match actions {
        [Action::Send { message, .. }] => message.clone(),
        _ => panic!("{actions:?}"),
    }
}

#[test]
fn given_a_store_that_fails_when_a_promise_waits_for_it_then_it_is_rejected_with_its_reason_and_the_store_is_repeated()
 {
    let mut node = register(1, 3);
    let number = ProposalNumber {
        term: 5,
        replica: 2,
        incarnation: 9,
    };
    let known = None;
    let prepare = Message::Prepare { number, known };
    node.handle(member(2), prepare.clone(), 0);
    let actions = node.take_actions();
    assert!(matches!(actions[0], Action::Store { .. }), "{actions:?}");
    let token = store_token(actions);
    // What was on disk before can be asked for meanwhile.
    node.handle(member(3), Message::Query { nonce: 3, known }, 0);
    let report = only_message(&node.take_actions());
    assert!(matches!(report, Message::Report { nonce: 3, .. }));
    node.stored(token, false, 1);
    let reject = only_message(&node.take_actions());
    assert!(matches!(
        reject,
        Message::Reject {
            reason: RejectReason::Disk,
            ..
        }
    ));
    node.handle(member(2), prepare, 2);
    assert_eq!(node.take_actions(), []);
    node.tick(node.next_wake().unwrap());
    let token = store_token(node.take_actions());
    node.stored(token, true, SECOND);
    let reply = only_message(&node.take_actions());
    assert!(matches!(reply, Message::Promise { .. }), "{reply:?}");
}
