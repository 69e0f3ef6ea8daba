//! A simulated fleet: nodes that report each second, run commands, and are good or bad by their generation.
#![allow(dead_code, reason = "the tests and the example use different parts")]
mod traffic;

use sparrouter_rollout::controller::*;
use sparrouter_rollout::plan::Plan;
use sparrouter_rollout::record::{CommandKind, Entry, Outcome};
use sparrouter_rollout::report::Report;
use sparrouter_rollout::{Nanos, SECOND};

/// What the new version does wrong.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Defect {
    None,
    /// Crashes after this time, and is restarted by its supervisor.
    CrashesAfter(Nanos),
    /// Crashes after this time, and is not restarted.
    DiesAfter(Nanos),
    NeverReady,
    /// Answers slower by this fraction.
    Slower(f64),
    /// Answers this fraction of the requests with an error.
    Errors(f64),
    /// Loses this fraction of the second operation alone.
    SecondOperationWorse(f64),
    LeaksMemory,
    /// Chooses other cache servers for keys.
    MovesKeys,
    /// Harms all nodes alike, by this fraction once all are changed.
    HarmsFleet(f64),
    /// Loses this fraction once it has run for so long.
    WorseWhenWarm(Nanos, f64),
}

/// All nodes lose this fraction more in this time, which is not the change's fault.
#[derive(Clone, Copy)]
pub struct FleetFault {
    pub from: Nanos,
    pub to: Nanos,
    pub loss: f64,
}

/// Reports of the nodes below this index do not arrive in this time.
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

/// A command that runs at a node.
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
    /// Its commands fail.
    pub commands_fail: bool,
    /// Fraction that it loses whatever its version.
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
    pub muted: Vec<usize>,
    /// Mean requests of each of the two operations that a node gets in a second.
    pub requests_per_s: [usize; 2],
    pub log: Vec<Entry>,
    pub printed: Vec<String>,
    pub observations: Vec<Observation>,
    /// Billed value of all requests, and what of it was lost.
    pub requested: f64,
    pub lost: f64,
    /// Most nodes that were under a command at once.
    pub max_down: usize,
    /// The controller is killed after so many actions, before the next is logged or done, once.
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
            muted: vec![],
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

    /// Lets the nodes crash that do so by the defect.
    fn crash(&mut self, index: usize) {
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

    /// One second of all nodes.
    fn run_second(&mut self) {
        for index in 0..self.nodes.len() {
            self.crash(index);
            let node = &self.nodes[index];
            let is_ready = !(node.is_changed && self.defect == Defect::NeverReady);
            if node.is_dead || node.running.is_some() || !is_ready {
                continue;
            }
            self.serve(index);
            if !self.muted.contains(&index) && !self.is_partitioned(index) {
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

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Log(entry) => self.log.push(entry),
            Action::Print(text) => self.printed.push(text),
            Action::Run { node, command } => self.start_command(node, command),
            Action::Observe(_) | Action::Finish(_) => {}
        }
    }

    /// Commands are safe to run again: one with nothing to do takes half a second.
    fn start_command(&mut self, index: usize, command: CommandKind) {
        let node = &mut self.nodes[index];
        let is_done = match command {
            CommandKind::Change => node.is_changed,
            CommandKind::RollBack => !node.is_changed,
            CommandKind::Restart => false,
        };
        let length = if is_done { SECOND / 2 } else { 2 * SECOND };
        node.running = Some(RunningCommand {
            command,
            ends_at: self.now + length,
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
                Err(std::io::Error::other("would not").into())
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

    /// Plays a rollout to its end, with the controller killed and replaced where that is asked for.
    pub fn play(&mut self) -> Outcome {
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
                    // Its commands go on, and nobody is informed of their end.
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
                self.carry_out(action);
            }
            if let Some(Entry::Finished { outcome }) = self.log.last() {
                return outcome.clone();
            }
        }
        panic!("no end: {:?}", self.printed);
    }

    pub fn changed_nodes(&self) -> usize {
        self.nodes.iter().filter(|node| node.is_changed).count()
    }

    /// Number of stages that began.
    pub fn stages_begun(&self) -> usize {
        let is_stage = |entry: &&Entry| matches!(entry, Entry::Stage { .. });
        self.log.iter().filter(is_stage).count()
    }

    /// Number of actions of a play: the points at which the controller may be killed.
    pub fn action_count(&self) -> usize {
        self.action_count
    }
}
