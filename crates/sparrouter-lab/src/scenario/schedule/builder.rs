//! Draws the actions of one fault after another.
use super::{Action, LinkConditions, Listed, Schedule, Step, base};
use crate::nanos;
use crate::scenario::faults::Fault;
use crate::scenario::{Before, Scenario};
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Distinguishes the draws of faults from others that use the scenario's seed.
const SEED_OF_FAULTS: u64 = 0x5eed_fa17;

/// Collects steps. The order of draws is part of what a seed means: a change of it changes every schedule.
pub(super) struct ScheduleBuilder<'a> {
    pub(super) scenario: &'a Scenario,
    pub(super) rng: ChaCha8Rng,
    steps: Vec<Step>,
    /// Cache servers that exist so far, running or not.
    caches: usize,
    /// Cache servers that are meant to serve at the fault's moment.
    pub(super) alive: Vec<usize>,
}

impl<'a> ScheduleBuilder<'a> {
    pub(super) fn new(scenario: &'a Scenario) -> ScheduleBuilder<'a> {
        ScheduleBuilder {
            scenario,
            rng: ChaCha8Rng::seed_from_u64(scenario.seed ^ SEED_OF_FAULTS),
            steps: Vec::new(),
            caches: scenario.caches.count,
            alive: (0..scenario.caches.count).collect(),
        }
    }

    /// Sorts the steps and draws the speed of each cache server.
    pub(super) fn finish(mut self) -> Schedule {
        self.steps.sort_by_key(|step| step.at);
        let settings = &self.scenario.caches;
        let speeds = (0..self.caches)
            .map(|_| {
                let deviation = 2.0 * self.rng.random::<f64>() - 1.0;
                settings.speed * (1.0 + settings.speed_spread * deviation)
            })
            .collect();
        Schedule {
            steps: self.steps,
            caches: self.caches,
            speeds,
        }
    }

    /// Adds an action at a time in seconds.
    pub(super) fn push(&mut self, at_s: f64, act: Action) {
        self.steps.push(Step {
            at: nanos(at_s),
            act,
        });
    }

    /// A uniform draw.
    pub(super) fn draw_between(&mut self, [from, to]: [f64; 2]) -> f64 {
        from + (to - from) * self.rng.random::<f64>()
    }

    /// Some of the cache servers alive; at least one where the part is above 0.
    pub(super) fn pick_caches(&mut self, part: f64) -> Vec<usize> {
        let mut all = self.alive.clone();
        all.shuffle(&mut self.rng);
        let count = (part * all.len() as f64).round() as usize;
        all.truncate(count.max(usize::from(part > 0.0)));
        all
    }

    /// A new cache server starts, and discovery learns of it later.
    pub(super) fn add_cache(&mut self, at_s: f64) {
        let cache = self.caches;
        self.caches += 1;
        self.alive.push(cache);
        let listed_at = at_s + self.draw_between(self.scenario.discovery.add_s);
        self.push(at_s, Action::Start(cache));
        self.push(listed_at, Action::List(cache, Listed::Ready));
    }

    /// A cache server drains and ends for good; discovery notices each later.
    pub(super) fn retire_cache(&mut self, cache: usize, at_s: f64, drain_s: f64) {
        self.alive.retain(|c| *c != cache);
        let notice_s = self.scenario.discovery.notice_s;
        let drain_listed_at = at_s + self.draw_between(notice_s);
        self.push(at_s, Action::Drain(cache));
        self.push(drain_listed_at, Action::List(cache, Listed::Draining));
        let ends_at = (at_s + drain_s).max(drain_listed_at);
        self.push(ends_at, Action::Die(cache));
        let end_listed_at = ends_at + self.draw_between(notice_s);
        self.push(end_listed_at, Action::List(cache, Listed::Gone));
    }

    /// Draws the actions of one fault.
    #[allow(
        clippy::too_many_lines,
        reason = "a flat match with one arm for each kind of fault"
    )]
    pub(super) fn add_fault(&mut self, fault: &Fault) {
        let (from, to, _) = fault.span();
        match *fault {
            Fault::Crash { part, .. } => self.crash(from, to, part),
            Fault::Hang { part, .. } => self.hang(from, to, part),
            Fault::Pauses {
                part,
                pause_ms,
                every_s,
                ..
            } => self.pauses(from, to, part, pause_ms, every_s),
            Fault::Spoilt {
                part,
                errors,
                resets,
                ..
            } => self.spoil(from, to, part, errors, resets),
            Fault::SpoiltOrigin { errors, resets, .. } => self.during(
                from,
                to,
                Action::SpoilOrigin(errors, resets),
                Action::SpoilOrigin(0.0, 0.0),
            ),
            // These shape the arrivals, which are drawn elsewhere.
            Fault::Burst { .. } | Fault::HotKey { .. } => {}
            Fault::Flush { part, .. } => self.push(from, Action::Flush(part)),
            Fault::Deploy {
                length_s,
                part,
                batch,
                drain_s,
                ..
            } => self.deploy(from, length_s, part, batch, drain_s),
            Fault::Shrink {
                length_s,
                part,
                drain_s,
                ..
            } => self.shrink(from, length_s, part, drain_s),
            Fault::Grow { times, .. } => self.grow(from, times),
            Fault::NodeRestart {
                length_s,
                part,
                down_s,
                killed,
                ..
            } => self.restart_nodes(from, length_s, part, down_s, killed),
            Fault::DiscoveryFailure { how, .. } => self.during(
                from,
                to,
                Action::Discovery(Some(how)),
                Action::Discovery(None),
            ),
            Fault::DiscoveryMoved { .. } => self.push(from, Action::DiscoveryMoves),
            Fault::Links {
                before,
                part,
                delay_ms,
                jitter_ms,
                kib_per_s,
                how,
                bytes,
                ..
            } => {
                let conditions = LinkConditions {
                    delay_ms,
                    jitter_ms,
                    kib_per_s,
                    fault: how,
                    bytes,
                };
                self.links(from, to, before, part, conditions);
            }
            Fault::NodePause { part, .. } => self.pause_nodes(from, to, part),
            Fault::Liar { node, .. } => {
                self.during(from, to, Action::Lies(Some(node)), Action::Lies(None));
            }
            Fault::Skew { part, nodes, .. } => {
                self.during(from, to, Action::Skew(part, nodes), Action::Skew(0.0, 0));
            }
            Fault::Nodes {
                count,
                told_s,
                killed,
                ..
            } => {
                self.push(from, Action::NodesAre(count, killed));
                self.push(from + told_s, Action::AnnounceFleetSize(count));
            }
            Fault::GossipPartition { part, one_way, .. } => {
                let count = (part * self.scenario.nodes.count as f64).round() as usize;
                self.during(
                    from,
                    to,
                    Action::PartitionGossip(count, one_way),
                    Action::PartitionGossip(0, false),
                );
            }
            Fault::GossipLoss {
                lost_part,
                delay_ms,
                ..
            } => {
                let usual = Action::DegradeGossip(self.scenario.peers.lost_part, 0.0);
                self.during(from, to, Action::DegradeGossip(lost_part, delay_ms), usual);
            }
        }
    }

    /// One action when the fault begins and one when it ends.
    pub(super) fn during(&mut self, from: f64, to: f64, begin: Action, end: Action) {
        self.push(from, begin);
        self.push(to, end);
    }

    fn links(&mut self, from: f64, to: f64, before: Before, part: f64, conditions: LinkConditions) {
        let members = match before {
            Before::Caches => self.pick_caches(part),
            Before::Nodes => (0..self.scenario.nodes.count).collect(),
            Before::Origin | Before::Discovery => vec![0],
        };
        let usual = base(self.scenario, before);
        for member in members {
            self.during(
                from,
                to,
                Action::Link(before, member, conditions),
                Action::Link(before, member, usual),
            );
        }
    }
}
