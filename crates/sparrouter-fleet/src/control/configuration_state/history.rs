//! The orders that were applied, and what is known of one that is sent again.
//!
//! Version numbers rise strictly and each applied order builds on the version in force, so the versions form a
//! chain: every version but the newest has exactly one successor, made by exactly one order. An order that builds on an
//! overtaken version was therefore applied if and only if it *is* the successor of that version. The newest links of the
//! chain are stored with the digests of their orders; of an order that builds on an older one nothing is claimed.

use crate::platform::defects::rules;
use nanoserde::{DeBin, DeBinErr, SerBin};
use sparrouter_codec::Seq;
use sparrouter_config::{ORDER_DIGEST_BYTES, Order, OrderDigest};

/// Applied orders that are known exactly. 40 KB of the shard's body when full; three hours of changes at 7,800 a day.
pub const MAX_KNOWN_ORDERS: usize = 1_024;

/// One link of the chain: the order that made a version. Its base is the number of the link before.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AppliedOrder {
    /// The version that it made.
    pub number: u64,
    /// Digest of the order.
    pub digest: OrderDigest,
}

/// What the chain proves of an order whose base is not the version in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderFate {
    /// This very order made a version; it may have been overtaken since.
    Applied,
    /// It never made a version and can't any more.
    Lost,
    /// Its base has not been in force yet.
    Ahead,
    /// Its base was overtaken before the oldest link that is stored: it was applied or lost.
    Unknown,
}

/// The newest links of the chain. Invariant: their numbers rise strictly from above `base`.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct OrderHistory {
    /// The version that the oldest link builds on.
    base: u64,
    links: Seq<AppliedOrder>,
}

impl OrderHistory {
    /// A chain of which nothing is known up to `version`.
    pub fn unknown_before(version: u64) -> OrderHistory {
        OrderHistory {
            base: version,
            links: Seq::default(),
        }
    }

    /// The version in force, 0 before the first one.
    pub fn newest(&self) -> u64 {
        self.links.last().map_or(self.base, |link| link.number)
    }

    /// How many orders are known exactly.
    pub fn known(&self) -> usize {
        self.links.len()
    }

    /// Appends an order that builds on the newest version.
    pub fn push(&mut self, order: &Order) {
        debug_assert!(order.version > self.newest());
        if self.links.len() >= MAX_KNOWN_ORDERS {
            self.base = self.links.remove(0).number;
        }
        self.links.push(AppliedOrder {
            number: order.version,
            digest: order.digest,
        });
    }

    /// What is known of an order that does not build on the newest version.
    pub fn fate(&self, order: &Order) -> OrderFate {
        if order.base > self.newest() {
            return OrderFate::Ahead;
        }
        if order.base < self.base {
            // The version that such an order made is at or before the oldest base.
            return if order.version > self.base {
                OrderFate::Lost
            } else {
                OrderFate::Unknown
            };
        }
        match self.successor(order.base) {
            Some(link) if is_made_by(link, order) => OrderFate::Applied,
            _ => OrderFate::Lost,
        }
    }

    /// The link that builds on `base`; `None` where no such version is known to have been in force.
    fn successor(&self, base: u64) -> Option<&AppliedOrder> {
        if base == self.base {
            return self.links.first();
        }
        let index = self
            .links
            .binary_search_by_key(&base, |link| link.number)
            .ok()?;
        self.links.get(index + 1)
    }
}

fn is_made_by(link: &AppliedOrder, order: &Order) -> bool {
    let same_digest = link.digest == order.digest || !rules::order_digests_compared();
    link.number == order.version && same_digest
}

impl SerBin for AppliedOrder {
    fn ser_bin(&self, out: &mut Vec<u8>) {
        self.number.ser_bin(out);
        out.extend_from_slice(&self.digest.0);
    }
}

impl DeBin for AppliedOrder {
    fn de_bin(offset: &mut usize, input: &[u8]) -> Result<AppliedOrder, DeBinErr> {
        let number = u64::de_bin(offset, input)?;
        let remaining = input.get(*offset..).unwrap_or_default();
        let Some(digest) = remaining.first_chunk::<ORDER_DIGEST_BYTES>() else {
            return Err(DeBinErr::new(*offset, ORDER_DIGEST_BYTES, remaining.len()));
        };
        *offset += ORDER_DIGEST_BYTES;
        Ok(AppliedOrder {
            number,
            digest: OrderDigest(*digest),
        })
    }
}
