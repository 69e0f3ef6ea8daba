//! Faults as single steps on single stand-ins, drawn ahead from the seed.
use super::faults::{DiscoveryFault, Fault, LinkFault};
use super::{Before, Scenario};
use crate::{Nanos, nanos};
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

/// Entries of discovery's list, in our words.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Listed {
    Ready,
    Draining,
    Gone,
}

/// What links do, until told otherwise.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Way {
    pub delay_ms: f64,
    pub jitter_ms: f64,
    pub kib_per_s: f64,
    pub how: LinkFault,
    pub bytes: u64,
}

/// One step; numbers are those of cache servers (in the order of their first start) or nodes.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub enum Action {
    /// A process starts, cold; a new cache server or the same anew.
    Start(usize),
    Die(usize),
    /// Told to finish what it has.
    Drain(usize),
    Hang(usize, bool),
    Pause(usize, f64),
    Spoil(usize, f64, f64),
    SpoilOrigin(f64, f64),
    /// Discovery comes to know.
    List(usize, Listed),
    Flush(f64),
    NodeStop(usize),
    NodeKill(usize),
    NodeStart(usize),
    /// So many stand from now on; whether those too many are killed.
    NodesAre(usize, bool),
    /// They learn how many they are.
    NodesTold(usize),
    /// This part of the traffic goes to the first so many nodes.
    Skew(f64, usize),
    /// In this node's name lies are told, or none any more.
    Lies(Option<usize>),
    /// Stands still, or goes on.
    NodePause(usize, bool),
    Discovery(Option<DiscoveryFault>),
    DiscoveryMoves,
    /// A link before one of the group; the number is the cache server's or node's.
    Link(Before, usize, Way),
    Notes(f64, f64),
    /// Notes between the first so many nodes and the others are lost, or only those towards the first; none again.
    NotesCut(usize, bool),
}

#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Step {
    pub at: Nanos,
    pub act: Action,
}

#[derive(Clone, Debug)]
pub struct Schedule {
    /// By time; those of one time in the order drawn.
    pub steps: Vec<Step>,
    /// Cache servers that there ever are; the first `caches.count` stand from the beginning.
    pub caches: usize,
    /// Their speeds and zones.
    pub speeds: Vec<f64>,
}

struct ScheduleBuilder<'a> {
    s: &'a Scenario,
    rng: ChaCha8Rng,
    steps: Vec<Step>,
    caches: usize,
    /// Cache servers that are meant to serve at the fault's moment.
    alive: Vec<usize>,
}

