//! Retries of a call: it is sent to one node after another until an answer is definite or the deadline has passed.
use crate::client::call::{self, Call, Outcome, Reply};
use crate::client::error::ClientError;
use crate::platform::net::SharedNet;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout_at};

/// Maximum number of redirects that one attempt follows.
const MAX_REDIRECTS: usize = 2;
/// First backoff between attempts; the backoff doubles up to [`MAX_BACKOFF`].
const FIRST_BACKOFF: Duration = Duration::from_millis(100);
/// Longest backoff between attempts.
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// Number of [`Verdict::MaybeFinal`] answers (4xx statuses that are not known to be final) after which a refusal is
/// final.
const ATTEMPTS_UNTIL_FINAL: u32 = 3;

/// The possible effect of a call without a definite answer, in order of rising uncertainty.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Effect {
    /// No node received the call.
    NotSent,
    /// Nodes received the call and answered that they changed nothing.
    Declined,
    /// A node may have applied the call.
    MaybeApplied,
}

/// Meaning of an answer for the outcome of the call.
enum Verdict {
    /// The call succeeded.
    Completed,
    /// The fleet refused the call; other nodes would too.
    Final,
    /// The node refused the call; other nodes may temporarily answer differently.
    MaybeFinal,
    /// The node changed nothing; a retry at another node may succeed.
    Declined,
    /// It is unknown whether the node changed anything.
    Unclear,
}

impl Verdict {
    fn of(status: u16) -> Verdict {
        match status {
            200..=299 => Verdict::Completed,
            408 | 429 | 503 | 300..=399 => Verdict::Declined,
            400 | 409 | 412 | 413 | 422 => Verdict::Final,
            400..=499 => Verdict::MaybeFinal,
            _ => Verdict::Unclear,
        }
    }
}

/// The nodes that an operator may call.
pub struct Fleet {
    net: SharedNet,
    addresses: Vec<SocketAddr>,
    retry_timeout: Duration,
}

impl Fleet {
    /// Creates a fleet. `addresses` are control_plane addresses, tried in this order; a call is retried for
    /// `retry_timeout`.
    ///
    /// # Errors
    ///
    /// [`ClientError::NoAddress`] if `addresses` is empty.
    pub fn new(
        net: SharedNet,
        addresses: Vec<SocketAddr>,
        retry_timeout: Duration,
    ) -> Result<Fleet, ClientError> {
        if addresses.is_empty() {
            return Err(ClientError::NoAddress);
        }
        Ok(Fleet {
            net,
            addresses,
            retry_timeout,
        })
    }

    /// A fleet of one node, on the same network.
    pub fn only(&self, address: SocketAddr, retry_timeout: Duration) -> Fleet {
        Fleet {
            net: self.net.clone(),
            addresses: vec![address],
            retry_timeout,
        }
    }

    /// Sends a call until a node answers with a 2xx status; returns the node's address and the answer.
    ///
    /// # Errors
    ///
    /// [`ClientError::Refused`] for a final refusal; otherwise, after the deadline, [`ClientError::Unreachable`],
    /// [`ClientError::NotApplied`] or [`ClientError::Unclear`], depending on the possible effect of the call.
    pub async fn submit(&self, call: &Call) -> Result<(SocketAddr, Reply), ClientError> {
        let deadline = Instant::now() + self.retry_timeout;
        let (mut backoff, mut maybe_final_count, mut effect) = (FIRST_BACKOFF, 0, Effect::NotSent);
        let mut last = (self.addresses[0], "not asked".to_owned());
        for address in self.addresses.iter().cycle() {
            let attempt = timeout_at(deadline, self.follow(call, *address)).await;
            let Ok((from, outcome)) = attempt else {
                // The deadline interrupted the attempt, so its effect is unknown.
                effect = Effect::MaybeApplied;
                break;
            };
            let (attempt_effect, description) = match outcome {
                Outcome::Replied(reply) => {
                    let verdict = Verdict::of(reply.status);
                    maybe_final_count += u32::from(matches!(verdict, Verdict::MaybeFinal));
                    let attempt_effect = match verdict {
                        Verdict::Completed => return Ok((from, reply)),
                        Verdict::MaybeFinal if maybe_final_count < ATTEMPTS_UNTIL_FINAL => {
                            Effect::Declined
                        }
                        Verdict::Final | Verdict::MaybeFinal => return Err(refused(&reply)),
                        Verdict::Declined => Effect::Declined,
                        Verdict::Unclear => Effect::MaybeApplied,
                    };
                    let description = format!("{} {}", reply.status, reply.body.trim());
                    (attempt_effect, description)
                }
                Outcome::NotConnected(reason) => (Effect::NotSent, reason),
                Outcome::NoAnswer(reason) => (Effect::MaybeApplied, reason),
            };
            effect = effect.max(attempt_effect);
            last = (from, description);
            if Instant::now() + backoff >= deadline {
                break;
            }
            sleep(backoff).await;
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
        Err(self.unanswered(effect, last))
    }

    /// The error for a call without a definite answer. `last` is the node of the last attempt, and a description of its
    /// outcome.
    fn unanswered(&self, effect: Effect, last: (SocketAddr, String)) -> ClientError {
        let (address, last) = last;
        let retry_timeout_s = self.retry_timeout.as_secs();
        match effect {
            Effect::NotSent => ClientError::Unreachable {
                address,
                last,
                retry_timeout_s,
            },
            Effect::Declined => ClientError::NotApplied {
                address,
                last,
                retry_timeout_s,
            },
            Effect::MaybeApplied => ClientError::Unclear {
                address,
                last,
                retry_timeout_s,
            },
        }
    }

    /// Makes one attempt and follows its redirects. Returns the address of the node that answered last, and the outcome.
    async fn follow(&self, call: &Call, address: SocketAddr) -> (SocketAddr, Outcome) {
        let (mut to, mut path) = (address, call.path.clone());
        for _ in 0..MAX_REDIRECTS {
            let outcome = call::send_once(&*self.net, call, &path, to).await;
            match outcome {
                Outcome::Replied(Reply {
                    status: 307,
                    location: Some((next, next_path)),
                    ..
                }) => {
                    (to, path) = (next, next_path);
                }
                outcome => return (to, outcome),
            }
        }
        (to, call::send_once(&*self.net, call, &path, to).await)
    }
}

/// The error for a final refusal, with a default reason if the node gave none.
fn refused(reply: &Reply) -> ClientError {
    let status = reply.status;
    let text = match (reply.body.trim(), status) {
        ("", 404) => {
            "the node does not know this resource: check --at and the arguments".to_owned()
        }
        ("", 412) => "another version is in force: read it, rebase the change on it, send it again"
            .to_owned(),
        ("", 413) => "the change is too large: split it".to_owned(),
        ("", _) => {
            "no reason was given: check what was sent with `sparrouter config check`".to_owned()
        }
        (text, _) => text.to_owned(),
    };
    ClientError::Refused { status, text }
}
