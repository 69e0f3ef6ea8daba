//! Selects the next server of a request by rendezvous order and estimated wait, or rejects the request if it would wait
//! too long at every server.
use super::{Exchange, deadline_passed_response, may_have_run_response};
use crate::node::counters::count;
use crate::platform::defects::rules;
use crate::platform::http::Response;
use crate::proxy::backlogs::WaitingPrompt;
use crate::settings::nanos;
use sparrouter_routing::{Nanos, Selection, SelectionError, SelectionRequest, ServerHandle};
use std::time::Duration;
use tokio::time::Instant;

/// A server is selected at once if the request would have waited for at most this fraction of the latency target when
/// it begins there. Otherwise the next servers in the rendezvous order are asked for estimates.
const IMMEDIATE_WAIT_RATIO: f64 = 0.4;
/// Maximum number of servers that are asked for an estimate, including the first.
const MAX_ESTIMATES: usize = 3;
/// Maximum number of additional servers that are asked because the request would begin after the version time limit at
/// others.
const MAX_ESTIMATES_BEYOND_LIMIT: usize = 3;
/// A request is rejected if it would wait longer than this fraction of the latency target everywhere.
const MAX_WAIT_RATIO: f64 = 1.0;
/// Estimated fraction of the shared prompt prefix that is not cached at a server and has to be prefilled again: at the
/// first server of the rendezvous order, and at any other server.
const UNCACHED_RATIO_AT_FIRST: f64 = 0.1;
const UNCACHED_RATIO_AT_OTHERS: f64 = 0.4;
/// Estimated time to prefill one token at a usual prefill rate, in nanoseconds.
const PREFILL_NANOS_PER_TOKEN: u64 = 25_000;
/// A `max_wait` that admits every prompt.
const UNLIMITED_WAIT: Nanos = u64::MAX / 2;

/// Retry delays in milliseconds: in general, while servers load weights, and if no server is known.
const RETRY_MS: u64 = 120;
const RETRY_WHILE_LOADING_MS: u64 = 250;
const RETRY_WITHOUT_SERVER_MS: u64 = 300;

/// A request whose time-out is below this fraction of the route's time-out counts as a retry of the client: an earlier
/// attempt was rejected or failed.
const CLIENT_RETRY_TIMEOUT_RATIO: f64 = 0.98;
/// A client disconnects after a time without an event (PROTOCOL.md): the largest of this minimum, this many latency
/// targets, and this many token intervals.
const MIN_CLIENT_IDLE_TIMEOUT: Duration = Duration::from_secs(2);
const CLIENT_IDLE_LATENCY_TARGETS: u32 = 4;
const CLIENT_IDLE_TOKEN_INTERVALS: u32 = 8;
/// Fraction of the client's idle time-out that a retried request may wait at a server.
const MAX_RETRY_WAIT_RATIO: f64 = 0.8;

/// Prompts of fewer than twice this many tokens have urgency class 0; the class increases by one each time the length
/// doubles.
const SMALLEST_CLASS_TOKENS: u64 = 512;
/// The last urgency class, for prompts of 8,192 tokens or more. With more classes the largest prompts would starve
/// behind other large ones, and a server that runs out of memory would preempt them first, in the middle of their
/// streams.
const LAST_URGENCY: u32 = 4;

/// The server that was selected for an attempt.
pub(super) struct AdmittedServer {
    pub(super) selection: Selection,
    /// The prompt that was added to the server's backlog; `None` if none was added.
    pub(super) waiting: Option<WaitingPrompt>,
}

/// The candidate server with the shortest wait so far.
#[derive(Clone, Copy)]
struct BestCandidate {
    /// Estimated time until the request begins there, including the time to prefill the tokens that the first server
    /// would have cached.
    wait: Nanos,
    selection: Selection,
}

