//! A modelled fleet: nodes that report each second, take commands, and are good or bad by their generation.
#![allow(dead_code)]
use sparrouter_rollout::conduct::*;
use sparrouter_rollout::plan::Plan;
use sparrouter_rollout::report::{BUCKETS, Operation, Report, bucket};
use sparrouter_rollout::{Nanos, SECOND};

/// What the new version does wrong.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Bad {
    No,
    DiesAfter(Nanos),
    /// And is not started again.
    DeadAfter(Nanos),
    NeverReady,
    Slower(f64),
    Errs(f64),
    /// The second operation alone.
    OneWorse(f64),
    Leaks,
    /// Chooses other cache servers for keys.
    Places,
    /// Harms all nodes alike.
    InSum(f64),
    /// Only when it has run for so long.
    WhenWarm(Nanos, f64),
}

pub fn plan(nodes: usize, zones: usize) -> Plan {
    let mut text = r#"
        name = "model"
        change = { generation = "new", from = "old" }
        stages = { parts = [0.07, 0.25, 0.5, 1.0], hold_s = 40, longest_s = 120, command_s = 20, down_at_once = 2 }
    "#
    .to_string();
    for n in 0..nodes {
        text += &format!(
            "[[node]]\nname = \"n{n}\"\nzone = \"z{}\"\nchange = [\"c\"]\nback = [\"b\"]\nrestart = [\"r\"]\nreport = \"x\"\n",
            n % zones
        );
    }
    Plan::read(&text).expect("a sound plan")
}

pub struct Proc {
    pub new: bool,
    pub started: Nanos,
    pub report: Report,
    /// What it loses for good, whatever its version.
    own: f64,
    busy: Option<(Doing, Nanos)>,
    pub dead: bool,
    /// Its commands come to nothing.
    pub stubborn: bool,
    pub restarts: usize,
}

pub struct Fleet {
    pub plan: Plan,
    pub procs: Vec<Proc>,
    pub now: Nanos,
    pub bad: Bad,
    /// All nodes lose this part more in this time: not the change's fault.
    pub trouble: Option<(Nanos, Nanos, f64)>,
    pub muted: Vec<usize>,
    /// From then to then reports of the first so many nodes do not arrive.
    pub cut: Option<(Nanos, Nanos, usize)>,
    /// Reads and writes that a node gets in a second, on the mean.
    pub per_s: [usize; 2],
    rng: fastrand::Rng,
    pub log: Vec<Entry>,
    pub said: Vec<String>,
    pub seen: Vec<Seen>,
    pub asked: f64,
    pub lost: f64,
    pub most_down: usize,
    /// The conductor is killed after so many actions, before they are logged or done, once.
    pub kill_after: Option<usize>,
    acted: usize,
    inputs: Vec<Input>,
}

impl Fleet {
    pub fn new(plan: Plan, bad: Bad, seed: u64) -> Fleet {
        let mut rng = fastrand::Rng::with_seed(seed);
        let names: Vec<String> = plan.nodes.iter().map(|n| n.name.clone()).collect();
        let procs = names.into_iter().map(|name| Proc {
            new: false,
            started: 0,
            report: Report {
                name,
                generation: "old".into(),
                placement: "1".into(),
                ..Report::default()
            },
            own: 0.02 * rng.f64(),
            busy: None,
            dead: false,
            stubborn: false,
            restarts: 0,
        });
        Fleet {
            procs: procs.collect(),
            plan,
            now: 100 * SECOND,
            bad,
            trouble: None,
            muted: vec![],
            cut: None,
            per_s: [60, 8],
            rng,
            log: vec![],
            said: vec![],
            seen: vec![],
            asked: 0.0,
            lost: 0.0,
            most_down: 0,
            kill_after: None,
            acted: 0,
            inputs: vec![],
        }
    }

    fn start(&mut self, n: usize, new: bool) {
        let p = &mut self.procs[n];
        (p.new, p.started, p.dead, p.restarts) = (new, self.now, false, p.restarts + 1);
        let generation = if new { "new" } else { "old" }.to_string();
        let placement = if new && self.bad == Bad::Places {
            "2"
        } else {
            "1"
        }
        .to_string();
        p.report = Report {
            name: p.report.name.clone(),
            generation,
            placement,
            ..Report::default()
        };
    }

