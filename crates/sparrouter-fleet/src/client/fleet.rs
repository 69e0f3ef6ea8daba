//! Sending the same call to one node after another until the answer is definite or the deadline has passed.
use crate::client::call::{self, Call, Outcome, Reply};
use crate::client::error::ClientError;
use crate::platform::net::SharedNet;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout_at};

/// Redirects that are followed for one attempt.
const MAX_REDIRECTS: usize = 2;
/// First backoff between attempts; it doubles up to the longest.
const FIRST_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// A 4xx that is not known to be final counts as final once it is returned this often.
const ATTEMPTS_UNTIL_FINAL: u32 = 3;

/// What a call without a clear answer may have done, by rising uncertainty.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Effect {
    /// No node got it.
    NotSent,
    /// Nodes got it, and said that they changed nothing.
    Declined,
    /// It may have been carried out.
    MaybeApplied,
}

/// What an answer means for the call.
enum Verdict {
    /// The call succeeded.
    Completed,
    /// The fleet refused the call; other nodes would too.
    Final,
    /// A refusal that other nodes may see differently for a moment.
    MaybeFinal,
    /// The node changed nothing; another one may.
    Declined,
    /// Whether the node changed something is not known.
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
    patience: Duration,
}

impl Fleet {
    /// `addresses`: control_plane addresses, tried in this order; `patience`: how long a call is repeated.
    ///
    /// # Errors
    ///
    /// [`ClientError::NoAddress`] without an address.
    pub fn new(
        net: SharedNet,
        addresses: Vec<SocketAddr>,
        patience: Duration,
    ) -> Result<Fleet, ClientError> {
        if addresses.is_empty() {
            return Err(ClientError::NoAddress);
        }
        Ok(Fleet {
            net,
            addresses,
            patience,
        })
    }

    /// One node of the same fleet.
    pub fn only(&self, address: SocketAddr, patience: Duration) -> Fleet {
        Fleet {
            net: self.net.clone(),
            addresses: vec![address],
            patience,
        }
    }

    /// Sends a call until a node answers with a 2xx; gives the answer and the node's address.
    ///
    /// # Errors
    ///
    /// [`ClientError::Refused`] for a final refusal; otherwise, once time is up, [`ClientError::Unreachable`],
    /// [`ClientError::NotApplied`] or [`ClientError::Unclear`] by what the call may have done.
    pub async fn submit(&self, call: &Call) -> Result<(SocketAddr, Reply), ClientError> {
        let deadline = Instant::now() + self.patience;
        let (mut backoff, mut maybe_final, mut effect) = (FIRST_BACKOFF, 0, Effect::NotSent);
        let mut last = (self.addresses[0], "not asked".to_owned());
        for address in self.addresses.iter().cycle() {
            let attempt = timeout_at(deadline, self.follow(call, *address)).await;
            let Ok((from, outcome)) = attempt else {
                // How far it got is not known.
                effect = Effect::MaybeApplied;
                break;
            };
            let (attempt_effect, description) = match outcome {
                Outcome::Replied(reply) => {
                    let verdict = Verdict::of(reply.status);
                    maybe_final += u32::from(matches!(verdict, Verdict::MaybeFinal));
                    let attempt_effect = match verdict {
                        Verdict::Completed => return Ok((from, reply)),
                        Verdict::MaybeFinal if maybe_final < ATTEMPTS_UNTIL_FINAL => {
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

    /// The error for a call without a clear answer. `last`: the node that was tried last, and what happened there.
    fn unanswered(&self, effect: Effect, last: (SocketAddr, String)) -> ClientError {
        let (address, last) = last;
        let patience_s = self.patience.as_secs();
        match effect {
            Effect::NotSent => ClientError::Unreachable {
                address,
                last,
                patience_s,
            },
            Effect::Declined => ClientError::NotApplied {
                address,
                last,
                patience_s,
            },
            Effect::MaybeApplied => ClientError::Unclear {
                address,
                last,
                patience_s,
            },
        }
    }

    /// One attempt, with its redirects.
    async fn follow(&self, call: &Call, address: SocketAddr) -> (SocketAddr, Outcome) {
        let (mut to, mut path) = (address, call.path.clone());
        for _ in 0..MAX_REDIRECTS {
            let outcome = call::send_once(&*self.net, call, &path, to).await;
            match outcome {
                Outcome::Replied(Reply {
                    status: 307,
                    location: Some((next, there)),
                    ..
                }) => {
                    (to, path) = (next, there);
                }
                outcome => return (to, outcome),
            }
        }
        (to, call::send_once(&*self.net, call, &path, to).await)
    }
}

/// The error for a final refusal, with a reason where the node gave none.
fn refused(reply: &Reply) -> ClientError {
    let status = reply.status;
    let text = match (reply.body.trim(), status) {
        ("", 404) => "there is no such thing there: check --at and what was asked".to_owned(),
        ("", 412) => "another version is in force: read it, build on it, send again".to_owned(),
        ("", 413) => "it is too large: split it".to_owned(),
        ("", _) => {
            "no reason was given: check what was sent with `sparrouter config check`".to_owned()
        }
        (text, _) => text.to_owned(),
    };
    ClientError::Refused { status, text }
}
