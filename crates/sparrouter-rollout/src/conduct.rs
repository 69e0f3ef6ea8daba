//! What is done next: events and now in, actions out. Nothing is done that was not logged first.
use crate::judge::{Finding, Judge, Past};
use crate::plan::Plan;
pub use crate::record::{Doing, Entry, How};
use crate::report::Report;
use crate::{Nanos, SECOND, stages};
use serde::{Deserialize, Serialize};

pub enum Input {
    /// A command has ended, or could not be run in its time.
    Ended {
        node: usize,
        doing: Doing,
        ok: Result<(), String>,
    },
    Report {
        node: usize,
        report: Box<Report>,
    },
    /// Stay as it is.
    Stop,
    /// Take all back.
    Back,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    Log(Entry),
    Run {
        node: usize,
        doing: Doing,
    },
    Say(String),
    /// What a span showed: for the page, worth no waiting.
    Show(Seen),
    Finish(How),
}

/// One span of the fleet, in parts of the billed value lost; none where nobody of that kind was heard.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Seen {
    pub stage: usize,
    pub phase: String,
    pub all: Option<f64>,
    /// Fetches a second of all nodes together, smoothed.
    pub fetches_per_s: f64,
    pub changed: Option<f64>,
    pub unchanged: Option<f64>,
    /// Nodes that run what is new, and that are down or silent.
    pub new: usize,
    pub down: usize,
    /// The judge's worst measure and what its stakes have grown to, as a part of what stops the change.
    pub measure: String,
    pub reached: f64,
}

#[derive(Clone, Debug, PartialEq)]
enum At {
    Old,
    /// A command was begun under an earlier conductor and its end is not known: it is run again.
    Unsure(Doing),
    /// Its command runs.
    Busy(Doing),
    /// Its command is over, and it has yet to report as it should.
    Due(Doing),
    New,
    /// Unchanged, and restarted in this stage.
    Fresh,
    /// It would not do as told: it counts as down.
    Left,
}

struct Member {
    at: At,
    since: Nanos,
    report: Option<Report>,
    heard: Nanos,
    /// Its report at the last span's end.
    base: Option<Report>,
    /// Its first, before the change.
    first: Option<Report>,
    /// Its report at the last look at the whole fleet.
    seen: Option<Report>,
}

enum Phase {
    /// The fleet's past is being learnt.
    Before,
    /// Nodes of the stage are being changed, their unchanged fellows restarted.
    Moving,
    Watching {
        since: Nanos,
        trouble: Option<Nanos>,
    },
    Back {
        why: String,
    },
    Done,
}

/// Without a report for so many spans a node is silent: no news is not good news.
const SILENT: u64 = 5;
/// What a stake has grown to where the evidence leans to harm: nobody goes on before it has fallen back.
const SUSPECT: f64 = 3.0;
/// So many spans in a row without trouble of the whole fleet end it.
const CALM: usize = 8;
/// So many spans after a node's start its fetches show.
const SETTLES: u64 = 4;
/// Part of the spans of a stage that must have told something.
const TOLD: f64 = 0.8;

/// Nodes that are down by the conductor's hand, and those that are silent or left.
#[derive(Default)]
struct Down {
    by_hand: Vec<usize>,
    others: Vec<usize>,
}

pub struct Conductor {
    plan: Plan,
    order: Vec<usize>,
    sizes: Vec<usize>,
    members: Vec<Member>,
    past: Option<Past>,
    stage: usize,
    phase: Phase,
    judge: Option<Judge>,
    last: Option<Finding>,
    began: Option<Nanos>,
    span_at: Nanos,
    look_at: Nanos,
    /// Since when the whole fleet does worse than its past allows.
    alarm: Option<Nanos>,
    /// Spans without it in a row, and what was lost when it was last seen.
    calm: usize,
    loses: f64,
    /// Fetches a second of all nodes, smoothed, and since when they are more than the origin can bear.
    fetches: f64,
    crowded: Option<Nanos>,
    actions: Vec<Action>,
}

