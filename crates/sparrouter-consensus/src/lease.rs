//! Fencing tokens and who holds a duty: a body that hands out rising numbers, each to one holder.
//!
//! No clock is here: spans are told, and each node counts them by its own steady clock. A holder may act until the
//! *start* of its last successful acquire or renew plus the lease. A new one waits `wait` from the *end* of its acquire:
//! the last renewal that the old one could get was judged before, so that it began before.
//!
//! Sources: Gray and Cheriton, "Leases", SOSP 1989; Burrows, "The Chubby lock service", OSDI 2006 (sequencers).
use crate::Nanos;
use crate::codec::{self, read_text, write_bytes};
use crate::machine::{Applied, Machine};
use nanoserde::{DeBin, DeBinErr, SerBin};

/// Who holds a duty: the node's name, and its life, which another start of it does not share.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LeaseHolder {
    pub name: String,
    pub incarnation: u64,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct Lease {
    /// The highest number that was handed out.
    pub fencing_token: u64,
    pub holder: Option<LeaseHolder>,
    /// Of the holder.
    pub duration: Nanos,
    /// What the holder had to wait out, and its successor must if it goes before it has.
    pub takeover_wait: Nanos,
}

#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum LeaseChange {
    Acquire {
        holder: LeaseHolder,
        duration: Nanos,
    },
    Renew {
        holder: LeaseHolder,
        fencing_token: u64,
    },
    /// `waited`: whether the holder's own wait was over, so that no earlier one is left.
    Release {
        holder: LeaseHolder,
        fencing_token: u64,
        waited: bool,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum LeaseAnswer {
    /// Wait `wait` from now, then act under `fence`.
    Acquired {
        fencing_token: u64,
        takeover_wait: Nanos,
    },
    Renewed,
    Released,
    /// Another holds it, or did; `fence` is the highest handed out.
    Rejected {
        fencing_token: u64,
    },
    Malformed,
}

/// Longest body, change or answer.
const MOST: usize = 4 * codec::MAX_TEXT_BYTES;

impl Lease {
    pub fn decode(body: &[u8]) -> Option<Lease> {
        if body.is_empty() {
            Some(Lease::default())
        } else {
            codec::decode(body, MOST).ok()
        }
    }
}

impl LeaseChange {
    pub fn encode(&self) -> Vec<u8> {
        codec::encode(self)
    }
}

impl LeaseAnswer {
    pub fn decode(bytes: &[u8]) -> Option<LeaseAnswer> {
        codec::decode(bytes, MOST).ok()
    }
}

/// The machine of such a part; its first body is empty.
#[derive(Clone, Copy, Debug, Default)]
pub struct Leases;

impl Machine for Leases {
    fn apply(&self, body: &[u8], change: &[u8]) -> Applied {
        let unchanged = |answer: LeaseAnswer| Applied::Unchanged {
            answer: codec::encode(&answer),
        };
        let (Some(lease), Ok(change)) = (
            Lease::decode(body),
            codec::decode::<LeaseChange>(change, MOST),
        ) else {
            return unchanged(LeaseAnswer::Malformed);
        };
        let refused = LeaseAnswer::Rejected {
            fencing_token: lease.fencing_token,
        };
        let holds = |holder: &LeaseHolder, fence: u64| {
            lease.holder.as_ref() == Some(holder) && lease.fencing_token == fence
        };
        let (next, answer) = match change {
            LeaseChange::Acquire {
                holder,
                duration: span,
            } => {
                // The same life again holds nobody up but by what it had to wait itself.
                let own = lease.holder.as_ref().is_none_or(|h| *h == holder);
                let wait = if own {
                    lease.takeover_wait
                } else {
                    lease.takeover_wait.max(lease.duration)
                };
                let Some(fence) = lease.fencing_token.checked_add(1) else {
                    return unchanged(refused);
                };
                let next = Lease {
                    fencing_token: fence,
                    holder: Some(holder),
                    duration: span,
                    takeover_wait: wait,
                };
                (
                    next,
                    LeaseAnswer::Acquired {
                        fencing_token: fence,
                        takeover_wait: wait,
                    },
                )
            }
            LeaseChange::Renew {
                holder,
                fencing_token: fence,
            } if holds(&holder, fence) => {
                return unchanged(LeaseAnswer::Renewed);
            }
            LeaseChange::Release {
                holder,
                fencing_token: fence,
                waited,
            } if holds(&holder, fence) => {
                let wait = if waited { 0 } else { lease.takeover_wait };
                (
                    Lease {
                        fencing_token: fence,
                        holder: None,
                        duration: 0,
                        takeover_wait: wait,
                    },
                    LeaseAnswer::Released,
                )
            }
            LeaseChange::Renew { .. } | LeaseChange::Release { .. } => return unchanged(refused),
        };
        Applied::Changed {
            body: codec::encode(&next),
            answer: codec::encode(&answer),
        }
    }
}

impl SerBin for LeaseHolder {
    fn ser_bin(&self, out: &mut Vec<u8>) {
        write_bytes(self.name.as_bytes(), out);
        self.incarnation.ser_bin(out);
    }
}

impl DeBin for LeaseHolder {
    fn de_bin(at: &mut usize, input: &[u8]) -> Result<LeaseHolder, DeBinErr> {
        Ok(LeaseHolder {
            name: read_text(at, input)?,
            incarnation: u64::de_bin(at, input)?,
        })
    }
}
