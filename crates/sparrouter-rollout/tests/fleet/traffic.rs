//! Simulates the traffic of one node.
use super::{Defect, Fleet, FleetFault, Node};
use sparrouter_rollout::report::{BUCKETS, Operation, Report, bucket};
use sparrouter_rollout::{Nanos, SECOND};

/// Behavior of a node in one second. Losses, errors and fetches are fractions of its requests.
#[derive(Default)]
struct Behavior {
    /// Loss for reasons other than the defect.
    other_loss: f64,
    loss: f64,
    second_operation_loss: f64,
    errors: f64,
    /// Fraction of the requests that is fetched from the origin.
    fetched: f64,
    /// Factor of the latency, 1 without a defect.
    latency_factor: f64,
}

fn operation<'a>(report: &'a mut Report, name: &str) -> &'a mut Operation {
    let known = report.operations.iter().position(|o| o.name == name);
    let index = known.unwrap_or_else(|| {
        report.operations.push(Operation {
            name: name.to_string(),
            latency: vec![0; BUCKETS],
            ..Operation::default()
        });
        report.operations.len() - 1
    });
    &mut report.operations[index]
}

impl Node {
    /// Applies the defect, if the node is changed.
    fn apply_defect(&mut self, defect: Defect, age: Nanos, behavior: &mut Behavior) {
        if !self.is_changed {
            return;
        }
        match defect {
            Defect::Slower(fraction) => behavior.latency_factor += fraction,
            Defect::Errors(fraction) => behavior.errors = fraction,
            Defect::SecondOperationWorse(loss) => behavior.second_operation_loss = loss,
            Defect::LeaksMemory => self.report.memory_kib += 400,
            Defect::WorseWhenWarm(after, loss) if age > after => behavior.loss = loss,
            // Moved keys miss at their new cache server until they have been fetched.
            Defect::MovesKeys => {
                behavior.fetched += 0.8 * 0.5f64.powf(age as f64 / (20 * SECOND) as f64);
            }
            _ => {}
        }
    }
}

impl Fleet {
    /// Returns the loss that the defect causes equally at all nodes.
    fn fleet_harm(&self) -> f64 {
        match self.defect {
            Defect::HarmsFleet(loss) => {
                loss * self.changed_nodes() as f64 / self.nodes.len() as f64
            }
            _ => 0.0,
        }
    }

    fn fault_loss(&self) -> f64 {
        let is_active = |fault: &FleetFault| (fault.from..fault.to).contains(&self.now);
        self.fault.filter(is_active).map_or(0.0, |fault| fault.loss)
    }

    fn behavior(&mut self, index: usize) -> Behavior {
        let fleet_harm = self.fleet_harm();
        let fault_loss = self.fault_loss();
        let node = &mut self.nodes[index];
        let age = self.now - node.started_at;
        // A process that has just started loses more, in any version.
        let start_loss = if age < 5 * SECOND { 0.03 } else { 0.0 };
        let mut behavior = Behavior {
            other_loss: node.own_loss + start_loss + fleet_harm + fault_loss,
            fetched: 0.1,
            latency_factor: 1.0,
            ..Behavior::default()
        };
        node.apply_defect(self.defect, age, &mut behavior);
        node.report.uptime_ms = age / 1_000_000;
        node.report.memory_kib = node.report.memory_kib.max(8000);
        node.report.descriptors = 60;
        behavior
    }

    /// Simulates one second of traffic at one node.
    pub(super) fn serve(&mut self, index: usize) {
        let behavior = self.behavior(index);
        let operation_losses = [0.0, behavior.second_operation_loss];
        let operations = ["read", "write"].into_iter().zip(self.requests_per_s);
        for ((name, per_s), operation_loss) in operations.zip(operation_losses) {
            let loss = behavior.other_loss + behavior.loss + operation_loss;
            for _ in 0..self.rng.usize(per_s / 2..=per_s * 3 / 2) {
                self.serve_request(index, name, loss, &behavior);
            }
        }
    }

    fn serve_request(&mut self, index: usize, name: &str, loss: f64, behavior: &Behavior) {
        let rng = &mut self.rng;
        let report = &mut self.nodes[index].report;
        report.forwards += 1;
        report.fetches += u64::from(rng.f64() < behavior.fetched);
        let operation = operation(report, name);
        operation.taken += 1;
        operation.asked += 1.0;
        self.requested += 1.0;
        if rng.f64() < behavior.errors {
            operation.errored += 1;
            self.lost += 1.0;
            return;
        }
        if rng.f64() < loss {
            operation.throttled += 1;
            self.lost += 1.0;
            return;
        }
        operation.succeeded += 1;
        operation.in_time += 1.0;
        let ms = behavior.latency_factor * 40.0 * (-rng.f64().max(1e-9).ln());
        operation.latency[bucket((ms * 1000.0) as u64)] += 1;
    }
}