impl Conductor {
    /// `entries`: what an earlier conductor of this plan has logged; it goes on from there.
    pub fn new(plan: Plan, entries: &[Entry]) -> Conductor {
        let member = || Member {
            at: At::Old,
            since: 0,
            report: None,
            heard: 0,
            base: None,
            first: None,
            seen: None,
        };
        let mut c = Conductor {
            order: stages::order(&plan),
            sizes: stages::sizes(&plan.parts, plan.nodes.len()),
            members: plan.nodes.iter().map(|_| member()).collect(),
            past: None,
            stage: 0,
            phase: Phase::Before,
            judge: None,
            last: None,
            began: None,
            span_at: 0,
            look_at: 0,
            alarm: None,
            calm: 0,
            loses: 0.0,
            fetches: 0.0,
            crowded: None,
            actions: Vec::new(),
            plan,
        };
        entries.iter().for_each(|e| c.restore(e));
        c
    }

    fn restore(&mut self, entry: &Entry) {
        let named = |name: &String| self.plan.nodes.iter().position(|n| n.name == *name);
        match entry {
            Entry::Plan { .. } | Entry::Passed { .. } => {}
            Entry::Past { past } => self.past = Some(past.clone()),
            Entry::Stage { stage } => {
                (self.stage, self.phase) = (*stage, Phase::Moving);
                let restarted = |m: &&mut Member| m.at == At::Due(Doing::Restart);
                self.members
                    .iter_mut()
                    .filter(restarted)
                    .for_each(|m| m.at = At::Old);
            }
            Entry::Begin { node, doing } => {
                if let Some(n) = named(node) {
                    self.members[n].at = At::Unsure(*doing);
                }
            }
            Entry::End { node, doing, ok } => {
                if let Some(n) = named(node) {
                    self.members[n].at = match (doing, ok) {
                        (Doing::Change, false) => At::New,
                        (_, false) => At::Left,
                        (doing, true) => At::Due(*doing),
                    };
                }
            }
            Entry::Back { why } => self.phase = Phase::Back { why: why.clone() },
            Entry::Done { .. } => self.phase = Phase::Done,
        }
    }

    pub fn stage(&self) -> (usize, usize) {
        (self.stage, self.sizes.len())
    }
    pub fn finding(&self) -> Option<&Finding> {
        self.last.as_ref()
    }
    pub fn changed(&self) -> usize {
        self.members.iter().filter(|m| m.at == At::New).count()
    }
    pub fn done(&self) -> bool {
        matches!(self.phase, Phase::Done)
    }

    pub fn tick(&mut self, now: Nanos, inputs: Vec<Input>) -> Vec<Action> {
        self.began.get_or_insert(now);
        for input in inputs {
            match input {
                Input::Ended { node, doing, ok } => self.ended(node, doing, ok, now),
                Input::Report { node, report } => self.reported(node, *report, now),
                Input::Stop => self.finish(How::Left("stopped by hand".to_string())),
                Input::Back => self.turn("asked for by hand".to_string()),
            }
        }
        if !self.done() {
            self.overdue(now);
            if now >= self.look_at {
                self.look_at = now + self.plan.span;
                self.look(now);
            }
            match self.phase {
                Phase::Before => self.before(now),
                Phase::Moving => self.moving(now),
                Phase::Watching { .. } => self.watching(now),
                Phase::Back { .. } => self.going_back(now),
                Phase::Done => {}
            }
        }
        std::mem::take(&mut self.actions)
    }

    fn say(&mut self, text: String) {
        self.actions.push(Action::Say(text));
    }
    fn log(&mut self, entry: Entry) {
        self.actions.push(Action::Log(entry));
    }
    fn name(&self, n: usize) -> String {
        self.plan.nodes[n].name.clone()
    }

    fn finish(&mut self, how: How) {
        if !self.done() {
            self.phase = Phase::Done;
            self.log(Entry::Done { how: how.clone() });
            self.actions.push(Action::Finish(how));
        }
    }

    /// Stops the change and takes it back.
    fn turn(&mut self, why: String) {
        if matches!(self.phase, Phase::Back { .. } | Phase::Done) {
            return;
        }
        self.log(Entry::Back { why: why.clone() });
        self.say(format!("stopped: {why}; going back"));
        self.phase = Phase::Back { why };
    }

