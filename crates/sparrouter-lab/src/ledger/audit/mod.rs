//! The four rules, judged from complete records of invocations. What can't be judged is counted by its reason.
mod answers;
mod drains;
mod effects;
mod starvation;

use super::{ForwardOutcome, Invocation, ORIGIN, ObservedForward, Record};
use crate::scenario::arrivals::operation_of;
use crate::scenario::faults::{Fault, LinkFault};
use crate::scenario::schedule::Listed;
use crate::scenario::{Before, Operation, Scenario};
use crate::{MS, Nanos, SECOND, nanos};
use serde::{Deserialize, Serialize};
use starvation::ProcessorWaits;
use std::collections::{BTreeMap, HashMap, VecDeque};

/// Breaches of one kind that are listed, at the most; all are counted.
const LISTED: usize = 20;

/// Counted for an answer that is late by no more than its node waited for a processor.
const NODE_STARVED: &str = "its node waited for a processor";

/// Counted for what a starved lab can't tell from a breach.
const LAB_STALLED: &str = "the lab stood still meanwhile";

/// One way in which a rule is broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Breach {
    /// Rule 1.
    NoAnswer,
    /// More came behind the answer.
    AnsweredTwice,
    /// The answer came after the client timeout.
    AnsweredLate,
    /// No server made the value.
    AnsweredWithNobodysValue,
    /// It was forwarded once it was answered.
    SentAfterAnswer,
    /// No client sent what was forwarded.
    SentForNobody,
    /// A node ended by itself.
    NodeCrashed,
    /// Rule 2.
    EffectTwice,
    /// It was forwarded again after it may have run.
    ForwardedAgain,
    /// It was repeated after the deduplication window.
    RepeatedOutsideWindow,
    /// It was rejected as if it had not run.
    ThrottledThoughItMayHaveRun,
    /// Two of its forwards were out at once.
    Overlapping,
    /// Rule 3.
    SentToDrained,
    /// Rule 4.
    ColdPushedOver,
    /// Misses at cache servers that warm up stopped the origin.
    OriginStoppedByColdMisses,
}

impl Breach {
    /// Number of the rule that is broken, 1 to 4.
    pub fn rule(self) -> u8 {
        use Breach::*;
        match self {
            NoAnswer
            | AnsweredTwice
            | AnsweredLate
            | AnsweredWithNobodysValue
            | SentAfterAnswer
            | SentForNobody
            | NodeCrashed => 1,
            EffectTwice
            | ForwardedAgain
            | RepeatedOutsideWindow
            | ThrottledThoughItMayHaveRun
            | Overlapping => 2,
            SentToDrained => 3,
            ColdPushedOver | OriginStoppedByColdMisses => 4,
        }
    }
}

/// One breach, with what a person needs to look it up.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ListedBreach {
    /// Its kind.
    pub breach: Breach,
    /// When, in seconds from the first arrival.
    pub at_s: f64,
    /// Hexadecimal id of the invocation; empty where it is about a stand-in.
    pub id: String,
    /// What happened.
    pub what: String,
}

/// The audit's judgement on a whole run.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Verdict {
    /// Invocations that were judged on every rule that applies.
    pub judged: u64,
    /// Number of breaches by kind.
    pub breaches: BTreeMap<Breach, u64>,
    /// The first of each kind.
    pub listed: Vec<ListedBreach>,
    /// Why something could not be judged, and how often.
    pub unjudged: BTreeMap<String, u64>,
    /// What is no breach and yet worth knowing.
    pub seen: BTreeMap<String, u64>,
}

impl Verdict {
    /// No rule was broken.
    pub fn kept(&self) -> bool {
        self.breaches.is_empty()
    }
    /// This breach was found at least once.
    pub fn has(&self, breach: Breach) -> bool {
        self.breaches.contains_key(&breach)
    }
}

