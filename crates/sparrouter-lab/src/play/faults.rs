//! Carries out the schedule's actions on stand-ins and nodes.
use super::Environment;
use crate::ledger::Record;
use crate::scenario::schedule::{Action, Step};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::time::{Duration, Instant};

/// How often the thread looks whether the run is over while it waits for the next step.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

impl Environment {
    /// Carries out each step at its time, until the run is over.
    pub(super) fn inject_faults(self: &Arc<Self>, steps: &[Step], over: &AtomicBool) {
        for step in steps {
            let due = self.lab.instant(step.at);
            loop {
                if over.load(Relaxed) {
                    return;
                }
                let remaining = due.saturating_duration_since(Instant::now());
                if remaining.is_zero() {
                    break;
                }
                std::thread::sleep(remaining.min(POLL_INTERVAL));
            }
            self.apply(&step.act);
        }
    }

    fn apply(self: &Arc<Self>, action: &Action) {
        let cache = |n: &usize| &self.fleet.caches[*n];
        match action {
            Action::Start(n) => cache(n).start(true),
            Action::Die(n) => cache(n).die(),
            Action::Drain(n) => cache(n).drain(),
            Action::Hang(n, on) => cache(n).hang(*on),
            Action::Pause(n, ms) => cache(n).pause_for(*ms),
            Action::Spoil(n, errors, resets) => cache(n).spoil(*errors, *resets),
            Action::SpoilOrigin(errors, resets) => self.fleet.origin.spoil(*errors, *resets),
            Action::List(n, listed) => {
                let cold = cache(n).warmth() < 1.0;
                self.discovery.list(*n, *listed, cold);
            }
            Action::Flush(part) => self.fleet.flush(*part),
            // A run without node processes has none to act on.
            Action::NodeStop(n)
            | Action::NodeKill(n)
            | Action::NodeStart(n)
            | Action::NodePause(n, _)
                if *n >= self.nodes.len() => {}
            Action::NodeStop(n) => self.stop_node(*n, false),
            Action::NodeKill(n) => self.stop_node(*n, true),
            Action::NodeStart(n) => self.restart_node(*n),
            Action::NodePause(n, on) => self.pause_node(*n, *on),
            Action::Lies(node) => self.peer_network.set_liar(*node),
            Action::Skew(part, nodes) => self.front.skew(*part, *nodes),
            Action::NodesAre(count, killed) => {
                self.resize_fleet((*count).min(self.nodes.len()), *killed);
            }
            Action::AnnounceFleetSize(count) => {
                self.notify_fleet_size((*count).min(self.nodes.len()))
            }
            Action::Discovery(fault) => self.discovery.set_fault(*fault),
            Action::DiscoveryMoves => self.move_discovery(),
            Action::Link(before, n, conditions) => {
                if let Some(link) = self.links.get(&(*before, *n)) {
                    link.set(*conditions);
                }
            }
            Action::DegradeGossip(lost_part, delay_ms) => {
                self.peer_network.set(*lost_part, *delay_ms)
            }
            Action::PartitionGossip(first, one_way) => {
                self.peer_network.partition(*first, *one_way)
            }
        }
    }

    fn move_discovery(&self) {
        self.discovery.moves();
        for n in 0..self.nodes.len() {
            let reconfigured = self.with_start(n, |node, lab, start| node.reconfigure(lab, start));
            if let Err(e) = reconfigured {
                eprintln!("lab: node {n} could not be told that discovery moved: {e}");
            }
        }
    }

    fn pause_node(&self, n: usize, on: bool) {
        let (lab, node) = (&self.lab, n as u16);
        if on {
            // What a stopped process owes counts like that of one that was killed.
            lab.record(Record::NodeDown {
                at: lab.now(),
                node,
                killed: true,
            });
        }
        self.nodes[n].lock().expect("not poisoned").pause(on);
        self.front.set(n, !on);
        if !on {
            lab.record(Record::NodeUp {
                at: lab.now(),
                node,
            });
        }
    }

    fn resize_fleet(self: &Arc<Self>, count: usize, killed: bool) {
        let before = self.size.swap(count, Relaxed);
        for n in before..count {
            self.restart_node(n);
        }
        for n in count..before {
            self.stop_node(n, killed);
        }
    }

    /// Nodes that started with the present size are told once more, which changes nothing for them.
    fn notify_fleet_size(&self, count: usize) {
        for n in 0..count {
            let reconfigured = self.with_start(n, |node, lab, start| node.reconfigure(lab, start));
            if let Err(e) = reconfigured {
                eprintln!("lab: node {n} could not be told how many there are: {e}");
            }
        }
    }
}