    fn ended(&mut self, n: usize, doing: Doing, ok: Result<(), String>, now: Nanos) {
        if self.members[n].at != At::Busy(doing) || self.done() {
            return;
        }
        let node = self.name(n);
        self.log(Entry::End {
            node: node.clone(),
            doing,
            ok: ok.is_ok(),
        });
        let m = &mut self.members[n];
        m.since = now;
        match (doing, ok) {
            (_, Ok(())) => m.at = At::Due(doing),
            (Doing::Change, Err(error)) => {
                // How far it came is not known: it is taken back like the others.
                m.at = At::New;
                self.turn(format!("{node} could not be changed: {error}"));
            }
            (_, Err(error)) => self.leave(n, format!("{doing:?} came to nothing: {error}")),
        }
    }

    fn left(&self) -> String {
        let left = (0..self.members.len()).filter(|&n| self.members[n].at == At::Left);
        left.map(|n| self.name(n)).collect::<Vec<_>>().join(", ")
    }

    fn leave(&mut self, n: usize, why: String) {
        self.members[n].at = At::Left;
        let text = format!(
            "{} is left as it is and counts as down: {why}",
            self.name(n)
        );
        self.say(text);
    }

    fn reported(&mut self, n: usize, report: Report, now: Nanos) {
        let (node, plan) = (self.name(n), &self.plan);
        let (new, old) = (
            report.generation == plan.generation,
            report.generation == plan.from,
        );
        // Where keys go by the unchanged.
        let unchanged = |o: &&Member| matches!(o.at, At::Old | At::Fresh);
        let usual = self
            .members
            .iter()
            .filter(unchanged)
            .find_map(|o| o.report.as_ref());
        let usual = usual.map(|r| r.placement.clone());
        let m = &mut self.members[n];
        let again = m
            .report
            .as_ref()
            .is_some_and(|r| r.uptime_ms > report.uptime_ms);
        let breaches = report.breaches
            > m.report
                .as_ref()
                .map_or(0, |r| if again { 0 } else { r.breaches });
        // One that the process that is being ended has yet written. Of one restarted under an earlier conductor
        // (no time here) nobody knows when; the restart was logged as over.
        let stale = m.since > 0
            && report.uptime_ms.saturating_mul(1_000_000)
                > now.saturating_sub(m.since) + 2 * plan.span;
        let elsewhere = !plan.placement && usual.is_some_and(|u| u != report.placement);
        let moved = m.at.clone();
        (m.heard, m.report) = (now, Some(report));
        m.first
            .get_or_insert_with(|| m.report.clone().unwrap_or_default());
        let settle = |m: &mut Member, at: At| {
            (m.at, m.since, m.base) = (at, now, m.report.clone());
        };
        match moved {
            At::Due(Doing::Change) if new => {
                settle(m, At::New);
                if elsewhere {
                    self.turn(format!(
                        "{node} places keys otherwise, which the plan does not allow"
                    ));
                }
            }
            At::Due(Doing::Back) if old => settle(m, At::Old),
            At::Due(Doing::Restart) if old && !stale => settle(m, At::Fresh),
            At::New if old => {
                let how = format!(
                    "{node} says {}, which was changed: somebody else's hand",
                    self.plan.from
                );
                self.finish(How::Left(how));
            }
            At::Old | At::Fresh if new => {
                let how = format!(
                    "{node} says {}, which was not changed yet",
                    self.plan.generation
                );
                self.finish(How::Left(how));
            }
            At::New if again => self.turn(format!("{node} crashed: it started anew by itself")),
            At::New if breaches => self.turn(format!("{node} counts a breach of what must hold")),
            _ => {}
        }
    }

    fn silent(&self, n: usize, now: Nanos) -> bool {
        let m = &self.members[n];
        let since = m
            .heard
            .max(self.began.unwrap_or(now))
            .max(if m.at == At::New { m.since } else { 0 });
        now > since + SILENT * self.plan.span
    }

    fn overdue(&mut self, now: Nanos) {
        for n in 0..self.members.len() {
            let (late, node) = (
                now > self.members[n].since.max(self.began.unwrap_or(now)) + self.plan.command,
                self.name(n),
            );
            match self.members[n].at {
                At::Due(Doing::Change) if late => {
                    self.members[n].at = At::New;
                    self.turn(format!(
                        "{node} was changed and never reported {}",
                        self.plan.generation
                    ));
                }
                At::Due(doing) if late => {
                    self.leave(n, format!("no report after its command ({doing:?})"))
                }
                At::New if self.silent(n, now) => {
                    self.turn(format!("{node} was changed and fell silent"))
                }
                _ => {}
            }
        }
    }

