//! Which server a request goes to next: the first of its order, those behind it where it would be late, or none.
use super::{Exchange, deadline_passed, may_have_run};
use crate::node::counters::count;
use crate::platform::defects::rules;
use crate::platform::http::Response;
use crate::proxy::backlogs::WaitingPrompt;
use crate::settings::nanos;
use sparrouter_routing::{Nanos, Selection, SelectionError, SelectionRequest, ServerIndex};
use std::time::Duration;
use tokio::time::Instant;

/// A wait of up to this part of the latency target is comfortable; beyond it the next servers in the order are asked ...
const COMFORTABLE_WAIT_RATIO: f64 = 0.4;
/// ... this many in all.
const MAX_ESTIMATES: usize = 3;
/// Further servers that are asked in place of those where the request would begin on outdated weights.
const MAX_ESTIMATES_BEYOND_LIMIT: usize = 3;
/// A request that would wait longer than this part of the latency target is rejected, to come back later.
const MAX_WAIT_RATIO: f64 = 1.0;
/// Part of the shared prompt that a server has to prefill again: the first of the order, and any other.
const LOST_BY_FIRST: f64 = 0.1;
const LOST_BY_OTHERS: f64 = 0.4;
/// Nanoseconds to prefill a token, at a usual rate.
const PREFILL_NANOS_A_TOKEN: u64 = 25_000;
/// A wait that is never too long, as a bound for an estimate.
const ANY_WAIT: Nanos = u64::MAX / 2;

/// A client comes back after this long: in general; where servers load weights; where no server is known.
const RETRY_MS: u64 = 120;
const RETRY_WHILE_LOADING_MS: u64 = 250;
const RETRY_WITHOUT_SERVER_MS: u64 = 300;

/// A client whose time is below this part of the route's has come back: an earlier attempt was rejected or failed.
const RETURN_RATIO: f64 = 0.98;
/// Shortest time without an event after which a client leaves (PROTOCOL.md), and that time in latency targets and in token
/// intervals.
const MIN_PATIENCE: Duration = Duration::from_secs(2);
const PATIENCE_IN_LATENCIES: u32 = 4;
const PATIENCE_IN_INTERVALS: u32 = 8;
/// The part of that time that a request may wait.
const PATIENCE_RATIO: f64 = 0.8;

/// Prompts of up to twice this many tokens are the most urgent; each doubling is one class further.
const SMALLEST_CLASS_TOKENS: u64 = 512;
/// The last class, from 8,192 tokens on. With more classes the largest prompts would wait behind large ones for ever, and
/// be the first that a server preempts, in the middle of their streams, where its memory runs out.
const LAST_URGENCY: u32 = 4;

/// The server that a request goes to.
pub(super) struct AdmittedServer {
    pub(super) selection: Selection,
    /// The prompt as it counts as waiting there; `None`: it does not count.
    pub(super) waiting: Option<WaitingPrompt>,
}

/// The candidate with the shortest wait so far.
#[derive(Clone, Copy)]
struct BestCandidate {
    /// Until the request begins there, with what more has to be prefilled than at the first of the order.
    wait: Nanos,
    selection: Selection,
}

