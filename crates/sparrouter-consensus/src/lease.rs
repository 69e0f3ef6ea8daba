//! Leases with fencing tokens: a state machine that issues strictly increasing tokens, each to one holder.
//!
//! The replicated state contains durations but no times, and each node measures durations on its own monotonic clock. A
//! holder may act until the *start* of its last successful acquire or renew plus the lease's duration. A new holder
//! waits `takeover_wait` from the *end* of its acquire: the previous holder's last successful renewal was chosen, and
//! therefore started, before that acquire.
//!
//! | change | by | effect |
//! | --- | --- | --- |
//! | acquire | any node | the token is incremented; a new holder waits out the previous holder's duration |
//! | renew | the holder with its token | the body stays; the answer confirms that no other node has acquired the lease |
//! | release | the holder with its token | the lease has no holder; if the `takeover_wait` has not ended, it applies to the next holder |
//!
//! Sources: Gray and Cheriton, "Leases", SOSP 1989; Burrows, "The Chubby lock service", OSDI 2006 (sequencers).
use crate::codec::{self, read_text, write_bytes};
use crate::machine::{Applied, Machine};
use crate::time::Nanos;
use nanoserde::{DeBin, DeBinErr, SerBin};

/// Maximum length of a body, change or answer, in bytes.
const MAX_BYTES: usize = 4 * codec::MAX_TEXT_BYTES;

/// The holder of a lease: one incarnation of a node. Another incarnation of the same node is another holder.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LeaseHolder {
    /// The node's name.
    pub name: String,
    /// Random number drawn at the node's start.
    pub incarnation: u64,
}

/// The body of a lease's register.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct Lease {
    /// The highest token that was issued; 0 if none was. Each acquire increments it, so that every acquire gets a
    /// unique token.
    pub fencing_token: u64,
    /// The holder of `fencing_token`; `None` if it released the lease or the lease was never acquired.
    pub holder: Option<LeaseHolder>,
    /// How long the holder may act, counted from the start of each acquire or renew; 0 if there is no holder.
    pub duration: Nanos,
    /// How long the holder waits after its acquire before it acts. The next holder waits as long if this holder
    /// releases the lease before the wait is over.
    pub takeover_wait: Nanos,
}

/// A change of a lease.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum LeaseChange {
    /// Acquires the lease, also if another node holds it.
    Acquire {
        /// The new holder.
        holder: LeaseHolder,
        /// How long the new holder may act, counted from the start of each acquire or renew.
        duration: Nanos,
    },
    /// Renews the lease if the caller still holds it under this token.
    Renew {
        /// The caller.
        holder: LeaseHolder,
        /// The caller's token.
        fencing_token: u64,
    },
    /// Releases the lease if the caller still holds it under this token.
    Release {
        /// The caller.
        holder: LeaseHolder,
        /// The caller's token.
        fencing_token: u64,
        /// Whether the caller's `takeover_wait` was over, so that no earlier holder can act any more.
        waited: bool,
    },
}

/// Answer to a `LeaseChange`.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum LeaseAnswer {
    /// The caller holds the lease. It waits `takeover_wait` from the receipt of this answer and then acts under the
    /// token.
    Acquired {
        /// The caller's token, higher than all earlier tokens.
        fencing_token: u64,
        /// How long the caller waits, so that no earlier holder can act any more.
        takeover_wait: Nanos,
    },
    /// The caller still held the lease when the renewal was evaluated.
    Renewed,
    /// The caller released the lease.
    Released,
    /// The caller doesn't hold the lease under its token, or an acquire found that no token is left.
    Rejected {
        /// The highest token that was issued.
        fencing_token: u64,
    },
    /// The change or the body could not be decoded.
    Malformed,
}

impl Lease {
    /// Decodes a body; `None` if it is malformed. An empty body is a lease that was never acquired.
    pub fn decode(body: &[u8]) -> Option<Lease> {
        if body.is_empty() {
            Some(Lease::default())
        } else {
            codec::decode(body, MAX_BYTES).ok()
        }
    }

