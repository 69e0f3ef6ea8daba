//! Rounds: asking a group, counting its answers, going on. One round is under way at a time for all calls that wait.
//!
//! | phase | asked | ends when | then |
//! | --- | --- | --- | --- |
//! | query | newest votes on disk | a majority has one and the same | it is chosen: reads are answered |
//! | prepare | promises | a majority promised | the newest vote seen is proposed again, unless that majority has it |
//! | accept | a vote for a slot | a majority voted | it is chosen; calls in it are answered; this node leads |
//! | back off | nobody | time is up | prepare, with a higher ballot |
//!
//! Who leads proposes the next slot without preparing: a majority of its group has just voted under this ballot, and
//! can hold nothing newer.
use crate::Nanos;
use crate::evaluation::{self, Fate, Judged};
use crate::machine::Machine;
use crate::message::Message;
use crate::operation::{Operation, Outcome, Rejection, Sent};
use crate::quorum::reached;
use crate::register::Register;
use crate::types::{Member, ProposalNumber, SharedVote, VoteId};
use std::collections::{BTreeMap, BTreeSet};

/// Queries that find no agreement before a ballot is taken: mostly a vote is just under way.
const QUERIES: u32 = 3;

/// Repeats of one question to those who were silent before the round begins anew.
const REPEATS: u32 = 6;

/// The right to propose the slot after `chosen` under `ballot`.
#[derive(Clone, Debug)]
pub(crate) struct Lead {
    pub ballot: ProposalNumber,
    pub chosen: SharedVote,
    /// Step at which the round that proved it began: calls older than that may be answered by it.
    pub proved: u64,
}

#[derive(Clone, Debug)]
pub(crate) enum Phase {
    Idle,
    BackOff { until: Nanos },
    Round(Round),
}

#[derive(Clone, Debug)]
pub(crate) enum Goal {
    Query { nonce: u64, tries: u32 },
    Prepare { ballot: ProposalNumber },
    Accept { judged: Vec<Judged> },
}

#[derive(Clone, Debug)]
pub(crate) struct Round {
    goal: Goal,
    step: u64,
    asked: Vec<Member>,
    heard: BTreeMap<u64, Option<VoteId>>,
    refused: BTreeSet<u64>,
    /// The newest vote seen, or the one proposed.
    vote: SharedVote,
    /// Further votes seen by a query.
    seen: Vec<SharedVote>,
    began: Nanos,
    repeats: u32,
    repeat_at: Nanos,
}

impl Phase {
    pub fn next_wake(&self) -> Option<Nanos> {
        match self {
            Phase::Idle => None,
            Phase::BackOff { until } => Some(*until),
            Phase::Round(round) => Some(round.repeat_at),
        }
    }
}

impl Round {
    fn message(&self) -> Message {
        let known = Some(self.vote.id());
        match &self.goal {
            Goal::Query { nonce, .. } => Message::Query {
                nonce: *nonce,
                known,
            },
            Goal::Prepare { ballot } => Message::Prepare {
                ballot: *ballot,
                known,
            },
            Goal::Accept { .. } => Message::Accept {
                vote: self.vote.clone(),
            },
        }
    }
}

impl<M: Machine> Register<M> {
    /// Starts what the waiting calls need, if no round is under way.
    pub(crate) fn drive(&mut self, now: Nanos) {
        while matches!(self.phase, Phase::Idle) && !self.operations.is_empty() {
            let Some(newest) = self.newest().cloned() else {
                for operation in std::mem::take(&mut self.operations) {
                    self.finish(operation.id, Outcome::Rejected(Rejection::NoGroup));
                }
                return;
            };
            if self.settings.defects.read_locally && self.operations.iter().any(Operation::is_read)
            {
                for operation in self
                    .operations
                    .extract_if(.., |o| o.is_read())
                    .collect::<Vec<_>>()
                {
                    self.finish(operation.id, Outcome::Answered(newest.state.body.clone()));
                }
            } else if self.lead.is_some() {
                self.lead_on(now);
            } else if self.operations.iter().all(|o| o.is_read()) {
                self.query(1, newest, now);
            } else {
                self.prepare(newest, now);
            }
        }
    }

