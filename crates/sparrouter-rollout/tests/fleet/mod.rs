//! Simulated fleet: nodes report each second, run commands, and have a defect if they run the new generation.
#![allow(dead_code, reason = "the tests and the example use different parts")]
mod traffic;

use sparrouter_rollout::controller::*;
use sparrouter_rollout::plan::Plan;
use sparrouter_rollout::record::{CommandKind, Entry, Outcome};
use sparrouter_rollout::report::Report;
use sparrouter_rollout::{Nanos, SECOND};

/// Defect of the new version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Defect {
    None,
    /// The process crashes after this time and is restarted by its supervisor.
    CrashesAfter(Nanos),
    /// The process crashes after this time and is not restarted.
    DiesAfter(Nanos),
    NeverReady,
    /// Latency is higher by this fraction.
    Slower(f64),
    /// This fraction of the requests is answered with an error.
    Errors(f64),
    /// This fraction of the requests of the second operation is lost.
    SecondOperationWorse(f64),
    LeaksMemory,
    /// Keys are mapped to other cache servers.
    MovesKeys,
    /// All nodes lose requests equally, proportionally to the changed nodes: this fraction once all are changed.
    HarmsFleet(f64),
    /// This fraction of the requests is lost once the process has run for this time.
    WorseWhenWarm(Nanos, f64),
}

/// A fault unrelated to the change: between `from` and `to` all nodes additionally lose this fraction of the requests.
#[derive(Clone, Copy)]
pub struct FleetFault {
    pub from: Nanos,
    pub to: Nanos,
    pub loss: f64,
}

/// A network partition: between `from` and `to` the reports of the nodes with an index below `nodes` do not arrive.
#[derive(Clone, Copy)]
pub struct Partition {
    pub from: Nanos,
    pub to: Nanos,
    pub nodes: usize,
}

pub fn plan(nodes: usize, zones: usize) -> Plan {
    let mut text = r#"
        name = "model"
        change = { generation = "new", from = "old" }
        stages = { parts = [0.07, 0.25, 0.5, 1.0], hold_s = 40, longest_s = 120, command_s = 20, down_at_once = 2 }
    "#
    .to_string();
    for node in 0..nodes {
        text += &format!(
            "[[node]]\nname = \"n{node}\"\nzone = \"z{}\"\nchange = [\"c\"]\nback = [\"b\"]\nrestart = [\"r\"]\nreport = \"x\"\n",
            node % zones
        );
    }
    Plan::read(&text).expect("a valid plan")
}

/// A command in progress at a node.
#[derive(Clone, Copy)]
struct RunningCommand {
    command: CommandKind,
    ends_at: Nanos,
}

pub struct Node {
    pub is_changed: bool,
    pub started_at: Nanos,
    pub report: Report,
    pub is_dead: bool,
    /// Whether all commands of the node fail.
    pub commands_fail: bool,
    /// Fraction of the requests that the node loses in every version.
    own_loss: f64,
    running: Option<RunningCommand>,
}

pub struct Fleet {
    pub plan: Plan,
    pub nodes: Vec<Node>,
    pub now: Nanos,
    pub defect: Defect,
    pub fault: Option<FleetFault>,
    pub partition: Option<Partition>,
    /// Nodes whose reports never arrive.
    pub unreported: Vec<usize>,
    /// Mean requests per second and node, of each of the two operations.
    pub requests_per_s: [usize; 2],
    pub log: Vec<Entry>,
    pub printed: Vec<String>,
    pub observations: Vec<Observation>,
    /// Billed value of all requests.
    pub requested: f64,
    /// Billed value of the lost requests.
    pub lost: f64,
    /// Maximum number of nodes at which a command was in progress at the same time.
    pub max_down: usize,
    /// Number of actions after which the controller is killed once, before the next action is logged or executed.
    pub kill_after: Option<usize>,
    action_count: usize,
    rng: fastrand::Rng,
    events: Vec<Event>,
}

fn report(name: String, generation: &str, placement: &str) -> Report {
    Report {
        name,
        generation: generation.into(),
        placement: placement.into(),
        ..Report::default()
    }
}

impl Fleet {
    pub fn new(plan: Plan, defect: Defect, seed: u64) -> Fleet {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut node = |name: &String| Node {
            is_changed: false,
            started_at: 0,
            report: report(name.clone(), "old", "1"),
            own_loss: 0.02 * rng.f64(),
            running: None,
            is_dead: false,
            commands_fail: false,
        };
        Fleet {
            nodes: plan.nodes.iter().map(|n| node(&n.name)).collect(),
            plan,
            now: 100 * SECOND,
            defect,
            fault: None,
            unreported: vec![],
            partition: None,
            requests_per_s: [60, 8],
            rng,
            log: vec![],
            printed: vec![],
            observations: vec![],
            requested: 0.0,
            lost: 0.0,
            max_down: 0,
            kill_after: None,
            action_count: 0,
            events: vec![],
        }
    }

