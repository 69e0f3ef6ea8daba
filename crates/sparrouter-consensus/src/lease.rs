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
pub struct Holder {
    pub name: String,
    pub life: u64,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct Lease {
    /// The highest number that was handed out.
    pub fence: u64,
    pub holder: Option<Holder>,
    /// Of the holder.
    pub span: Nanos,
    /// What the holder had to wait out, and its successor must if it goes before it has.
    pub wait: Nanos,
}

#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum LeaseChange {
    Acquire {
        holder: Holder,
        span: Nanos,
    },
    Renew {
        holder: Holder,
        fence: u64,
    },
    /// `waited`: whether the holder's own wait was over, so that no earlier one is left.
    Release {
        holder: Holder,
        fence: u64,
        waited: bool,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum LeaseAnswer {
    /// Wait `wait` from now, then act under `fence`.
    Acquired {
        fence: u64,
        wait: Nanos,
    },
    Renewed,
    Released,
    /// Another holds it, or did; `fence` is the highest handed out.
    Refused {
        fence: u64,
    },
    Malformed,
}

/// Longest body, change or answer.
const MOST: usize = 4 * codec::MOST_TEXT;

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
        let refused = LeaseAnswer::Refused { fence: lease.fence };
        let holds = |holder: &Holder, fence: u64| {
            lease.holder.as_ref() == Some(holder) && lease.fence == fence
        };
        let (next, answer) = match change {
            LeaseChange::Acquire { holder, span } => {
                // The same life again holds nobody up but by what it had to wait itself.
                let own = lease.holder.as_ref().is_none_or(|h| *h == holder);
                let wait = if own {
                    lease.wait
                } else {
                    lease.wait.max(lease.span)
                };
                let Some(fence) = lease.fence.checked_add(1) else {
                    return unchanged(refused);
                };
                let next = Lease {
                    fence,
                    holder: Some(holder),
                    span,
                    wait,
                };
                (next, LeaseAnswer::Acquired { fence, wait })
            }
            LeaseChange::Renew { holder, fence } if holds(&holder, fence) => {
                return unchanged(LeaseAnswer::Renewed);
            }
            LeaseChange::Release {
                holder,
                fence,
                waited,
            } if holds(&holder, fence) => {
                let wait = if waited { 0 } else { lease.wait };
                (
                    Lease {
                        fence,
                        holder: None,
                        span: 0,
                        wait,
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

impl SerBin for Holder {
    fn ser_bin(&self, out: &mut Vec<u8>) {
        write_bytes(self.name.as_bytes(), out);
        self.life.ser_bin(out);
    }
}

impl DeBin for Holder {
    fn de_bin(at: &mut usize, input: &[u8]) -> Result<Holder, DeBinErr> {
        Ok(Holder {
            name: read_text(at, input)?,
            life: u64::de_bin(at, input)?,
        })
    }
}
