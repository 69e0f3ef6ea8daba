//! The identity of an operator's order (a PUT or PATCH of the configuration), by which a retry is recognized.

use crate::Method;
use sha2::{Digest, Sha256};

/// Length of an [`OrderDigest`] in bytes.
pub const ORDER_DIGEST_BYTES: usize = 32;

/// Domain separator: prevents collisions with other uses of SHA-256 and with later formats of this digest. It is part of the
/// hashed input and must not change.
const DOMAIN_SEPARATOR: &[u8] = b"sparrouter configuration order, form 1\0";

/// SHA-256 over method, base version, version and text of an order. It is infeasible to construct two different orders with
/// the same digest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OrderDigest(pub [u8; ORDER_DIGEST_BYTES]);

/// The identity of one PUT or PATCH of the configuration.
///
/// White space between the tokens of the body is ignored, since a configuration is stored without it. Everything else
/// is significant, including the order of fields and the digits of each number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Order {
    /// The version that the order is based on; 0 for the first configuration.
    pub base: u64,
    /// Version number of the configuration that the order results in.
    pub version: u64,
    /// Digest of the order.
    pub digest: OrderDigest,
}

impl Order {
    /// Creates the identity of an order. `text` is the body without white space between tokens.
    pub(crate) fn new(method: Method, base: u64, version: u64, text: &str) -> Order {
        let method: &[u8] = match method {
            Method::Put => b"PUT\0",
            Method::Patch => b"PATCH\0",
        };
        let mut hasher = Sha256::new();
        hasher.update(DOMAIN_SEPARATOR);
        hasher.update(method);
        hasher.update(base.to_le_bytes());
        hasher.update(version.to_le_bytes());
        hasher.update(text.as_bytes());
        Order {
            base,
            version,
            digest: OrderDigest(hasher.finalize().into()),
        }
    }
}