    fn belongs_to(&self, holder: &LeaseHolder, fencing_token: u64) -> bool {
        self.holder.as_ref() == Some(holder) && self.fencing_token == fencing_token
    }

    /// The lease after an acquire; `None` if no token is left.
    fn acquired_by(&self, holder: LeaseHolder, duration: Nanos) -> Option<Lease> {
        let fencing_token = self.fencing_token.checked_add(1)?;
        // The current holder doesn't wait for itself when it acquires again, only for the holders before it.
        let is_free_or_own = self
            .holder
            .as_ref()
            .is_none_or(|current| *current == holder);
        let takeover_wait = if is_free_or_own {
            self.takeover_wait
        } else {
            self.takeover_wait.max(self.duration)
        };
        Some(Lease {
            fencing_token,
            holder: holder.into(),
            duration,
            takeover_wait,
        })
    }

    /// The lease after a release.
    fn released(&self, waited: bool) -> Lease {
        Lease {
            fencing_token: self.fencing_token,
            takeover_wait: if waited { 0 } else { self.takeover_wait },
            ..Lease::default()
        }
    }

    fn rejection(&self) -> LeaseAnswer {
        LeaseAnswer::Rejected {
            fencing_token: self.fencing_token,
        }
    }
}

impl LeaseChange {
    /// Encodes the change for `Register::propose`.
    pub fn encode(&self) -> Vec<u8> {
        codec::encode(self)
    }
}

impl LeaseAnswer {
    /// Decodes an answer; `None` if it is malformed.
    pub fn decode(bytes: &[u8]) -> Option<LeaseAnswer> {
        codec::decode(bytes, MAX_BYTES).ok()
    }
}

/// The state machine of a register that holds one lease. The initial body is empty.
#[derive(Clone, Copy, Debug, Default)]
pub struct Leases;

impl Machine for Leases {
    fn apply(&self, body: &[u8], change: &[u8]) -> Applied {
        let Some(lease) = Lease::decode(body) else {
            return unchanged(&LeaseAnswer::Malformed);
        };
        let Ok(change) = codec::decode::<LeaseChange>(change, MAX_BYTES) else {
            return unchanged(&LeaseAnswer::Malformed);
        };
        match change {
            LeaseChange::Acquire { holder, duration } => {
                match lease.acquired_by(holder, duration) {
                    Some(acquired) => {
                        let answer = LeaseAnswer::Acquired {
                            fencing_token: acquired.fencing_token,
                            takeover_wait: acquired.takeover_wait,
                        };
                        changed(&acquired, &answer)
                    }
                    None => unchanged(&lease.rejection()),
                }
            }
            LeaseChange::Renew {
                holder,
                fencing_token,
            } if lease.belongs_to(&holder, fencing_token) => unchanged(&LeaseAnswer::Renewed),
            LeaseChange::Release {
                holder,
                fencing_token,
                waited,
            } if lease.belongs_to(&holder, fencing_token) => {
                changed(&lease.released(waited), &LeaseAnswer::Released)
            }
            LeaseChange::Renew { .. } | LeaseChange::Release { .. } => {
                unchanged(&lease.rejection())
            }
        }
    }
}

fn changed(lease: &Lease, answer: &LeaseAnswer) -> Applied {
    Applied::Changed {
        body: codec::encode(lease),
        answer: codec::encode(answer),
    }
}

fn unchanged(answer: &LeaseAnswer) -> Applied {
    Applied::Unchanged {
        answer: codec::encode(answer),
    }
}

impl SerBin for LeaseHolder {
    fn ser_bin(&self, out: &mut Vec<u8>) {
        write_bytes(self.name.as_bytes(), out);
        self.incarnation.ser_bin(out);
    }
}

impl DeBin for LeaseHolder {
    fn de_bin(offset: &mut usize, input: &[u8]) -> Result<LeaseHolder, DeBinErr> {
        Ok(LeaseHolder {
            name: read_text(offset, input)?,
            incarnation: u64::de_bin(offset, input)?,
        })
    }
}
