//! Whom a request goes to next: the winner of the election, those behind it where it would be late, or nobody.
use super::{Exchange, time_is_over};
use crate::node::counters::count;
use crate::platform::defects::rules;
use crate::platform::http::Response;
use crate::settings::nanos;
use sparrouter_routing::{Selection, SelectionError, SelectionRequest, ServerIndex};
use std::time::Duration;
use tokio::time::Instant;

/// A wait of so much of the aim is comfortable; beyond it the next in the order are asked, so many in all.
const COMFORT: f64 = 0.4;
const ASKED: usize = 3;
/// Further servers that are asked in place of those where the request would begin on weights that are too old by then.
const ASKED_BEYOND_LIMIT: usize = 3;
/// Of a wait beyond so much of the aim a request is told to come back.
const PATIENCE: f64 = 1.0;
/// Part of the shared prompt that a server has to read again: the one that it belongs to, and any other.
const HOME_LOST: f64 = 0.1;
const ELSEWHERE_LOST: f64 = 0.4;

/// After so long another server may have newer weights.
const LOADED_SOON: Duration = Duration::from_millis(250);

/// A prompt that counts as waiting at a server until its first token.
#[derive(Clone, Copy)]
pub(super) struct Counted {
    pub(super) server: u64,
    pub(super) token: u64,
    pub(super) cost: u32,
    pub(super) urgency: u8,
}