/// Judges invocations against the four rules as their records become complete.
pub struct Audit {
    operations: Vec<Operation>,
    second_copies: bool,
    grace: Nanos,
    informed: Nanos,
    /// How much later than a node's own clock says something may be seen here.
    slack: Nanos,
    answer_slack: Nanos,
    fall: Nanos,
    cold_misses: f64,
    /// Closing a connection can't be seen through such a link.
    blind: bool,
    /// A node's going away comes late through links.
    linked: bool,
    /// By node and cache server: when discovery sent which state.
    notified: HashMap<(u16, u32), Vec<(Nanos, Listed)>>,
    known: HashMap<u32, Vec<(Nanos, Listed)>>,
    /// Spans in which discovery refused all calls: then no subscription is silent, there is none.
    away: Vec<(Nanos, Nanos)>,
    /// By node: when it was killed or told to stop.
    down: HashMap<u16, Vec<(Nanos, bool)>>,
    processor_waits: ProcessorWaits,
    /// Fetches at the origin of late, and who had missed at a cold cache server.
    fetches: VecDeque<(Nanos, u64)>,
    cold_missed: HashMap<u64, Nanos>,
    stops: Vec<Nanos>,
    verdict: Verdict,
}

impl Audit {
    /// An audit by the bounds that the scenario sets.
    pub fn new(s: &Scenario) -> Audit {
        let delays = |f: &Fault| match f {
            Fault::Links {
                delay_ms,
                jitter_ms,
                ..
            } => delay_ms + jitter_ms,
            _ => 0.0,
        };
        let links = s.link.iter().map(|l| l.delay_ms + l.jitter_ms);
        let longest = links.chain(s.fault.iter().map(delays)).fold(0.0, f64::max);
        let blind = s.fault.iter().any(|f| {
            matches!(
                f,
                Fault::Links {
                    how: LinkFault::HalfOpen | LinkFault::LostThere | LinkFault::LostBack,
                    before: Before::Caches | Before::Origin,
                    ..
                }
            )
        });
        Audit {
            operations: s.operation.clone(),
            second_copies: s.nodes.second_copies,
            grace: s.rules.drain_grace_ms * MS,
            informed: nanos(s.rules.informed_s),
            slack: 20 * MS + 2 * nanos(longest / 1e3),
            answer_slack: s.rules.answer_slack_ms * MS + 2 * nanos(longest / 1e3),
            fall: nanos(s.rules.fall_s),
            cold_misses: s.rules.cold_misses,
            blind,
            linked: s
                .link
                .iter()
                .any(|l| matches!(l.before, Before::Caches | Before::Origin)),
            notified: HashMap::new(),
            known: HashMap::new(),
            away: Vec::new(),
            down: HashMap::new(),
            processor_waits: ProcessorWaits::default(),
            fetches: VecDeque::new(),
            cold_missed: HashMap::new(),
            stops: Vec::new(),
            verdict: Verdict::default(),
        }
    }

    fn add_breach(&mut self, breach: Breach, at: Nanos, id: Option<u64>, description: String) {
        *self.verdict.breaches.entry(breach).or_default() += 1;
        if self.verdict.breaches[&breach] as usize <= LISTED {
            let id = id.map_or(String::new(), |id| format!("{id:016x}"));
            self.verdict.listed.push(ListedBreach {
                breach,
                at_s: at as f64 / SECOND as f64,
                id,
                what: description,
            });
        }
    }
    fn count_unjudged(&mut self, why: &str) {
        *self.verdict.unjudged.entry(why.into()).or_default() += 1;
    }
    fn count_notable(&mut self, description: &str) {
        *self.verdict.seen.entry(description.into()).or_default() += 1;
    }

