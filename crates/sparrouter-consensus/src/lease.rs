//! Leases with fencing tokens: a machine whose body hands out rising tokens, each to one holder.
//!
//! The replicated state has no clock: it carries durations, and each node counts them by its own steady clock. A holder
//! may act until the *start* of its last successful acquire or renew plus the duration. A new holder waits
//! `takeover_wait` from the *end* of its acquire: the last renewal that the old holder could get was chosen before that
//! acquire, so that it started before.
//!
//! | change | by | effect |
//! | --- | --- | --- |
//! | acquire | anybody | token plus one; another holder's successor waits out that holder's duration |
//! | renew | the holder under its token | none on the body: it only shows that nobody has acquired since |
//! | release | the holder under its token | no holder; a wait that was not over passes on to the next holder |
//!
//! Sources: Gray and Cheriton, "Leases", SOSP 1989; Burrows, "The Chubby lock service", OSDI 2006 (sequencers).
use crate::codec::{self, read_text, write_bytes};
use crate::machine::{Applied, Machine};
use crate::time::Nanos;
use nanoserde::{DeBin, DeBinErr, SerBin};

/// Longest body, change or answer, in bytes.
const MAX_BYTES: usize = 4 * codec::MAX_TEXT_BYTES;

/// Who holds a lease: one start of a node. Another start of the same node is another holder.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LeaseHolder {
    /// The node's name.
    pub name: String,
    /// Random number of the node's start.
    pub incarnation: u64,
}

/// The body of a lease's register.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct Lease {
    /// The highest token that was handed out; 0 if none was. Strictly rises with each acquire, so that no two acquires
    /// get one token.
    pub fencing_token: u64,
    /// The holder of that token, unless it released the lease.
    pub holder: Option<LeaseHolder>,
    /// How long the holder may act from the start of each acquire or renew; 0 without a holder.
    pub duration: Nanos,
    /// What the holder had to wait out before it acts, and its successor must if it releases before it has.
    pub takeover_wait: Nanos,
}

/// A change of a lease.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum LeaseChange {
    /// Takes the lease, from whoever has it.
    Acquire {
        /// Who takes it.
        holder: LeaseHolder,
        /// How long it may act from the start of each acquire or renew.
        duration: Nanos,
    },
    /// Asks whether the lease is still held under this token.
    Renew {
        /// Who asks.
        holder: LeaseHolder,
        /// Its token.
        fencing_token: u64,
    },
    /// Gives the lease back.
    Release {
        /// Who gives it back.
        holder: LeaseHolder,
        /// Its token.
        fencing_token: u64,
        /// Whether the holder's own wait was over, so that no earlier holder can act any more.
        waited: bool,
    },
}

/// Answer to a `LeaseChange`.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum LeaseAnswer {
    /// The caller has the lease: it waits `takeover_wait` from now, then acts under the token.
    Acquired {
        /// Its token, above all tokens before.
        fencing_token: u64,
        /// Until no earlier holder can act any more.
        takeover_wait: Nanos,
    },
    /// The caller still had the lease when the renewal was evaluated.
    Renewed,
    /// The caller's lease is free.
    Released,
    /// The caller does not hold the lease under that token.
    Rejected {
        /// The highest token that was handed out.
        fencing_token: u64,
    },
    /// The change or the body could not be decoded.
    Malformed,
}

impl Lease {
    /// Reads a body; the empty one is a lease that nobody ever had. `None` if it is malformed.
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

    /// The lease after an acquire; `None` if there are no more tokens.
    fn acquired_by(&self, holder: LeaseHolder, duration: Nanos) -> Option<Lease> {
        let fencing_token = self.fencing_token.checked_add(1)?;
        // A holder that acquires again waits for nobody but those that it had to wait for itself.
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

    /// The lease after its release.
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
    /// The change for `Register::propose`.
    pub fn encode(&self) -> Vec<u8> {
        codec::encode(self)
    }
}

impl LeaseAnswer {
    /// Reads an answer; `None` if it is malformed.
    pub fn decode(bytes: &[u8]) -> Option<LeaseAnswer> {
        codec::decode(bytes, MAX_BYTES).ok()
    }
}

/// The machine of a lease's register; the first body is empty.
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