    /// Judges the waiting calls on the state that this node leads from.
    fn lead_on(&mut self, now: Nanos) {
        let Some(lead) = self.lead.take() else { return };
        self.settle_fates(&lead.chosen);
        let origin = self.rng.u64(1..);
        let batch = evaluation::evaluate(
            &self.machine,
            &self.operations,
            &lead.chosen,
            lead.ballot,
            origin,
            &self.settings,
        );
        if let Some(vote) = batch.vote {
            for judged in batch.judged.iter().filter(|j| j.proposed) {
                let operation = self.operations.iter_mut().find(|o| o.step == judged.step);
                if let (Some(operation), Outcome::Answered(answer)) = (operation, &judged.outcome) {
                    operation.sent.push(Sent {
                        seq: vote.state.slot,
                        origin,
                        answer: answer.clone(),
                    });
                }
            }
            return self.accept(vote.into(), batch.judged, now);
        }
        let (known, open): (Vec<Judged>, Vec<Judged>) =
            batch.judged.into_iter().partition(|j| j.step < lead.proved);
        self.answer(known);
        let chosen = lead.chosen.clone();
        self.lead = Some(lead);
        if !open.is_empty() {
            self.query(1, chosen, now);
        }
    }

    /// Ends the calls whose proposals were chosen, or can't be told any more.
    fn settle_fates(&mut self, chosen: &SharedVote) {
        let mut ended = Vec::new();
        let settings = &self.settings;
        self.operations.retain_mut(|operation| {
            match evaluation::fate(operation, &chosen.state, settings) {
                Fate::Waits => true,
                Fate::Chosen(answer) => {
                    ended.push((operation.id, Outcome::Answered(answer)));
                    false
                }
                Fate::Untold => {
                    ended.push((operation.id, Outcome::Unknown));
                    false
                }
            }
        });
        for (id, outcome) in ended {
            self.finish(id, outcome);
        }
    }

    fn answer(&mut self, judged: Vec<Judged>) {
        for judged in judged {
            if let Some(index) = self.operations.iter().position(|o| o.step == judged.step) {
                let operation = self.operations.remove(index);
                self.finish(operation.id, judged.outcome);
            }
        }
    }

    fn begin(&mut self, goal: Goal, vote: SharedVote, now: Nanos) {
        let step = self.next_step();
        let asked = vote.electorate();
        let round = Round {
            goal,
            step,
            asked,
            heard: BTreeMap::new(),
            refused: BTreeSet::new(),
            seen: vec![vote.clone()],
            vote,
            began: now,
            repeats: 0,
            repeat_at: now + 4 * self.round_trip,
        };
        for member in round.asked.clone() {
            self.send(member, round.message());
        }
        self.phase = Phase::Round(round);
    }

    fn query(&mut self, tries: u32, vote: SharedVote, now: Nanos) {
        let nonce = self.rng.u64(..);
        self.begin(Goal::Query { nonce, tries }, vote, now);
    }

    fn prepare(&mut self, vote: SharedVote, now: Nanos) {
        self.lead = None;
        self.round += 1;
        let ballot = match self.settings.defects.ballots_shared {
            true => ProposalNumber {
                term: self.round,
                replica: 0,
                incarnation: 0,
            },
            false => ProposalNumber {
                term: self.round,
                replica: self.me.disk_id,
                incarnation: self.incarnation,
            },
        };
        self.begin(Goal::Prepare { ballot }, vote, now);
    }

    fn accept(&mut self, vote: SharedVote, judged: Vec<Judged>, now: Nanos) {
        if self.settings.defects.answer_unchosen {
            for judged in &judged {
                if let Some(operation) = self.operations.iter_mut().find(|o| o.step == judged.step)
                {
                    let id = operation.id.take();
                    self.finish(id, judged.outcome.clone());
                }
            }
        }
        self.begin(Goal::Accept { judged }, vote, now);
    }

    /// Nobody waits for the round any more. A vote that has left is never replaced under its ballot.
    pub(crate) fn abandon(&mut self) {
        if matches!(
            &self.phase,
            Phase::Round(Round {
                goal: Goal::Accept { .. },
                ..
            })
        ) {
            self.lead = None;
        }
        self.phase = Phase::Idle;
    }