    /// The whole fleet, in every phase. Guards against nodes that are changed on while all suffer: only a stage that was
    /// complete was looked at, and with many nodes that takes long.
    fn look(&mut self, now: Nanos) {
        let down = self.down(now);
        let mut lost = [(0.0, 0.0); 2];
        let mut fetches = 0;
        for m in &mut self.members {
            let Some(report) = &m.report else { continue };
            if let Some(seen) = m.seen.replace(report.clone()).filter(|s| s != report) {
                let of = &mut lost[usize::from(m.at == At::New)];
                let done = report.since(&seen);
                fetches += done.fetches;
                for o in &done.operations {
                    *of = (of.0 + (o.asked - o.in_time), of.1 + o.asked);
                }
            }
        }
        let part =
            |(lost, asked): (f64, f64)| (asked > 0.0).then(|| (lost / asked).clamp(0.0, 1.0));
        let all = part((lost[0].0 + lost[1].0, lost[0].1 + lost[1].1));
        let bound = self.past.as_ref().map_or(1.0, |p| p.lost + self.plan.fleet);
        // Trouble of all shows at the unchanged. Where only the changed do worse the stage is completed, and judged.
        match part(lost[0]).or(all) {
            Some(lost) if lost > bound => {
                self.alarm.get_or_insert(now);
                (self.calm, self.loses) = (0, lost);
            }
            Some(_) => {
                self.calm += 1;
                // One better span is no end of it: with one a stage passed in the middle of a fleet that lost a quarter.
                if self.calm >= CALM {
                    self.alarm = None;
                }
            }
            None => {}
        }
        // Over some four spans: reports do not come in step with looks.
        self.fetches +=
            0.25 * (fetches as f64 * SECOND as f64 / self.plan.span as f64 - self.fetches);
        match self.plan.fetches_per_s {
            Some(most) if self.fetches > most => drop(self.crowded.get_or_insert(now)),
            _ => self.crowded = None,
        }
        let phase = match self.phase {
            Phase::Before => "before",
            Phase::Moving => "moving",
            Phase::Watching { .. } => "watching",
            Phase::Back { .. } => "back",
            Phase::Done => "done",
        };
        let found = self.last.as_ref().filter(|_| phase == "watching");
        self.actions.push(Action::Show(Seen {
            stage: self.stage,
            phase: phase.to_string(),
            all,
            fetches_per_s: self.fetches,
            changed: part(lost[1]),
            unchanged: part(lost[0]),
            new: self.changed(),
            down: down.by_hand.len() + down.others.len(),
            measure: found.map_or(String::new(), |f| f.measure.clone()),
            reached: found.map_or(0.0, |f| f.reached),
        }));
    }

    fn suffers(&self) -> String {
        let past = self.past.as_ref().map_or(0.0, |p| p.lost);
        let (now, past) = (100.0 * self.loses, 100.0 * past);
        format!("the whole fleet loses {now:.1} % of the billed value, {past:.1} % before")
    }

    fn before(&mut self, now: Nanos) {
        let began = self.began.unwrap_or(now);
        let heard = self.members.iter().filter(|m| m.report.is_some()).count();
        if now < began + self.plan.hold {
            return;
        }
        if heard < self.members.len() {
            if now > began + self.plan.longest {
                let missing: Vec<String> = (0..self.members.len())
                    .filter(|&n| self.members[n].report.is_none())
                    .map(|n| self.name(n))
                    .collect();
                self.finish(How::Left(format!(
                    "nothing done: no report from {}",
                    missing.join(", ")
                )));
            }
            return;
        }
        let prints: std::collections::BTreeSet<_> = self
            .members
            .iter()
            .filter_map(|m| m.report.as_ref().map(|r| r.placement.clone()))
            .collect();
        if prints.len() > 1 {
            return self.finish(How::Left(
                "nothing done: the nodes place keys in different ways already".to_string(),
            ));
        }
        let of = |m: &Member| {
            let (first, latest) = (m.first.as_ref()?, m.report.as_ref()?);
            Some((latest.since(first), latest.clone()))
        };
        let past = Past::of(&self.members.iter().map(of).collect::<Vec<_>>());
        self.say(format!(
            "{heard} nodes, {:.2} % of the billed value lost before the change",
            100.0 * past.lost
        ));
        self.log(Entry::Past { past: past.clone() });
        self.past = Some(past);
        self.enter(0);
    }

