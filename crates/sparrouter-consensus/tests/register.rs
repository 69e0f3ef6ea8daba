//! Tests calls of a few registers. The tests deliver the messages and complete the stores themselves.
use sparrouter_consensus::message::{Message, RejectReason};
use sparrouter_consensus::{
    Action, Applied, Machine, Member, Outcome, ProposalNumber, Record, Register, Rejection, SECOND,
    Settings,
};
use std::collections::VecDeque;

/// A compare-and-set register: replaces the body by `new` if the body is `old`.
struct CompareAndSet;

impl Machine for CompareAndSet {
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

fn register(n: u64, group: u64) -> Register<CompareAndSet> {
    let record = Record::bootstrap((1..=group).map(member).collect(), b"a".to_vec()).encode();
    let rng = fastrand::Rng::with_seed(n);
    Register::new(
        7,
        member(n),
        Some(&record),
        CompareAndSet,
        rng,
        Settings::default(),
        0,
    )
    .unwrap()
}

/// The results of running the registers until no action is pending.
#[derive(Default)]
struct Activity {
    completed: Vec<(u64, Outcome)>,
    chosen_slots: Vec<u64>,
    stores: usize,
}

/// Carries out all messages and stores until no action is pending. Messages to nodes that are not in `nodes` are lost.
fn run_to_quiescence(nodes: &mut [Register<CompareAndSet>], now: u64) -> Activity {
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
fn given_three_nodes_when_one_proposes_then_all_learn_the_state_and_the_caller_is_answered() {
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
fn given_a_prepared_number_when_the_proposer_proposes_again_then_each_node_stores_once() {
    let mut nodes: Vec<_> = (1..=3).map(|n| register(n, 3)).collect();
    nodes[0].propose(1, b"ab".to_vec(), SECOND, 0);
    run_to_quiescence(&mut nodes, 1);
    nodes[0].propose(2, b"bc".to_vec(), SECOND, 2);
    let activity = run_to_quiescence(&mut nodes, 3);
    assert_eq!((activity.stores, activity.chosen_slots), (3, vec![2, 2, 2]));
}

#[test]
fn given_members_with_the_same_vote_when_read_then_nothing_is_stored() {
    let mut nodes: Vec<_> = (1..=3).map(|n| register(n, 3)).collect();
    nodes[2].read(1, SECOND, 0);
    let activity = run_to_quiescence(&mut nodes, 1);
    assert_eq!(activity.completed, [(1, Outcome::Answered(b"a".to_vec()))]);
    assert_eq!(activity.stores, 0);
}

#[test]
fn given_no_quorum_when_a_change_expires_then_it_is_rejected_only_if_it_was_never_proposed() {
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
fn given_too_many_or_too_large_changes_when_proposed_then_they_are_rejected_at_once() {
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

/// The token of the store that these actions contain.
fn store_token(actions: Vec<Action>) -> u64 {
    let token = actions.into_iter().find_map(|action| match action {
        Action::Store { token, .. } => Some(token),
        _ => None,
    });
    token.expect("a Store action")
}

/// The message of the only action.
fn only_message(actions: &[Action]) -> Message {
    match actions {
        [Action::Send { message, .. }] => message.clone(),
        _ => panic!("{actions:?}"),
    }
}

#[test]
fn given_a_promise_that_waits_for_a_store_when_the_store_fails_then_it_is_rejected_and_the_store_is_retried()
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
    // A query is answered from the record on disk while the store is in flight.
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