impl ScheduleBuilder<'_> {
    fn put(&mut self, at: f64, act: Action) {
        self.steps.push(Step { at: nanos(at), act });
    }
    fn within(&mut self, [from, to]: [f64; 2]) -> f64 {
        from + (to - from) * self.rng.random::<f64>()
    }
    /// Some of those alive; at least one where the part is above 0.
    fn some(&mut self, part: f64) -> Vec<usize> {
        let mut all = self.alive.clone();
        all.shuffle(&mut self.rng);
        let count = (part * all.len() as f64).round() as usize;
        all.truncate(count.max(usize::from(part > 0.0)));
        all
    }
    fn add(&mut self, at: f64) {
        let new = self.caches;
        self.caches += 1;
        self.alive.push(new);
        let known = at + self.within(self.s.discovery.add_s);
        self.put(at, Action::Start(new));
        self.put(known, Action::List(new, Listed::Ready));
    }
    fn retire(&mut self, cache: usize, at: f64, drain_s: f64) {
        self.alive.retain(|c| *c != cache);
        let known = at + self.within(self.s.discovery.notice_s);
        self.put(at, Action::Drain(cache));
        self.put(known, Action::List(cache, Listed::Draining));
        let ends = (at + drain_s).max(known);
        self.put(ends, Action::Die(cache));
        let known = ends + self.within(self.s.discovery.notice_s);
        self.put(known, Action::List(cache, Listed::Gone));
    }

    fn fault(&mut self, f: &Fault) {
        let (from, to, _) = f.span();
        match *f {
            Fault::Crash { part, .. } => {
                for c in self.some(part) {
                    self.put(from, Action::Die(c));
                    let noticed = from + self.within(self.s.discovery.silent_notice_s);
                    let back = to + self.within(self.s.discovery.add_s);
                    // One that is back before anybody noticed never left the list.
                    if noticed < to {
                        self.put(noticed, Action::List(c, Listed::Gone));
                    }
                    self.put(to, Action::Start(c));
                    self.put(back, Action::List(c, Listed::Ready));
                }
            }
            Fault::Hang { part, .. } => {
                for c in self.some(part) {
                    self.put(from, Action::Hang(c, true));
                    self.put(to, Action::Hang(c, false));
                }
            }
            Fault::Pauses {
                part,
                pause_ms,
                every_s,
                ..
            } => {
                for c in self.some(part) {
                    let mut at = from + every_s * self.rng.random::<f64>();
                    while at < to {
                        self.put(at, Action::Pause(c, pause_ms));
                        at += every_s * (0.75 + 0.5 * self.rng.random::<f64>());
                    }
                }
            }
            Fault::Spoilt {
                part,
                errors,
                resets,
                ..
            } => {
                for c in self.some(part) {
                    self.put(from, Action::Spoil(c, errors, resets));
                    self.put(to, Action::Spoil(c, 0.0, 0.0));
                }
            }
            Fault::SpoiltOrigin { errors, resets, .. } => {
                self.put(from, Action::SpoilOrigin(errors, resets));
                self.put(to, Action::SpoilOrigin(0.0, 0.0));
            }
            Fault::Burst { .. } | Fault::HotKey { .. } => {}
            Fault::Flush { part, .. } => self.put(from, Action::Flush(part)),
            Fault::Deploy {
                length_s,
                part,
                batch,
                drain_s,
                ..
            } => {
                let old = self.some(part);
                let size = ((batch * self.alive.len() as f64).round() as usize).max(1);
                let batches: Vec<Vec<usize>> = old.chunks(size).map(<[usize]>::to_vec).collect();
                let step = length_s / batches.len().max(1) as f64;
                for (n, batch) in batches.iter().enumerate() {
                    let at = from + step * n as f64;
                    for &c in batch {
                        self.retire(c, at, drain_s);
                        self.add(at + drain_s * 0.5);
                    }
                }
            }
            Fault::Shrink {
                length_s,
                part,
                drain_s,
                ..
            } => {
                let old = self.some(part);
                let step = length_s / old.len().max(1) as f64;
                for (n, c) in old.into_iter().enumerate() {
                    self.retire(c, from + step * n as f64, drain_s);
                }
            }
            Fault::Grow { times, .. } => {
                let more = ((times - 1.0) * self.alive.len() as f64).round() as usize;
                (0..more).for_each(|_| self.add(from));
            }
            Fault::NodeRestart {
                length_s,
                part,
                down_s,
                killed,
                ..
            } => {
                let count = (part * self.s.nodes.count as f64).round() as usize;
                let mut all: Vec<usize> = (0..self.s.nodes.count).collect();
                all.shuffle(&mut self.rng);
                for (n, node) in all.into_iter().take(count.max(1)).enumerate() {
                    let at = from + length_s * n as f64 / count.max(1) as f64;
                    self.put(
                        at,
                        if killed {
                            Action::NodeKill(node)
                        } else {
                            Action::NodeStop(node)
                        },
                    );
                    self.put(at + down_s, Action::NodeStart(node));
                }
            }
            Fault::DiscoveryTrouble { how, .. } => {
                self.put(from, Action::Discovery(Some(how)));
                self.put(to, Action::Discovery(None));
            }
            Fault::DiscoveryMoved { .. } => self.put(from, Action::DiscoveryMoves),
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
                let which = match before {
                    Before::Caches => self.some(part),
                    Before::Nodes => (0..self.s.nodes.count).collect(),
                    Before::Origin | Before::Discovery => vec![0],
                };
                for n in which {
                    let way = Way {
                        delay_ms,
                        jitter_ms,
                        kib_per_s,
                        how,
                        bytes,
                    };
                    self.put(from, Action::Link(before, n, way));
                    self.put(to, Action::Link(before, n, base(self.s, before)));
                }
            }
            Fault::NodePause { part, .. } => {
                let count = (part * self.s.nodes.count as f64).round() as usize;
                let mut all: Vec<usize> = (0..self.s.nodes.count).collect();
                all.shuffle(&mut self.rng);
                for node in all.into_iter().take(count.max(1)) {
                    self.put(from, Action::NodePause(node, true));
                    self.put(to, Action::NodePause(node, false));
                }
            }
            Fault::Liar { node, .. } => {
                self.put(from, Action::Lies(Some(node)));
                self.put(to, Action::Lies(None));
            }
            Fault::Skew { part, nodes, .. } => {
                self.put(from, Action::Skew(part, nodes));
                self.put(to, Action::Skew(0.0, 0));
            }
            Fault::Nodes {
                count,
                told_s,
                killed,
                ..
            } => {
                self.put(from, Action::NodesAre(count, killed));
                self.put(from + told_s, Action::NodesTold(count));
            }
            Fault::NotesCut { part, one_way, .. } => {
                let count = (part * self.s.nodes.count as f64).round() as usize;
                self.put(from, Action::NotesCut(count, one_way));
                self.put(to, Action::NotesCut(0, false));
            }
            Fault::Notes {
                lost_part,
                delay_ms,
                ..
            } => {
                self.put(from, Action::Notes(lost_part, delay_ms));
                self.put(to, Action::Notes(self.s.peers.lost_part, 0.0));
            }
        }
    }
}

/// What the links before a group do when nothing is wrong.
pub fn base(s: &Scenario, before: Before) -> Way {
    let link = s.link.iter().find(|l| l.before == before);
    link.map_or(Way::default(), |l| Way {
        delay_ms: l.delay_ms,
        jitter_ms: l.jitter_ms,
        ..Way::default()
    })
}

/// Faults in the order of their beginnings, so that each finds the fleet that the one before has left.
pub fn draw(s: &Scenario) -> Schedule {
    let mut d = ScheduleBuilder {
        s,
        rng: ChaCha8Rng::seed_from_u64(s.seed ^ 0x5eed_fa17),
        steps: Vec::new(),
        caches: s.caches.count,
        alive: (0..s.caches.count).collect(),
    };
    let mut faults: Vec<&Fault> = s.fault.iter().collect();
    faults.sort_by(|a, b| a.span().0.total_cmp(&b.span().0));
    faults.into_iter().for_each(|f| d.fault(f));
    d.steps.sort_by_key(|step| step.at);
    let spread = s.caches.speed_spread;
    let speeds: Vec<f64> = (0..d.caches)
        .map(|_| s.caches.speed * (1.0 + spread * (2.0 * d.rng.random::<f64>() - 1.0)))
        .collect();
    Schedule {
        steps: d.steps,
        caches: d.caches,
        speeds,
    }
}