impl Exchange<'_> {
    /// Selects the next server. If the request would be late at the first server of the rendezvous order because of its
    /// backlog, the following servers are asked for estimates. If it would be late at all of them, it is rejected at
    /// once.
    ///
    /// # Errors
    ///
    /// Returns the response to send if no server is available.
    pub(super) async fn admit(&self, has_response_begun: bool) -> Result<AdmittedServer, Response> {
        let first = self.next_server()?;
        if self.model.is_none() || self.prompt.tokens_in == 0 {
            return Ok(AdmittedServer {
                selection: first,
                waiting: None,
            });
        }
        let elapsed = Instant::now().saturating_duration_since(self.received_at);
        let best = match self.find_candidate(first, elapsed).await {
            Candidates::Admitted(server) => return Ok(server),
            Candidates::Best(best) => best,
            Candidates::AllBeyondLimit => return Err(self.reject_beyond_limit()),
        };
        let max_wait = self.max_wait().saturating_sub(elapsed);
        if best.wait > nanos(max_wait) && self.sent_count == 0 && !has_response_begun {
            return Err(self.reject_overload(best.wait));
        }
        let prompt = self.waiting_prompt(&best.selection);
        let is_counted = self.node.enqueue(prompt, UNLIMITED_WAIT).await.is_some();
        Ok(AdmittedServer {
            selection: best.selection,
            waiting: is_counted.then_some(prompt),
        })
    }

    /// Asks for wait estimates along the rendezvous order, from `first` on, until a server's wait is short enough to
    /// select it at once.
    async fn find_candidate(&self, first: Selection, elapsed: Duration) -> Candidates {
        let max_immediate_wait = self.latency_target().mul_f64(IMMEDIATE_WAIT_RATIO);
        let max_immediate_wait = nanos(max_immediate_wait.saturating_sub(elapsed));
        let mut best: Option<BestCandidate> = None;
        let mut excluded = self.attempted.clone();
        let mut selection = first;
        let (mut within_limit, mut beyond_limit) = (0, 0);
        while within_limit < MAX_ESTIMATES && beyond_limit < MAX_ESTIMATES_BEYOND_LIMIT {
            let prompt = self.waiting_prompt(&selection);
            // Servers other than the first have more tokens to prefill.
            let extra_prefill =
                prefill_nanos(prompt.cost) - prefill_nanos(self.waiting_prompt(&first).cost);
            let time_to_limit = self.time_to_version_limit(&selection);
            let max_accepted_wait = max_immediate_wait
                .saturating_sub(extra_prefill)
                .min(time_to_limit);
            match self.node.enqueue(prompt, max_accepted_wait).await {
                None => return Candidates::admitted(selection, None),
                Some(wait) if wait <= max_accepted_wait => {
                    return Candidates::admitted(selection, Some(prompt));
                }
                // The request would begin there on outdated weights.
                Some(wait) if wait >= time_to_limit => beyond_limit += 1,
                Some(wait) => {
                    within_limit += 1;
                    let wait = wait + extra_prefill;
                    if best.is_none_or(|b| wait < b.wait) {
                        best = Some(BestCandidate { wait, selection });
                    }
                }
            }
            excluded.push(selection.server);
            let Ok(next) = self.select(&excluded) else {
                break;
            };
            selection = Selection {
                rank: next.rank + excluded.len(),
                ..next
            };
        }
        best.map_or(Candidates::AllBeyondLimit, Candidates::Best)
    }

    fn latency_target(&self) -> Duration {
        Duration::from_millis(self.route.target_latency_ms)
    }

    /// How long a request may wait at a server before it would begin on outdated weights; `u64::MAX` if the model has
    /// no newer version.
    fn time_to_version_limit(&self, selection: &Selection) -> Nanos {
        let (Some(model), Some(version)) = (&self.model, selection.version) else {
            return u64::MAX;
        };
        let now = self.node.now();
        let server_table = self.node.server_table.borrow();
        server_table.versions.remaining_time(model, version, now)
    }

    /// The response if the request would begin after the version time limit at each server.
    fn reject_beyond_limit(&self) -> Response {
        count(&self.node.counters.no_server_ready);
        self.retry_later_unless_run(RETRY_WHILE_LOADING_MS)
    }

    /// The response if the request would wait too long at each server. The client should retry when the backlog is
    /// shorter.
    fn reject_overload(&self, wait: Nanos) -> Response {
        let target = self.latency_target();
        let retry_after = Duration::from_nanos(wait)
            .saturating_sub(target / 2)
            .clamp(target / 4, target * 4);
        Response::retry_later(self.node.jitter(retry_after))
    }

    /// Maximum total wait of the request. A retry by the client is served late, as long as the client waits, rather
    /// than rejected again.
    fn max_wait(&self) -> Duration {
        if self.is_client_retry() {
            self.max_retry_wait()
        } else {
            self.latency_target().mul_f64(MAX_WAIT_RATIO)
        }
    }

    /// Whether the request is a retry by the client: its time-out is clearly shorter than the route's.
    fn is_client_retry(&self) -> bool {
        let min_first_timeout_ms = self.route.timeout_ms as f64 * CLIENT_RETRY_TIMEOUT_RATIO;
        self.client_timeout_ms
            .is_some_and(|timeout| (timeout as f64) < min_first_timeout_ms)
    }

    /// How long a retried request may wait: the time after which the client disconnects without an event, less a
    /// margin.
    fn max_retry_wait(&self) -> Duration {
        let interval = Duration::from_millis(self.route.target_token_interval_ms);
        MIN_CLIENT_IDLE_TIMEOUT
            .max(self.latency_target() * CLIENT_IDLE_LATENCY_TARGETS)
            .max(interval * CLIENT_IDLE_TOKEN_INTERVALS)
            .mul_f64(MAX_RETRY_WAIT_RATIO)
    }

    /// The prompt as an entry in a server's backlog. The server has to prefill the tokens that aren't shared, and the
    /// part of the shared blocks that is probably not cached there.
    fn waiting_prompt(&self, selection: &Selection) -> WaitingPrompt {
        let shared_tokens: u64 = self.prompt.shared_blocks().iter().map(|p| p.tokens).sum();
        let uncached_ratio = if selection.rank == 0 && self.attempted.is_empty() {
            UNCACHED_RATIO_AT_FIRST
        } else {
            UNCACHED_RATIO_AT_OTHERS
        };
        let own_tokens = self.prompt.tokens_in.saturating_sub(shared_tokens);
        let cost = own_tokens as f64 + shared_tokens as f64 * uncached_ratio;
        WaitingPrompt {
            server: sparrouter_rendezvous::hash(self.id_of(selection.server).as_bytes()),
            token: self.node.rng.borrow_mut().u64(..),
            cost: cost as u32,
            urgency: urgency(self.prompt.tokens_in) as u8,
        }
    }

    /// The first ready server of the request's rendezvous order that is not in `attempted`.
    fn select(&self, attempted: &[ServerHandle]) -> Result<Selection, SelectionError> {
        let request = SelectionRequest {
            service: &self.service,
            key: self.key,
            model: self.model.as_deref(),
            is_long_generation: self.is_long_generation,
            attempted,
        };
        let server_table = self.node.server_table.borrow();
        server_table.select(&request, self.node.now())
    }

    /// The first server of the rendezvous order that was not attempted yet, if another attempt is allowed.
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
                deadline_passed_response()
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

    /// Checks that the route allows a further attempt.
    fn check_retry(&self) -> Result<(), Response> {
        if !self.is_proven_not_run && !self.route.is_idempotent() {
            return Err(if rules::retry_later_proves_not_run() {
                may_have_run_response()
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

    /// The response if no server can be selected.
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

    /// A response that asks the client to retry, or an error response if a server may have run the request.
    fn retry_later_unless_run(&self, after_ms: u64) -> Response {
        if self.is_proven_not_run {
            self.retry_later(after_ms)
        } else {
            may_have_run_response()
        }
    }
}

/// Result of asking the candidate servers for wait estimates.
enum Candidates {
    /// The wait at this server is short enough, or the server's owner did not reply.
    Admitted(AdmittedServer),
    /// The wait is too long at each server; it is shortest at this one.
    Best(BestCandidate),
    /// The request would begin on outdated weights at each server that was asked.
    AllBeyondLimit,
}

impl Candidates {
    fn admitted(selection: Selection, waiting: Option<WaitingPrompt>) -> Candidates {
        Candidates::Admitted(AdmittedServer { selection, waiting })
    }
}

/// Estimated time to prefill this many tokens, in nanoseconds.
fn prefill_nanos(tokens: u32) -> Nanos {
    u64::from(tokens) * PREFILL_NANOS_PER_TOKEN
}

/// Urgency class of a prompt; 0 is the most urgent. Small prompts go first: they delay a large prompt only a little,
/// and would wait long behind it.
pub(super) fn urgency(tokens_in: u64) -> u32 {
    (tokens_in.max(SMALLEST_CLASS_TOKENS) / SMALLEST_CLASS_TOKENS)
        .ilog2()
        .min(LAST_URGENCY)
}