    fn start(&mut self, index: usize, is_changed: bool) {
        let node = &mut self.nodes[index];
        node.is_changed = is_changed;
        node.started_at = self.now;
        node.is_dead = false;
        let generation = if is_changed { "new" } else { "old" };
        let moves_keys = is_changed && self.defect == Defect::MovesKeys;
        let placement = if moves_keys { "2" } else { "1" };
        node.report = report(node.report.name.clone(), generation, placement);
    }

    /// Crashes a node if the defect requires it now.
    fn apply_crash(&mut self, index: usize) {
        let node = &self.nodes[index];
        let age = self.now.saturating_sub(node.started_at);
        match self.defect {
            Defect::CrashesAfter(time) if node.is_changed && !node.is_dead && age >= time => {
                self.start(index, true);
            }
            Defect::DiesAfter(time) if node.is_changed && age >= time => {
                self.nodes[index].is_dead = true;
            }
            _ => {}
        }
    }

    fn is_partitioned(&self, index: usize) -> bool {
        let is_active = |p: &Partition| (p.from..p.to).contains(&self.now) && index < p.nodes;
        self.partition.as_ref().is_some_and(is_active)
    }

    /// Simulates one second of all nodes.
    fn run_second(&mut self) {
        for index in 0..self.nodes.len() {
            self.apply_crash(index);
            let node = &self.nodes[index];
            let is_ready = !(node.is_changed && self.defect == Defect::NeverReady);
            if node.is_dead || node.running.is_some() || !is_ready {
                continue;
            }
            self.serve(index);
            if !self.unreported.contains(&index) && !self.is_partitioned(index) {
                let report = Box::new(self.nodes[index].report.clone());
                self.events.push(Event::Report {
                    node: index,
                    report,
                });
            }
        }
        let is_down = |node: &&Node| node.running.is_some();
        let down = self.nodes.iter().filter(is_down).count();
        self.max_down = self.max_down.max(down);
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Log(entry) => self.log.push(entry),
            Action::Print(text) => self.printed.push(text),
            Action::Run { node, command } => self.start_command(node, command),
            Action::Observe(_) | Action::Finish(_) => {}
        }
    }

    /// Starts a command. Commands are idempotent: one that has nothing to do takes half a second, any other two seconds.
    fn start_command(&mut self, index: usize, command: CommandKind) {
        let node = &mut self.nodes[index];
        let is_done = match command {
            CommandKind::Change => node.is_changed,
            CommandKind::RollBack => !node.is_changed,
            CommandKind::Restart => false,
        };
        let duration = if is_done { SECOND / 2 } else { 2 * SECOND };
        node.running = Some(RunningCommand {
            command,
            ends_at: self.now + duration,
        });
    }

    fn end_commands(&mut self) {
        for index in 0..self.nodes.len() {
            let node = &mut self.nodes[index];
            let Some(running) = node.running.filter(|r| r.ends_at <= self.now) else {
                continue;
            };
            node.running = None;
            let command = running.command;
            let result = if node.commands_fail {
                Err(std::io::Error::other("simulated command failure").into())
            } else {
                let is_changed = command == CommandKind::Change;
                if command == CommandKind::Restart || node.is_changed != is_changed {
                    self.start(index, is_changed);
                }
                Ok(())
            };
            self.events.push(Event::CommandEnded {
                node: index,
                command,
                result,
            });
        }
    }

    /// Runs a rollout to its end. The controller is killed and replaced as `kill_after` says.
    pub fn run_rollout(&mut self) -> Outcome {
        let mut controller = RolloutController::new(self.plan.clone(), &self.log);
        let mut started_at = self.now;
        for step in 0..40_000u64 {
            self.now += SECOND / 10;
            self.end_commands();
            if step % 10 == 0 {
                self.run_second();
            }
            let events = std::mem::take(&mut self.events);
            for action in controller.tick(self.now - started_at + SECOND, events) {
                if let Action::Observe(observation) = action {
                    self.observations.push(observation);
                    continue;
                }
                if self
                    .kill_after
                    .is_some_and(|count| self.action_count >= count)
                {
                    // Commands of the killed controller continue, but their results reach no controller.
                    self.kill_after = None;
                    controller = RolloutController::new(self.plan.clone(), &self.log);
                    started_at = self.now;
                    self.events.clear();
                    break;
                }
                self.action_count += 1;
                if let Action::Finish(outcome) = &action {
                    return outcome.clone();
                }
                self.execute(action);
            }
            if let Some(Entry::Finished { outcome }) = self.log.last() {
                return outcome.clone();
            }
        }
        panic!("rollout did not end: {:?}", self.printed);
    }

    pub fn changed_nodes(&self) -> usize {
        self.nodes.iter().filter(|node| node.is_changed).count()
    }

    /// Returns the number of stages that have started.
    pub fn stages_started(&self) -> usize {
        let is_stage = |entry: &&Entry| matches!(entry, Entry::Stage { .. });
        self.log.iter().filter(is_stage).count()
    }

    /// Returns the number of actions so far, each a point at which the controller may be killed.
    pub fn action_count(&self) -> usize {
        self.action_count
    }
}