    /// Takes a record of the surroundings: discovery, nodes, overloads.
    #[expect(clippy::too_many_lines, reason = "a flat match of all records")]
    pub fn event(&mut self, record: Record) {
        match record {
            Record::Known { at, cache, listed } => {
                self.known.entry(cache).or_default().push((at, listed))
            }
            Record::Notified {
                at,
                node,
                cache,
                listed,
            } => {
                self.notified
                    .entry((node, cache))
                    .or_default()
                    .push((at, listed));
            }
            Record::DiscoveryAway { at, away: true } => self.away.push((at, Nanos::MAX)),
            Record::DiscoveryAway { at, away: false } => {
                if let Some(span) = self.away.last_mut() {
                    span.1 = at;
                }
            }
            Record::CacheFell {
                at,
                cache,
                cold: true,
            } => {
                self.add_breach(
                    Breach::ColdPushedOver,
                    at,
                    None,
                    format!("cache server {cache} fell over"),
                );
            }
            Record::ExtraBytes { at, id } => {
                self.add_breach(
                    Breach::AnsweredTwice,
                    at,
                    Some(id),
                    "more came behind its answer".into(),
                );
            }
            Record::CacheFell { cold: false, .. } => {
                self.count_notable("a warm cache server was overdriven")
            }
            Record::OriginStopped { at } => self.stops.push(at),
            Record::NodeDown { at, node, killed } => {
                self.down.entry(node).or_default().push((at, killed))
            }
            Record::NodeStarved {
                node,
                from,
                to,
                waited,
            } => self.processor_waits.add(node, from, to, waited),
            Record::NodeCrashed { at, node } => {
                self.add_breach(
                    Breach::NodeCrashed,
                    at,
                    None,
                    format!("node {node} ended by itself"),
                );
            }
            _ => {}
        }
    }

    /// Keeps what is needed to tell why the origin stopped: some windows' worth.
    pub fn forwarded(&mut self, f: &ObservedForward) {
        if f.to != ORIGIN {
            if f.outcome == ForwardOutcome::Miss && f.cold {
                self.cold_missed.insert(f.id, f.ended_at);
            }
        } else if let Some(whole) = f.complete_at {
            self.fetches.push_back((whole, f.id));
            if self.stops.is_empty() && self.fetches.len() > 200_000 {
                self.fetches.drain(..100_000);
                let oldest = self.fetches[0].0.saturating_sub(self.fall);
                self.cold_missed.retain(|_, at| *at > oldest);
            }
        }
    }

    fn killed_between(&self, node: u16, from: Nanos, to: Nanos) -> bool {
        let down = self.down.get(&node).map_or(&[][..], |d| d);
        // What was written to a process in the moment that it died was never taken either.
        let from = from.saturating_sub(self.slack);
        down.iter()
            .any(|(at, killed)| *killed && (from..=to + self.slack).contains(at))
    }

    pub(crate) fn judge(&mut self, id: u64, life: &Invocation) {
        let Some(asked) = life.attempt else {
            let at = life.forwards.first().map_or(0, |f| f.first_byte_at);
            return self.add_breach(
                Breach::SentForNobody,
                at,
                Some(id),
                "no client sent this invocation".into(),
            );
        };
        let op =
            self.operations[usize::from(operation_of(id)).min(self.operations.len() - 1)].clone();
        self.verdict.judged += 1;
        self.judge_answer(id, &asked, &op, life);
        self.judge_effects(id, &asked, &op, life);
        for f in &life.forwards {
            self.judge_drain(id, &asked, f);
        }
    }

    /// Ends the audit; judges stops of the origin, which need all records.
    pub fn verdict(mut self) -> Verdict {
        for at in std::mem::take(&mut self.stops) {
            let from = at.saturating_sub(self.fall);
            let of = self.fetches.iter().filter(|f| (from..=at).contains(&f.0));
            let (mut all, mut cold) = (0, 0);
            for (_, id) in of {
                all += 1;
                cold += u64::from(self.cold_missed.contains_key(id));
            }
            if all > 0 && cold as f64 > self.cold_misses * all as f64 {
                let description =
                    format!("{cold} of {all} fetches were misses at cold cache servers");
                self.add_breach(Breach::OriginStoppedByColdMisses, at, None, description);
            } else {
                self.count_notable("the origin stopped, not for cold misses");
            }
        }
        self.verdict
    }
}

fn name(to: u32) -> String {
    if to == ORIGIN {
        "the origin".into()
    } else {
        format!("cache server {to}")
    }
}
