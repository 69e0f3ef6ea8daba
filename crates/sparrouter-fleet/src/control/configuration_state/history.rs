//! The history of applied orders, which decides whether an order that is sent again was applied before.
//!
//! Version numbers rise strictly and each applied order is based on the version in force, so the versions form a chain:
//! every version but the newest has exactly one successor, made by exactly one order. An order that is based on a
//! superseded version was therefore applied if and only if it *is* the successor of that version. The newest links of
//! the chain are stored with the digests of their orders. Nothing is claimed about an order that is based on an older
//! version.

use crate::platform::defects::rules;
use nanoserde::{DeBin, DeBinErr, SerBin};
use sparrouter_codec::Seq;
use sparrouter_config::{ORDER_DIGEST_BYTES, Order, OrderDigest};

/// Maximum number of orders in the history. A full history takes 40 KB of the shard's body, and covers three hours at
/// 7,800 changes a day.
pub const MAX_KNOWN_ORDERS: usize = 1_024;

/// One link of the chain: the order that made a version. Its base is the version of the previous link.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AppliedOrder {
    /// The version that the order made.
    pub number: u64,
    /// Digest of the order.
    pub digest: OrderDigest,
}

/// What the chain proves about an order whose base is not the version in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderFate {
    /// This order made a version, which may have been superseded since.
    Applied,
    /// The order never made a version and cannot make one any more.
    Lost,
    /// The base of the order has not been in force yet.
    Ahead,
    /// The base of the order was superseded before the oldest stored link: the order was either applied or lost.
    Unknown,
}

/// The newest links of the chain. Invariant: their version numbers rise strictly and are above `base`.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct OrderHistory {
    /// The base of the oldest link.
    base: u64,
    links: Seq<AppliedOrder>,
}

impl OrderHistory {
    /// A chain that starts at `version`, with no knowledge of earlier orders.
    pub fn unknown_before(version: u64) -> OrderHistory {
        OrderHistory {
            base: version,
            links: Seq::default(),
        }
    }

    /// The version in force; 0 before the first configuration.
    pub fn newest(&self) -> u64 {
        self.links.last().map_or(self.base, |link| link.number)
    }

    /// Number of orders in the history.
    pub fn known(&self) -> usize {
        self.links.len()
    }

    /// Appends an order whose base is the newest version.
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

    /// Decides the fate of an order whose base is not the newest version.
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

    /// The link whose base is `base`; `None` if no such version is known to have been in force.
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