    /// Takes an answer into the round that it belongs to; asks members that only now are known to matter.
    fn hear(
        &mut self,
        from: &Member,
        at: Option<VoteId>,
        newer: Option<SharedVote>,
        now: Nanos,
        fits: impl Fn(&Round) -> bool,
    ) -> bool {
        let any = self.settings.defects.any_promise;
        let Phase::Round(round) = &mut self.phase else {
            return false;
        };
        if !fits(round) || round.asked.iter().all(|m| m.disk_id != from.disk_id) {
            return false;
        }
        if round.repeats == 0 && from.disk_id != self.me.disk_id {
            self.round_trip = (self.round_trip * 7 + now.saturating_sub(round.began)) / 8;
        }
        let first = round.heard.is_empty();
        round.heard.insert(from.disk_id, at);
        if let Some(vote) = newer {
            if vote.id() > round.vote.id() && (!any || first) {
                self.take_up(vote);
            } else {
                round.seen.push(vote);
            }
        }
        true
    }

    /// A newer vote in a round that asks: whoever has a say in it is asked too.
    fn take_up(&mut self, vote: SharedVote) {
        let Phase::Round(round) = &mut self.phase else {
            return;
        };
        let mut asks = vote.electorate();
        asks.retain(|m| round.asked.iter().all(|a| a.disk_id != m.disk_id));
        round.asked.extend(asks.iter().cloned());
        round.seen.retain(|v| v.id() != vote.id());
        round.seen.push(vote.clone());
        round.vote = vote;
        let message = round.message();
        for member in asks {
            self.send(member, message.clone());
        }
    }

    /// A vote became known as chosen while a round goes on: it may have been held up by a group that has no say now,
    /// or ask for votes at a slot that is gone.
    pub(crate) fn round_learns(&mut self, vote: &SharedVote, now: Nanos) {
        let Phase::Round(round) = &self.phase else {
            return;
        };
        match round.goal {
            Goal::Accept { .. } if vote.state.slot >= round.vote.state.slot => {
                (self.phase, self.lead) = (Phase::Idle, None);
            }
            Goal::Accept { .. } => {}
            _ if vote.id() < round.vote.id() => {}
            Goal::Query { .. } => {
                self.take_up(vote.clone());
                self.count_reports(now);
            }
            Goal::Prepare { .. } => {
                self.take_up(vote.clone());
                self.count_promises(now);
            }
        }
    }

    pub(crate) fn reported(
        &mut self,
        from: Member,
        nonce: u64,
        at: Option<VoteId>,
        newer: Option<SharedVote>,
        now: Nanos,
    ) {
        let fits = |r: &Round| matches!(r.goal, Goal::Query { nonce: n, .. } if n == nonce);
        if !self.hear(&from, at, newer, now, fits) {
            return;
        }
        self.count_reports(now);
    }

    fn count_reports(&mut self, now: Nanos) {
        let Phase::Round(round) = &mut self.phase else {
            return;
        };
        let agreed = |v: &&SharedVote| {
            reached(
                v,
                |d| round.heard.get(&d) == Some(&Some(v.id())),
                &self.at_start,
                &self.settings.defects,
            )
        };
        let Some(chosen) = round.seen.iter().find(agreed).cloned() else {
            if round
                .asked
                .iter()
                .all(|m| round.heard.contains_key(&m.disk_id))
            {
                round.repeat_at = round.repeat_at.min(now + self.round_trip);
            }
            return;
        };
        let (step, asked) = (round.step, std::mem::take(&mut round.asked));
        let behind: Vec<Member> = asked
            .into_iter()
            .filter(|m| {
                round
                    .heard
                    .get(&m.disk_id)
                    .is_some_and(|h| *h != Some(chosen.id()))
            })
            .collect();
        self.phase = Phase::Idle;
        self.publish(&chosen, now);
        for member in behind {
            self.send(member, Message::Chosen { at: chosen.id() });
        }
        match &mut self.lead {
            Some(lead) if lead.chosen.id() == chosen.id() => lead.proved = lead.proved.max(step),
            _ => {
                // Somebody else went on from here, or nobody leads.
                self.lead = None;
                let answers = self
                    .operations
                    .iter()
                    .filter(|o| o.is_read() && o.step < step);
                let outcome = Outcome::Answered(chosen.state.body.clone());
                let judged = answers.map(|o| Judged {
                    step: o.step,
                    outcome: outcome.clone(),
                    proposed: false,
                });
                let judged = judged.collect();
                self.answer(judged);
            }
        }
    }

    pub(crate) fn promised(
        &mut self,
        from: Member,
        ballot: ProposalNumber,
        at: Option<VoteId>,
        newer: Option<SharedVote>,
        now: Nanos,
    ) {
        let fits = |r: &Round| matches!(r.goal, Goal::Prepare { ballot: b } if b == ballot);
        if !self.hear(&from, at, newer, now, fits) {
            return;
        }
        self.count_promises(now);
    }

