//! Counts the messages and stores of a change and a read in groups of 3, 5 and 7 real registers without faults.
//!
//! `cargo run --release -p sparrouter-consensus --example messages`
use sparrouter_consensus::{Action, Applied, Machine, Member, Record, Register, SECOND, Settings};

/// A state machine in which each change replaces the body.
struct Overwrite;

impl Machine for Overwrite {
    fn apply(&self, _body: &[u8], change: &[u8]) -> Applied {
        Applied::Changed {
            body: change.to_vec(),
            answer: Vec::new(),
        }
    }
}

#[derive(Default)]
struct Counts {
    messages: usize,
    stores: usize,
}

fn member(node: usize) -> Member {
    Member {
        disk_id: node as u64 + 1,
        name: format!("node-{node}"),
        address: format!("10.0.0.{node}:7360"),
    }
}

fn group(size: usize) -> Vec<Register<Overwrite>> {
    let record = Record::bootstrap((0..size).map(member).collect(), Vec::new()).encode();
    let start = |node| {
        let rng = fastrand::Rng::with_seed(node as u64);
        let settings = Settings::default();
        Register::new(7, member(node), Some(&record), Overwrite, rng, settings, 0)
            .expect("a valid record")
    };
    (0..size).map(start).collect()
}

/// Carries out all actions without delay until no action is pending.
fn run_to_quiescence(nodes: &mut [Register<Overwrite>]) -> Counts {
    let mut counts = Counts::default();
    loop {
        let mut idle = true;
        for node in 0..nodes.len() {
            for action in nodes[node].take_actions() {
                idle = false;
                match action {
                    Action::Send { to, message } => {
                        counts.messages += 1;
                        nodes[to.disk_id as usize - 1].handle(member(node), message, 0);
                    }
                    Action::Store { token, .. } => {
                        counts.stores += 1;
                        nodes[node].stored(token, true, 0);
                    }
                    Action::Chosen(_) | Action::Completed { .. } => {}
                }
            }
        }
        if idle {
            return counts;
        }
    }
}

fn main() {
    println!(
        "| members | messages of the first change | next change | read | stores of the first, next change |"
    );
    println!("| --- | --- | --- | --- | --- |");
    for size in [3, 5, 7] {
        let mut nodes = group(size);
        nodes[0].propose(1, b"a".to_vec(), SECOND, 0);
        let first = run_to_quiescence(&mut nodes);
        nodes[0].propose(2, b"b".to_vec(), SECOND, 0);
        let next = run_to_quiescence(&mut nodes);
        nodes[1].read(3, SECOND, 0);
        let read = run_to_quiescence(&mut nodes);
        println!(
            "| {size} | {} | {} | {} | {}, {} |",
            first.messages, next.messages, read.messages, first.stores, next.stores
        );
    }
}