impl Exchange<'_> {
    /// Chooses the next server. Where the backlog of the first of the order would make the request late, those behind it
    /// are asked; where all would, it is rejected at once.
    ///
    /// # Errors
    ///
    /// The response where there is no server to send to.
    pub(super) async fn admit(&self, has_response_begun: bool) -> Result<AdmittedServer, Response> {
        let first = self.next_server()?;
        if self.model.is_none() || self.prompt.tokens_in == 0 {
            return Ok(AdmittedServer {
                selection: first,
                waiting: None,
            });
        }
        let elapsed = Instant::now().saturating_duration_since(self.received_at);
        let best = match self.first_comfortable(first, elapsed).await {
            Candidates::Admitted(server) => return Ok(server),
            Candidates::Best(best) => best,
            Candidates::AllBeyondLimit => return Err(self.reject_beyond_limit()),
        };
        let max_wait = self.max_wait().saturating_sub(elapsed);
        if best.wait > nanos(max_wait) && self.sent_count == 0 && !has_response_begun {
            return Err(self.reject_overload(best.wait));
        }
        let prompt = self.waiting_prompt(&best.selection);
        let is_counted = self.node.enqueue(prompt, ANY_WAIT).await.is_some();
        Ok(AdmittedServer {
            selection: best.selection,
            waiting: is_counted.then_some(prompt),
        })
    }

    /// Asks for the wait at the servers of the order, from `first` on, until one is comfortable.
    async fn first_comfortable(&self, first: Selection, elapsed: Duration) -> Candidates {
        let comfortable = self.latency_target().mul_f64(COMFORTABLE_WAIT_RATIO);
        let comfortable = nanos(comfortable.saturating_sub(elapsed));
        let mut best: Option<BestCandidate> = None;
        let mut passed_over = self.attempted.clone();
        let mut selection = first;
        let (mut in_time, mut beyond_limit) = (0, 0);
        while in_time < MAX_ESTIMATES && beyond_limit < MAX_ESTIMATES_BEYOND_LIMIT {
            let prompt = self.waiting_prompt(&selection);
            // Another server than the first has more to prefill.
            let extra =
                prefill_nanos(prompt.cost) - prefill_nanos(self.waiting_prompt(&first).cost);
            let time_to_limit = self.time_to_version_limit(&selection);
            let accepted = comfortable.saturating_sub(extra).min(time_to_limit);
            match self.node.enqueue(prompt, accepted).await {
                None => return Candidates::admitted(selection, None),
                Some(wait) if wait <= accepted => {
                    return Candidates::admitted(selection, Some(prompt));
                }
                // By then it would begin on outdated weights.
                Some(wait) if wait >= time_to_limit => beyond_limit += 1,
                Some(wait) => {
                    in_time += 1;
                    let wait = wait + extra;
                    if best.is_none_or(|b| wait < b.wait) {
                        best = Some(BestCandidate { wait, selection });
                    }
                }
            }
            passed_over.push(selection.server);
            let Ok(next) = self.select(&passed_over) else {
                break;
            };
            selection = Selection {
                rank: next.rank + passed_over.len(),
                ..next
            };
        }
        best.map_or(Candidates::AllBeyondLimit, Candidates::Best)
    }

    fn latency_target(&self) -> Duration {
        Duration::from_millis(self.route.target_latency_ms)
    }

    /// How long a request may wait at a server until it begins there; `u64::MAX` where no newer weights are named.
    fn time_to_version_limit(&self, selection: &Selection) -> Nanos {
        let (Some(model), Some(version)) = (&self.model, selection.version) else {
            return u64::MAX;
        };
        let now = self.node.now();
        let server_table = self.node.server_table.borrow();
        server_table.versions.remaining_time(model, version, now)
    }

    /// The response where each server would begin after the time limit of the weights that it runs.
    fn reject_beyond_limit(&self) -> Response {
        count(&self.node.counters.no_server_ready);
        self.retry_later_unless_run(RETRY_WHILE_LOADING_MS)
    }

    /// The response where the request would wait too long everywhere: it may come back when the backlog is shorter.
    fn reject_overload(&self, wait: Nanos) -> Response {
        let target = self.latency_target();
        let after = Duration::from_nanos(wait)
            .saturating_sub(target / 2)
            .clamp(target / 4, target * 4);
        Response::retry_later(self.node.jitter(after))
    }

    /// How long the request may wait in all. A client that came back is served late rather than rejected again, as long as
    /// it would wait for it.
    fn max_wait(&self) -> Duration {
        if self.is_return() {
            self.client_patience()
        } else {
            self.latency_target().mul_f64(MAX_WAIT_RATIO)
        }
    }

    /// Whether an earlier attempt of the client was rejected or failed: it has less time than the route gives.
    fn is_return(&self) -> bool {
        let full_time = self.route.timeout_ms as f64 * RETURN_RATIO;
        self.client_timeout_ms
            .is_some_and(|timeout| (timeout as f64) < full_time)
    }

    /// How long a client waits without an event before it leaves, with a margin.
    fn client_patience(&self) -> Duration {
        let interval = Duration::from_millis(self.route.target_token_interval_ms);
        MIN_PATIENCE
            .max(self.latency_target() * PATIENCE_IN_LATENCIES)
            .max(interval * PATIENCE_IN_INTERVALS)
            .mul_f64(PATIENCE_RATIO)
    }

    /// The prompt as it would wait at a server: its own part has to be prefilled there, and of the shared blocks what the
    /// server may have lost or never had.
    fn waiting_prompt(&self, selection: &Selection) -> WaitingPrompt {
        let shared: u64 = self.prompt.shared_blocks().iter().map(|p| p.tokens).sum();
        let lost = if selection.rank == 0 && self.attempted.is_empty() {
            LOST_BY_FIRST
        } else {
            LOST_BY_OTHERS
        };
        let own = self.prompt.tokens_in.saturating_sub(shared);
        let cost = own as f64 + shared as f64 * lost;
        WaitingPrompt {
            server: sparrouter_rendezvous::hash(self.id_of(selection.server).as_bytes()),
            token: self.node.rng.borrow_mut().u64(..),
            cost: cost as u32,
            urgency: urgency(self.prompt.tokens_in) as u8,
        }
    }

    /// The first server of the request's order that is ready and not among `attempted`.
    fn select(&self, attempted: &[ServerIndex]) -> Result<Selection, SelectionError> {
        let request = SelectionRequest {
            service: &self.service,
            key: self.key,
            model: self.model.as_deref(),
            is_long_generation: self.is_long,
            attempted,
        };
        let server_table = self.node.server_table.borrow();
        server_table.select(&request, self.node.now())
    }

    /// The first server of the order that was not attempted, if another attempt is allowed.
    fn next_server(&self) -> Result<Selection, Response> {
        let is_retry = self.sent_count > 0;
        self.check_key()?;
        if is_retry {
            self.check_retry()?;
        }
        if Instant::now() >= self.deadline {
            return Err(if self.is_proven_not_run {
                self.retry_later(RETRY_MS)
            } else {
                deadline_passed()
            });
        }
        let selection = self
            .select(&self.attempted)
            .map_err(|error| self.reject_without_server(error))?;
        if is_retry && !self.node.may_retry(&self.service) {
            return Err(self.retry_later_unless_run(RETRY_MS));
        }
        Ok(selection)
    }

    /// Checks that the route allows another attempt.
    fn check_retry(&self) -> Result<(), Response> {
        if !self.is_proven_not_run && !self.route.is_idempotent() {
            return Err(if rules::retry_later_proves_not_run() {
                may_have_run()
            } else {
                self.retry_later(RETRY_MS)
            });
        }
        let max_attempts = self.route.max_attempts.max(1);
        if self.sent_count >= max_attempts && rules::attempts_are_limited() {
            return Err(self.retry_later_unless_run(RETRY_MS));
        }
        Ok(())
    }

    /// The response where no server can be selected.
    fn reject_without_server(&self, error: SelectionError) -> Response {
        count(&self.node.counters.no_server_ready);
        match error {
            SelectionError::NoneEligible | SelectionError::NoServer
                if !rules::missing_server_is_no_missing_route() =>
            {
                Response::plain(404, "no route")
            }
            SelectionError::NoneEligible => self.retry_later_unless_run(RETRY_WHILE_LOADING_MS),
            SelectionError::NoServer => self.retry_later_unless_run(RETRY_WITHOUT_SERVER_MS),
        }
    }

    /// The response that asks the client to come back, if no server can have run the request.
    fn retry_later_unless_run(&self, after_ms: u64) -> Response {
        if self.is_proven_not_run {
            self.retry_later(after_ms)
        } else {
            may_have_run()
        }
    }
}

/// What the servers of the order offer.
enum Candidates {
    /// This one begins comfortably, or its owner did not answer.
    Admitted(AdmittedServer),
    /// None does; this one begins first.
    Best(BestCandidate),
    /// Each that was asked would begin on outdated weights.
    AllBeyondLimit,
}

impl Candidates {
    fn admitted(selection: Selection, waiting: Option<WaitingPrompt>) -> Candidates {
        Candidates::Admitted(AdmittedServer { selection, waiting })
    }
}

/// How long it takes to prefill this many tokens.
fn prefill_nanos(tokens: u32) -> Nanos {
    u64::from(tokens) * PREFILL_NANOS_A_TOKEN
}

/// Class of urgency of a prompt, 0 for the most urgent. Small prompts go first: they delay a large one by little, and
/// would wait long behind it.
pub(super) fn urgency(tokens_in: u64) -> u32 {
    (tokens_in.max(SMALLEST_CLASS_TOKENS) / SMALLEST_CLASS_TOKENS)
        .ilog2()
        .min(LAST_URGENCY)
}