    fn enter(&mut self, stage: usize) {
        self.log(Entry::Stage { stage });
        let (at, all) = (self.sizes[stage], self.members.len());
        self.say(format!(
            "stage {} of {}: {at} of {all} nodes",
            stage + 1,
            self.sizes.len()
        ));
        self.members
            .iter_mut()
            .filter(|m| m.at == At::Fresh)
            .for_each(|m| m.at = At::Old);
        (self.stage, self.phase, self.last) = (stage, Phase::Moving, None);
    }

    /// Those that are new in this stage, and as many of the last in the order, if there are, to hold them against.
    fn groups(&self) -> (Vec<usize>, Vec<usize>) {
        let (size, all) = (self.sizes[self.stage], self.order.len());
        let before = if self.stage == 0 {
            0
        } else {
            self.sizes[self.stage - 1]
        };
        let fellows = (size - before).min(all - size);
        (
            self.order[before..size].to_vec(),
            self.order[all - fellows..].to_vec(),
        )
    }

    /// Whether one more may be down: never more than so many, never in two zones. One that is silent is down already,
    /// so that other silent ones do not keep it from a command: two changed nodes that had died, each in a zone of its
    /// own, kept each other from being taken back. Those that a command is out for count in any case: where all fell
    /// silent at once, as behind a cut, they are not all ended at once.
    fn may_take_down(&self, n: usize, down: &Down) -> bool {
        let zone = |o: usize| &self.plan.nodes[o].zone;
        let fits = |of: &[usize]| of.iter().all(|&o| o == n || zone(o) == zone(n));
        let besides = |of: &[usize]| of.iter().filter(|&&o| o != n).count();
        if down.others.contains(&n) || down.by_hand.contains(&n) {
            return besides(&down.by_hand) < self.plan.down_at_once && fits(&down.by_hand);
        }
        let all = besides(&down.by_hand) + besides(&down.others);
        all < self.plan.down_at_once && fits(&down.by_hand) && fits(&down.others)
    }

    fn down(&self, now: Nanos) -> Down {
        let mut down = Down::default();
        for (n, m) in self.members.iter().enumerate() {
            match m.at {
                At::Unsure(_) | At::Busy(_) | At::Due(_) => down.by_hand.push(n),
                At::Left => down.others.push(n),
                _ if self.silent(n, now) => down.others.push(n),
                _ => {}
            }
        }
        down
    }

    /// Begins as many as may be down at once, those first that come first; whether any was begun.
    fn begin_some(&mut self, wanted: &[(usize, Doing)], now: Nanos) -> bool {
        let mut down = self.down(now);
        let mut begun = false;
        // In the order wanted, but for those in another zone than the ones that are down: they wait for their turn.
        // Taken strictly in order, nodes whose zones alternate were changed one by one, however many might be down.
        for &(n, doing) in wanted {
            // With as many as may be under a command only one of those can be begun again.
            if down.by_hand.len() >= self.plan.down_at_once && !down.by_hand.contains(&n) {
                continue;
            }
            if self.may_take_down(n, &down) {
                self.begin(n, doing, now);
                down.others.retain(|&o| o != n);
                down.by_hand.retain(|&o| o != n);
                down.by_hand.push(n);
                begun = true;
            }
        }
        begun
    }

    fn begin(&mut self, n: usize, doing: Doing, now: Nanos) {
        (self.members[n].at, self.members[n].since) = (At::Busy(doing), now);
        let node = self.name(n);
        self.log(Entry::Begin {
            node: node.clone(),
            doing,
        });
        self.say(format!("{node}: {doing:?}"));
        self.actions.push(Action::Run { node: n, doing });
    }

