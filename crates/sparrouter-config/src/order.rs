//! What identifies an operator's order, so that the same one is recognized when it is sent again.

use crate::Method;
use sha2::{Digest, Sha256};

/// Bytes of a digest.
pub const ORDER_DIGEST_BYTES: usize = 32;

/// Separates these digests from any other use of SHA-256, and from a later form of this one. It is hashed: it stays.
const DOMAIN: &[u8] = b"sparrouter configuration order, form 1\0";

/// SHA-256 over method, base, number and text of an order. Two different orders with one digest cannot be constructed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OrderDigest(pub [u8; ORDER_DIGEST_BYTES]);

/// The identity of one PUT or PATCH of the configuration.
///
/// White space between the tokens of the body does not count, since a configuration is stored without it. Everything else
/// does: the order of the fields and the digits of each number too.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Order {
    /// The version that it builds on, 0 for the first configuration.
    pub base: u64,
    /// The version that it makes.
    pub version: u64,
    /// SHA-256 of the request.
    pub digest: OrderDigest,
}

impl Order {
    /// `text`: the body without white space between its tokens.
    pub(crate) fn new(method: Method, base: u64, number: u64, text: &str) -> Order {
        let method: &[u8] = match method {
            Method::Put => b"PUT\0",
            Method::Patch => b"PATCH\0",
        };
        let mut hasher = Sha256::new();
        hasher.update(DOMAIN);
        hasher.update(method);
        hasher.update(base.to_le_bytes());
        hasher.update(number.to_le_bytes());
        hasher.update(text.as_bytes());
        Order {
            base,
            version: number,
            digest: OrderDigest(hasher.finalize().into()),
        }
    }
}
