//! The same call, unchanged, to one node after another until the answer is clear or patience is over.
use crate::client::call::{self, Call, Outcome, Reply};
use crate::client::error::ClientError;
use crate::net::SharedNet;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout_at};

/// Redirects that one try follows.
const REDIRECTS: usize = 2;
/// Between tries: the first pause and the longest.
const PAUSE: Duration = Duration::from_millis(100);
const LONGEST_PAUSE: Duration = Duration::from_secs(2);
/// A 4xx that is not known to be final is believed at this try.
const BELIEVED: u32 = 3;

/// What is known of a call that was not answered clearly: it can only grow worse.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Doubt {
    Unsent,
    Declined,
    MayBeMade,
}

/// The nodes that an operator may ask.
pub struct Fleet {
    net: SharedNet,
    addresses: Vec<SocketAddr>,
    patience: Duration,
}

impl Fleet {
    /// `addresses`: control_plane addresses, at least one.
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

    /// The same fleet, one node of it only.
    pub fn only(&self, address: SocketAddr, patience: Duration) -> Fleet {
        Fleet {
            net: self.net.clone(),
            addresses: vec![address],
            patience,
        }
    }

    pub fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    /// A 2xx, with the node that gave it.
    pub async fn ask(&self, call: &Call) -> Result<(SocketAddr, Reply), ClientError> {
        let until = Instant::now() + self.patience;
        let (mut pause, mut unsure, mut doubt) = (PAUSE, 0, Doubt::Unsent);
        let mut last = (self.addresses[0], "not asked".to_owned());
        for address in self.addresses.iter().cycle() {
            let tried = timeout_at(until, self.follow(call, *address)).await;
            let Ok((from, outcome)) = tried else {
                // It was cut off at some point that is not known.
                doubt = Doubt::MayBeMade;
                break;
            };
            last.0 = from;
            match outcome {
                Outcome::Replied(reply) => {
                    match reply.status {
                        200..=299 => return Ok((from, reply)),
                        408 | 429 | 503 | 300..=399 => doubt = doubt.max(Doubt::Declined),
                        status @ (400 | 409 | 412 | 413 | 422) => {
                            return Err(refused(status, reply.body));
                        }
                        // Not known to be final: nodes may see it differently for a moment.
                        status @ 400..=499 => {
                            unsure += 1;
                            if unsure >= BELIEVED {
                                return Err(refused(status, reply.body));
                            }
                            doubt = doubt.max(Doubt::Declined);
                        }
                        _ => doubt = Doubt::MayBeMade,
                    }
                    last.1 = format!("{} {}", reply.status, reply.body.trim());
                }
                Outcome::Unreached(why) => last.1 = why,
                Outcome::Silent(why) => {
                    doubt = Doubt::MayBeMade;
                    last.1 = why;
                }
            }
            if Instant::now() + pause >= until {
                break;
            }
            sleep(pause).await;
            pause = (pause * 2).min(LONGEST_PAUSE);
        }
        let (address, last) = last;
        let patience_s = self.patience.as_secs();
        Err(match doubt {
            Doubt::Unsent => ClientError::Unreached {
                address,
                last,
                patience_s,
            },
            Doubt::Declined => ClientError::NotMade {
                address,
                last,
                patience_s,
            },
            Doubt::MayBeMade => ClientError::Unclear {
                address,
                last,
                patience_s,
            },
        })
    }

    /// One try, with its redirects.
    async fn follow(&self, call: &Call, address: SocketAddr) -> (SocketAddr, Outcome) {
        let (mut to, mut path) = (address, call.path.clone());
        for _ in 0..REDIRECTS {
            let outcome = call::once(&*self.net, call, &path, to).await;
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
        (to, call::once(&*self.net, call, &path, to).await)
    }
}

fn refused(status: u16, body: String) -> ClientError {
    let text = match (body.trim(), status) {
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