    /// A second of traffic at one node.
    fn serve(&mut self, n: usize) {
        let in_sum = match self.bad {
            Bad::InSum(harm) => {
                harm * self.procs.iter().filter(|p| p.new).count() as f64 / self.procs.len() as f64
            }
            _ => 0.0,
        };
        let (per_s, bad) = (self.per_s, self.bad);
        let trouble = self
            .trouble
            .filter(|t| (t.0..t.1).contains(&self.now))
            .map_or(0.0, |t| t.2);
        let (rng, p, now) = (&mut self.rng, &mut self.procs[n], self.now);
        let age = now - p.started;
        // A fresh process is slower by itself.
        let fresh = if age < 5 * SECOND { 0.03 } else { 0.0 };
        let (mut worse, mut errs, mut slower, mut second) = (0.0, 0.0, 1.0, 0.0);
        if p.new {
            match self.bad {
                Bad::Slower(by) => slower += by,
                Bad::Errs(part) => errs = part,
                Bad::OneWorse(harm) => second = harm,
                Bad::Leaks => p.report.memory_kib += 400,
                Bad::WhenWarm(after, harm) if age > after => worse = harm,
                _ => {}
            }
        }
        // Keys that moved miss at their new place until they have been fetched.
        let moved = if p.new && bad == Bad::Places {
            0.8 * 0.5f64.powf(age as f64 / (20 * SECOND) as f64)
        } else {
            0.0
        };
        let fetched = 0.1 + moved;
        p.report.uptime_ms = age / 1_000_000;
        (p.report.memory_kib, p.report.descriptors) = (p.report.memory_kib.max(8000), 60);
        for (o, (name, per_s)) in ["read", "write"].into_iter().zip(per_s).enumerate() {
            let at = p
                .report
                .operations
                .iter()
                .position(|op| op.name == name)
                .unwrap_or_else(|| {
                    let (name, latency) = (name.to_string(), vec![0; BUCKETS]);
                    p.report.operations.push(Operation {
                        name,
                        latency,
                        ..Operation::default()
                    });
                    p.report.operations.len() - 1
                });
            let op = &mut p.report.operations[at];
            let harm = p.own + fresh + in_sum + trouble + worse + if o == 1 { second } else { 0.0 };
            for _ in 0..rng.usize(per_s / 2..=per_s * 3 / 2) {
                (op.taken, op.asked) = (op.taken + 1, op.asked + 1.0);
                p.report.forwards += 1;
                p.report.fetches += u64::from(rng.f64() < fetched);
                self.asked += 1.0;
                if rng.f64() < errs {
                    op.errored += 1;
                    self.lost += 1.0;
                    continue;
                }
                if rng.f64() < harm {
                    op.throttled += 1;
                    self.lost += 1.0;
                    continue;
                }
                op.succeeded += 1;
                op.in_time += 1.0;
                let ms = slower * 40.0 * (-rng.f64().max(1e-9).ln());
                op.latency[bucket((ms * 1000.0) as u64)] += 1;
            }
        }
    }

    fn second(&mut self) {
        for n in 0..self.procs.len() {
            if let Bad::DiesAfter(time) = self.bad
                && self.procs[n].new
                && !self.procs[n].dead
                && self.now >= self.procs[n].started + time
            {
                // Whoever keeps it running starts it again.
                self.start(n, true);
            }
            if let Bad::DeadAfter(time) = self.bad {
                let p = &mut self.procs[n];
                p.dead |= p.new && self.now >= p.started + time;
            }
            let p = &self.procs[n];
            let serving = !p.dead && p.busy.is_none() && !(p.new && self.bad == Bad::NeverReady);
            if serving {
                self.serve(n);
                let cut = self
                    .cut
                    .is_some_and(|(from, to, first)| (from..to).contains(&self.now) && n < first);
                if !self.muted.contains(&n) && !cut {
                    self.inputs.push(Input::Report {
                        node: n,
                        report: Box::new(self.procs[n].report.clone()),
                    });
                }
            }
        }
        let down = self.procs.iter().filter(|p| p.busy.is_some()).count();
        self.most_down = self.most_down.max(down);
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Log(entry) => self.log.push(entry),
            Action::Say(text) => self.said.push(text),
            Action::Run { node, doing } => {
                // Safe to run again: one that is there already is left.
                let there = match doing {
                    Doing::Change => self.procs[node].new,
                    Doing::Back => !self.procs[node].new,
                    Doing::Restart => false,
                };
                let p = &mut self.procs[node];
                p.busy = Some((
                    doing,
                    self.now + if there { SECOND / 2 } else { 2 * SECOND },
                ));
            }
            Action::Show(_) | Action::Finish(_) => {}
        }
    }

    fn commands(&mut self) {
        for n in 0..self.procs.len() {
            let Some((doing, _)) = self.procs[n].busy.filter(|b| b.1 <= self.now) else {
                continue;
            };
            self.procs[n].busy = None;
            if self.procs[n].stubborn {
                self.inputs.push(Input::Ended {
                    node: n,
                    doing,
                    ok: Err("would not".into()),
                });
                continue;
            }
            let new = doing == Doing::Change;
            if doing == Doing::Restart || self.procs[n].new != new {
                self.start(n, new);
            }
            self.inputs.push(Input::Ended {
                node: n,
                doing,
                ok: Ok(()),
            });
        }
    }

    /// Plays a change to its end, the conductor killed and begun anew where that is wanted.
    pub fn play(&mut self) -> How {
        let mut conductor = Conductor::new(self.plan.clone(), &self.log);
        let mut began = self.now;
        for step in 0..40_000u64 {
            self.now += SECOND / 10;
            self.commands();
            if step % 10 == 0 {
                self.second();
            }
            let inputs = std::mem::take(&mut self.inputs);
            for action in conductor.tick(self.now - began + SECOND, inputs) {
                if let Action::Show(seen) = action {
                    self.seen.push(seen);
                    continue;
                }
                if self.kill_after.is_some_and(|k| self.acted >= k) {
                    // Killed before this action: its commands go on, their ends are told to nobody.
                    self.kill_after = None;
                    conductor = Conductor::new(self.plan.clone(), &self.log);
                    (began, self.inputs) = (self.now, vec![]);
                    break;
                }
                self.acted += 1;
                if let Action::Finish(how) = &action {
                    return how.clone();
                }
                self.act(action);
            }
            if let Some(Entry::Done { how }) = self.log.last() {
                return how.clone();
            }
        }
        panic!("no end: {:?}", self.said);
    }

    pub fn changed(&self) -> usize {
        self.procs.iter().filter(|p| p.new).count()
    }
    pub fn stage(&self) -> usize {
        self.log
            .iter()
            .filter(|e| matches!(e, Entry::Stage { .. }))
            .count()
    }
    /// All actions of one play, for the points at which it may be killed.
    pub fn actions(&self) -> usize {
        self.acted
    }
}
