//! What one node's work costs at 10, 100, 300 and 1,000 nodes, and how it grows:
//! `cargo run --release -p sparrouter-simulation --example node_work`.
use sparrouter_simulation::node_work::{Cost, NodeCost, measure};

const SIZES: [usize; 4] = [10, 100, 300, 1_000];

type Step = (&'static str, fn(&NodeCost) -> Cost);

const STEPS: [Step; 5] = [
    ("a poll with one server", |work| work.server_poll),
    ("a poll with one node", |work| work.node_poll),
    ("an event", |work| work.event),
    ("a request", |work| work.request),
    ("10 s at rest", |work| work.idle_10s),
];

fn main() {
    let all: Vec<NodeCost> = SIZES.into_iter().map(measure).collect();
    println!(
        "membership records / server records visited / microseconds, and the slope of time from 30 % to 100 % of the last size"
    );
    for (name, cost) in STEPS {
        print!("{name:24}");
        for work in &all {
            let cost = cost(work);
            print!(
                " | {:4}: {:7} {:7} {:9.1}",
                work.nodes, cost.membership_records, cost.server_records, cost.microseconds
            );
        }
        let time = |index: usize| cost(&all[index]).microseconds;
        let sizes = SIZES[3] as f64 / SIZES[2] as f64;
        println!(" | slope {:.2}", (time(3) / time(2)).ln() / sizes.ln());
    }
}