    fn moving(&mut self, now: Nanos) {
        let (new, fellows) = self.groups();
        // What an earlier conductor left in the middle goes first: it counts as down.
        let unsure = |n: &usize| matches!(self.members[*n].at, At::Unsure(_));
        if let Some(n) = (0..self.members.len()).find(unsure) {
            let doing = if new.contains(&n) {
                Doing::Change
            } else {
                Doing::Restart
            };
            return self.begin(n, doing, now);
        }
        let old = |n: &usize| self.members[*n].at == At::Old;
        // By turns, so that both groups are as fresh when they are compared.
        let (mut change, mut restart) = (
            new.iter().copied().filter(old).peekable(),
            fellows.iter().copied().filter(old).peekable(),
        );
        let mut wanted = Vec::new();
        while change.peek().is_some() || restart.peek().is_some() {
            wanted.extend(change.next().map(|n| (n, Doing::Change)));
            wanted.extend(restart.next().map(|n| (n, Doing::Restart)));
        }
        if let Some(&(first, _)) = wanted.first() {
            if let Some(since) = self.alarm {
                // Nobody more goes down while all suffer; what began is let come up.
                if now > since + self.plan.longest {
                    let text = format!(
                        "{}, while nodes are changed and for too long",
                        self.suffers()
                    );
                    self.turn(text);
                }
                return;
            }
            if let Some(since) = self.crowded {
                // Keys that moved, or cold copies, cost the origin as much as it can bear: the next ones wait.
                if now > since + self.plan.longest {
                    self.turn(
                        "more fetches than the origin can bear while nodes are changed, and for too long"
                            .into(),
                    );
                }
                return;
            }
            let latest = self.members.iter().map(|m| m.since).max().unwrap_or(0);
            if self.plan.placement {
                // One at a time, and what it cost the origin shows before the next: begun together, their keys all
                // missed before anything was seen of it.
                let moving = self
                    .members
                    .iter()
                    .any(|m| matches!(m.at, At::Busy(_) | At::Due(_)));
                if moving || now < latest + SETTLES * self.plan.span {
                    return;
                }
                wanted.truncate(1);
            }
            if !self.begin_some(&wanted, now) && now > latest + self.plan.longest {
                self.turn(format!(
                    "{} could not be taken down: others are",
                    self.name(first)
                ));
            }
            return;
        }
        let settled = |n: &usize| matches!(self.members[*n].at, At::New | At::Fresh | At::Left);
        if new.iter().chain(&fellows).all(settled) {
            self.phase = Phase::Watching {
                since: now,
                trouble: None,
            };
            self.span_at = now + self.plan.span;
            self.members
                .iter_mut()
                .for_each(|m| m.base = m.report.clone());
            let (past, p) = (self.past.clone().unwrap_or_default(), &self.plan);
            let (nodes, stages) = (self.members.len(), self.sizes.len());
            let judge = self
                .judge
                .get_or_insert_with(|| Judge::new(past, nodes, stages, p.least, p.false_stops));
            judge.stage();
        }
    }

    fn watching(&mut self, now: Nanos) {
        let Phase::Watching { since, trouble } = self.phase else {
            return;
        };
        if now >= self.span_at {
            self.span_at = now + self.plan.span;
            let trouble = self.span(now).map(|why| (trouble.unwrap_or(now), why));
            if let Phase::Watching { trouble: t, .. } = &mut self.phase {
                *t = trouble.as_ref().map(|t| t.0);
            }
            if let Some((from, why)) = trouble
                && now > from + self.plan.longest
            {
                return self.turn(format!(
                    "{why}, while the stage was watched and for too long"
                ));
            }
            if let Some(since) = self.alarm.filter(|since| now > since + self.plan.longest) {
                let seconds = (now - since) / SECOND;
                return self.turn(format!("{}, for {seconds} s and too long", self.suffers()));
            }
        }
        let Phase::Watching { trouble, .. } = self.phase else {
            return;
        };
        let (_, fellows) = self.groups();
        // Watched until the clearest harm could have been told, however short the plan holds: with eight spans nothing
        // could ever have stopped it.
        let needed = self
            .judge
            .as_ref()
            .filter(|_| !fellows.is_empty())
            .map_or(0, Judge::needed);
        let hold = self.plan.hold.max(needed as Nanos * self.plan.span);
        let spans = (hold / self.plan.span).max(1) as f64;
        let told = fellows.is_empty()
            || self
                .judge
                .as_ref()
                .is_some_and(|j| j.spans as f64 >= TOLD * spans);
        let suspect = self.last.as_ref().is_some_and(|f| f.worth > SUSPECT);
        if trouble.is_none() && self.alarm.is_none() && now >= since + hold && told && !suspect {
            self.log(Entry::Passed { stage: self.stage });
            if self.stage + 1 < self.sizes.len() {
                return self.enter(self.stage + 1);
            }
            let left = self.left();
            return self.finish(match left.is_empty() {
                true => How::Through,
                false => How::Left(format!("every node is changed but for {left}")),
            });
        }
        if now > since + 2 * self.plan.longest.max(hold) {
            self.turn("no evidence either way in time".to_string());
        }
    }