impl Exchange<'_> {
    /// The next server, and the token under which the prompt counts as waiting there. Where the winner's backlog would
    /// make it late, those behind it in the order are asked; where all would, it is refused at once.
    pub(super) async fn admit(
        &mut self,
        key: u64,
        proved: bool,
        begun: bool,
    ) -> Result<(Selection, Option<Counted>), Response> {
        let first = self.next_server(key, proved)?;
        if self.model.is_none() || self.prompt.tokens_in == 0 {
            return Ok((first, None));
        }
        let aim = Duration::from_millis(self.route.target_latency_ms);
        let gone = Instant::now().saturating_duration_since(self.came);
        let comfortable = nanos(aim.mul_f64(COMFORT).saturating_sub(gone));
        let mut best: Option<(u64, Selection)> = None;
        let mut passed = self.tried.clone();
        let mut pick = first;
        let (mut in_time, mut too_late) = (0, 0);
        while in_time < ASKED && too_late < ASKED_BEYOND_LIMIT {
            let counted = self.counted(&pick);
            // Elsewhere more has to be read.
            let extra = read_ns(counted.cost) - read_ns(self.counted(&first).cost);
            let until_limit = self.time_left_on(&pick);
            let accepted = comfortable.saturating_sub(extra).min(until_limit);
            match self.wait_at(&counted, accepted).await {
                None => return Ok((pick, None)),
                Some(wait) if wait <= accepted => return Ok((pick, Some(counted))),
                // It would begin on weights that are too old by then.
                Some(wait) if wait >= until_limit => too_late += 1,
                Some(wait) => {
                    in_time += 1;
                    if best.is_none_or(|b| wait + extra < b.0) {
                        best = Some((wait + extra, pick));
                    }
                }
            }
            passed.push(pick.server);
            match self.elect(key, &passed) {
                Ok(next) => {
                    pick = Selection {
                        rank: next.rank + passed.len(),
                        ..next
                    }
                }
                Err(_) => break,
            }
        }
        let Some((wait, pick)) = best else {
            return Err(self.none_begins_in_time(proved));
        };
        // A client that came back is served late rather than refused again, as long as it would wait for it.
        let patience = if self.is_return() {
            self.silence()
        } else {
            aim.mul_f64(PATIENCE)
        };
        if wait > nanos(patience.saturating_sub(gone)) && self.sent == 0 && !begun {
            let back = Duration::from_nanos(wait)
                .saturating_sub(aim / 2)
                .clamp(aim / 4, aim * 4);
            return Err(Response::retry_later(self.node.jitter(back)));
        }
        let counted = self.counted(&pick);
        let known = self.wait_at(&counted, u64::MAX / 2).await.is_some();
        Ok((pick, known.then_some(counted)))
    }

    /// How long a request may wait at a server until it begins there; `u64::MAX` where no newer weights are named.
    fn time_left_on(&self, pick: &Selection) -> u64 {
        let (Some(model), Some(version)) = (&self.model, pick.version) else {
            return u64::MAX;
        };
        let now = self.node.now();
        let server_table = self.node.server_table.borrow();
        server_table.versions.remaining_time(model, version, now)
    }

    /// The answer where each server would begin after the time limit of the weights that it runs.
    fn none_begins_in_time(&self, proved: bool) -> Response {
        count(&self.node.counters.no_server_ready);
        if proved {
            Response::retry_later(self.node.jitter(LOADED_SOON))
        } else {
            may_have_run()
        }
    }

    pub(super) async fn wait_at(&self, counted: &Counted, most: u64) -> Option<u64> {
        let Counted {
            server,
            token,
            cost,
            urgency,
        } = *counted;
        self.node
            .estimate_wait(server, token, cost, urgency, most)
            .await
    }

    /// What a server has to read of it: its own part, and of the shared ones what it may have lost or never had.
    pub(super) fn counted(&self, pick: &Selection) -> Counted {
        let shared: u64 = self.prompt.shared_blocks().iter().map(|p| p.tokens).sum();
        let lost = if pick.rank == 0 && self.tried.is_empty() {
            HOME_LOST
        } else {
            ELSEWHERE_LOST
        };
        let cost = self.prompt.tokens_in.saturating_sub(shared) as f64 + shared as f64 * lost;
        let server = sparrouter_rendezvous::hash(self.instance(pick.server).as_bytes());
        let token = self.node.rng.borrow_mut().u64(..);
        Counted {
            server,
            token,
            cost: cost as u32,
            urgency: urgency(self.prompt.tokens_in) as u8,
        }
    }

    /// Less time is left than requests on this route come with: an earlier try of it was refused or failed.
    pub(super) fn is_return(&self) -> bool {
        self.told_ms
            .is_some_and(|told| (told as f64) < self.route.timeout_ms as f64 * 0.98)
    }

    /// After so long without an event a client leaves (PROTOCOL.md).
    pub(super) fn silence(&self) -> Duration {
        let aim = Duration::from_millis(self.route.target_latency_ms);
        let gap = Duration::from_millis(self.route.target_token_interval_ms);
        Duration::from_secs(2)
            .max(aim * 4)
            .max(gap * 8)
            .mul_f64(0.8)
    }

    pub(super) fn elect(
        &self,
        key: u64,
        tried: &[ServerIndex],
    ) -> Result<Selection, SelectionError> {
        let model = self.model.as_deref();
        let ask = SelectionRequest {
            service: &self.service,
            key,
            model,
            is_long_generation: self.is_long,
            attempted: tried,
        };
        self.node
            .server_table
            .borrow()
            .select(&ask, self.node.now())
    }

    /// Whom to send to next, or what to answer where there is nobody.
    pub(super) fn next_server(&self, key: u64, proved: bool) -> Result<Selection, Response> {
        let again = self.sent > 0;
        self.check_key(proved)?;
        let later = |ms: u64| Response::retry_later(self.node.jitter(Duration::from_millis(ms)));
        let gone = may_have_run();
        if again && !proved && !self.route.is_idempotent() {
            return Err(if !rules::retry_later_proves_not_run() {
                later(120)
            } else {
                gone
            });
        }
        let refused = || if proved { later(120) } else { gone.clone() };
        let most = self.route.max_attempts.max(1);
        if again && self.sent >= most && rules::attempts_are_limited() {
            return Err(refused());
        }
        if Instant::now() >= self.until {
            return Err(if proved { later(120) } else { time_is_over() });
        }
        let ask = SelectionRequest {
            service: &self.service,
            key,
            model: self.model.as_deref(),
            is_long_generation: self.is_long,
            attempted: &self.tried,
        };
        let pick = self
            .node
            .server_table
            .borrow()
            .select(&ask, self.node.now());
        if pick.is_err() {
            count(&self.node.counters.no_server_ready);
        }
        let pick = pick.map_err(|turned| match turned {
            SelectionError::NoneReady | SelectionError::NoServer
                if !rules::missing_server_is_no_missing_route() =>
            {
                Response::plain(404, "no route")
            }
            SelectionError::NoneReady if proved => later(250),
            SelectionError::NoServer if proved => later(300),
            _ => gone.clone(),
        })?;
        if again && !self.node.may_retry(&self.service) {
            return Err(refused());
        }
        Ok(pick)
    }
}

pub(super) fn may_have_run() -> Response {
    Response::plain(502, "the server broke off and the request may have run")
}

/// What it takes to read so many tokens, at a usual rate.
pub(super) fn read_ns(tokens: u32) -> u64 {
    u64::from(tokens) * 25_000
}

/// Prompts of up to twice so many tokens are the most urgent; each doubling is one class further.
const SMALLEST_CLASS: u64 = 512;
/// The last class, from 8,192 tokens on. Beyond it larger prompts would wait behind large ones for ever, and be the first
/// that a server puts back, in the middle of their streams, where its memory runs out.
const LAST_URGENCY: u32 = 4;

/// Small prompts go first: they hold a large one up by little, and would wait long behind it.
pub(super) fn urgency(tokens_in: u64) -> u32 {
    (tokens_in.max(SMALLEST_CLASS) / SMALLEST_CLASS)
        .ilog2()
        .min(LAST_URGENCY)
}