    fn count_promises(&mut self, now: Nanos) {
        let Phase::Round(round) = &self.phase else {
            return;
        };
        let Goal::Prepare { ballot } = round.goal else {
            return;
        };
        let defects = &self.settings.defects;
        if !reached(
            &round.vote,
            |d| round.heard.contains_key(&d),
            &self.at_start,
            defects,
        ) {
            return;
        }
        let (vote, step) = (round.vote.clone(), round.step);
        let held = |d| round.heard.get(&d) == Some(&Some(vote.id()));
        if defects.judge_unchosen || reached(&vote, held, &self.at_start, defects) {
            self.phase = Phase::Idle;
            let chosen = self.publish(&vote, now);
            self.lead = Some(Lead {
                ballot,
                chosen,
                proved: step,
            });
        } else {
            let vote = crate::types::Vote {
                number: ballot,
                ..(*vote.0).clone()
            };
            self.accept(vote.into(), Vec::new(), now);
        }
    }

    pub(crate) fn accepted(&mut self, from: Member, at: VoteId, now: Nanos) {
        let fits = |r: &Round| matches!(r.goal, Goal::Accept { .. }) && r.vote.id() == at;
        if !self.hear(&from, Some(at), None, now, fits) {
            return;
        }
        let Phase::Round(round) = &self.phase else {
            return;
        };
        if !reached(
            &round.vote,
            |d| round.heard.contains_key(&d),
            &self.at_start,
            &self.settings.defects,
        ) {
            return;
        }
        let Phase::Round(round) = std::mem::replace(&mut self.phase, Phase::Idle) else {
            return;
        };
        self.back_offs = 0;
        let chosen = self.publish(&round.vote, now);
        for member in round.asked {
            if member.disk_id != self.me.disk_id {
                self.send(member, Message::Chosen { at });
            }
        }
        if let Goal::Accept { judged } = round.goal {
            self.answer(judged);
        }
        self.lead = Some(Lead {
            ballot: at.number,
            chosen,
            proved: round.step,
        });
    }

    pub(crate) fn rejected(&mut self, from: Member, ballot: ProposalNumber, now: Nanos) {
        let Phase::Round(round) = &mut self.phase else {
            return;
        };
        let mine = match round.goal {
            Goal::Query { .. } => return,
            Goal::Prepare { ballot } => ballot,
            Goal::Accept { .. } => round.vote.number,
        };
        if mine != ballot {
            return;
        }
        round.refused.insert(from.disk_id);
        let possible = |d| !round.refused.contains(&d) || round.heard.contains_key(&d);
        if !reached(
            &round.vote,
            possible,
            &self.at_start,
            &self.settings.defects,
        ) {
            self.back_off(now);
        }
    }

    /// Two who raise their ballots against each other in step would go on for ever.
    fn back_off(&mut self, now: Nanos) {
        self.lead = None;
        let most = self.round_trip << self.back_offs.min(6);
        self.back_offs += 1;
        self.phase = Phase::BackOff {
            until: now + self.rng.u64(0..=most),
        };
    }

    pub(crate) fn round_timer(&mut self, now: Nanos) {
        if self.phase.next_wake().is_none_or(|at| at > now) {
            return;
        }
        let newest = self.newest().map(|v| v.id());
        let Phase::Round(round) = &mut self.phase else {
            self.phase = Phase::Idle;
            return;
        };
        if let Goal::Query { tries, .. } = round.goal {
            let vote = round.vote.clone();
            // A majority answered and did not agree.
            if reached(
                &vote,
                |d| round.heard.contains_key(&d),
                &self.at_start,
                &self.settings.defects,
            ) {
                return if tries < QUERIES {
                    self.query(tries + 1, vote, now)
                } else {
                    self.prepare(vote, now)
                };
            }
        } else if !round.refused.is_empty()
            || newest > Some(round.vote.id())
            || round.repeats >= REPEATS
        {
            // What it asks for, or whom, may be out of date.
            return self.back_off(now);
        }
        round.repeats += 1;
        round.repeat_at = now
            + ((4 * self.round_trip) << round.repeats.min(4)).min(self.settings.contact_timeout);
        let silent: Vec<Member> = round
            .asked
            .iter()
            .filter(|m| !round.heard.contains_key(&m.disk_id))
            .cloned()
            .collect();
        let message = round.message();
        for member in silent {
            self.send(member, message.clone());
        }
    }
}