    /// One span: who is silent, if any, so that nobody goes on.
    fn span(&mut self, now: Nanos) -> Option<String> {
        let past = self.past.clone().unwrap_or_default();
        let (new, fellows) = self.groups();
        let quiet: Vec<String> = (0..self.members.len())
            .filter(|&n| self.silent(n, now))
            .map(|n| self.name(n))
            .collect();
        let mut done = Vec::new();
        for m in &mut self.members {
            let (Some(report), Some(base)) = (&m.report, &m.base) else {
                done.push(None);
                continue;
            };
            // No news in this span: neither good nor bad.
            let fresh = report != base;
            done.push(fresh.then(|| (report.since(base), report.clone())));
            m.base = Some(report.clone());
        }
        let parts = |of: &[usize]| -> Vec<(usize, crate::judge::Parts)> {
            let each = of
                .iter()
                .filter_map(|&n| done[n].as_ref().map(|(d, r)| (n, past.parts(d, r))));
            each.collect()
        };
        if !quiet.is_empty() {
            return Some(format!("no word from {}", quiet.join(", ")));
        }
        // What all suffer alike says nothing between the two; and while it lasts small differences mislead.
        let (new, old) = (parts(&new), parts(&fellows));
        if let Some(found) = self.judge.as_mut().and_then(|j| j.span(&new, &old)) {
            if found.reached >= 1.0 {
                let text = format!(
                    "{} is worse by {:.3} than at nodes restarted as lately",
                    found.measure, found.worse
                );
                self.turn(text);
            }
            self.last = Some(found);
        }
        None
    }

    fn going_back(&mut self, now: Nanos) {
        let Phase::Back { why } = &self.phase else {
            return;
        };
        let why = why.clone();
        let there = |n: &usize| matches!(self.members[*n].at, At::New | At::Unsure(_));
        let unsure = |n: &usize| matches!(self.members[*n].at, At::Unsure(_));
        let next = self.order.iter().rev().copied().find(unsure);
        if next.is_some() || self.order.iter().any(there) {
            let all = || self.order.iter().rev().copied();
            let wanted: Vec<(usize, Doing)> = all()
                .filter(unsure)
                .chain(all().filter(|n| there(n) && !unsure(n)))
                .map(|n| (n, Doing::Back))
                .collect();
            if self.begin_some(&wanted, now) {
                return;
            }
            let moving = self
                .members
                .iter()
                .any(|m| matches!(m.at, At::Busy(_) | At::Due(_)));
            let latest = self
                .members
                .iter()
                .map(|m| m.since)
                .max()
                .unwrap_or(0)
                .max(self.began.unwrap_or(now));
            if !moving && now > latest + self.plan.longest {
                let quiet = (0..self.members.len())
                    .filter(|&n| self.silent(n, now))
                    .map(|n| self.name(n));
                let quiet = quiet.collect::<Vec<_>>().join(", ");
                let text = format!(
                    "{why}; {} nodes are still changed, as no word comes from {quiet}",
                    self.changed()
                );
                return self.finish(How::Left(text));
            }
            let left = self.left();
            // Those that are left count as down: no more than so many may be.
            if !moving && !left.is_empty() {
                let text = format!(
                    "{why}; {} nodes are still changed, as {} would not do as told",
                    self.changed(),
                    left
                );
                self.finish(How::Left(text));
            }
            return;
        }
        if !self
            .members
            .iter()
            .any(|m| matches!(m.at, At::Busy(_) | At::Due(_)))
        {
            let left = self.left();
            let how = if left.is_empty() {
                How::Back(why)
            } else {
                How::Left(format!("{why}; taken back but for {}", left))
            };
            self.finish(how);
        }
    }
}
