//! Applies a PUT or PATCH to the current configuration.

use crate::edit::digest_of_text;
use crate::error::ConfigError;
use crate::fields::Fields;
use crate::json::{self, Json};
use crate::order::Order;
use crate::patch;
use crate::route_table::RouteTable;

/// A complete configuration that was accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Document {
    /// Version number of the configuration, 1 or higher.
    pub version: u64,
    /// The configuration as JSON without white space between tokens. Contains all fields in the order sent, including those
    /// unknown to this release.
    pub text: String,
}

impl Document {
    /// A hash of the document's text, identical in every process and release.
    pub fn digest(&self) -> u64 {
        digest_of_text(&self.text)
    }
}

/// How a request changes the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Method {
    /// The body is a complete configuration.
    Put,
    /// The body names items to add, replace and remove.
    Patch,
}

/// An operator's order that passed validation: its identity and the document it results in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Accepted {
    /// Identity of the order, by which a retry is recognized.
    pub order: Order,
    /// The resulting configuration.
    pub document: Document,
}

/// The parsed body of an order that has not been applied.
struct Body {
    /// The body without white space between tokens.
    text: String,
    /// Version number of the configuration that the order results in.
    version: u64,
}

fn read_body(body: &[u8]) -> Result<Body, ConfigError> {
    let Json { compact, tree } = json::read(body)?;
    let version = Fields::root(&tree)?.version()?;
    Ok(Body {
        text: compact,
        version,
    })
}

/// Computes the identity of an order without validating the order against a configuration.
///
/// # Errors
///
/// A [`ConfigError`] if the body is not a JSON object with a version. No release applies such an order.
pub fn read_order(
    method: Method,
    body: &[u8],
    if_match: Option<u64>,
) -> Result<Order, ConfigError> {
    let body = read_body(body)?;
    let base = base_version(if_match);
    Ok(Order::new(method, base, body.version, &body.text))
}

/// The version that an order is based on, given by `If-Match`. A missing `If-Match` counts as 0.
pub fn base_version(if_match: Option<u64>) -> u64 {
    if_match.unwrap_or(0)
}

/// Applies a change to `current` and returns the resulting document. `current` is `None` if no configuration was accepted
/// yet, which counts as version 0. A pure function: every node computes the same result.
///
/// `if_match` is the value of `If-Match` if it is a number. A missing `If-Match` counts as 0, so a request without it is
/// valid for the first configuration only; later it is rejected as stale (412).
///
/// A PATCH replaces items in place by their name, appends new items, ignores the removal of names that do not exist, and
/// replaces `limits` if the body contains that field at its top level. The result is validated like the body of a PUT.
///
/// # Errors
///
/// A [`ConfigError`] if the change is stale, malformed or invalid. Staleness is checked first.
pub fn change(
    method: Method,
    body: &[u8],
    if_match: Option<u64>,
    current: Option<&Document>,
) -> Result<Document, ConfigError> {
    accept(method, body, if_match, current).map(|accepted| accepted.document)
}

/// Applies a change as [`change`] does, and also returns the identity of the order.
///
/// # Errors
///
/// The same errors as [`change`].
pub fn accept(
    method: Method,
    body: &[u8],
    if_match: Option<u64>,
    current: Option<&Document>,
) -> Result<Accepted, ConfigError> {
    let current_version = current.map_or(0, |document| document.version);
    if base_version(if_match) != current_version {
        return Err(ConfigError::Stale {
            sent: if_match,
            current: current_version,
        });
    }
    let Body { text, version } = read_body(body)?;
    if version <= current_version {
        return Err(ConfigError::OldVersion {
            version,
            current: current_version,
        });
    }
    let order = Order::new(method, current_version, version, &text);
    let text = match method {
        Method::Put => text,
        Method::Patch => {
            let current = current.ok_or(ConfigError::NothingToPatch)?;
            patch::apply(&text, &current.text)?
        }
    };
    let document = Document { version, text };
    RouteTable::read(&document)?;
    Ok(Accepted { order, document })
}

/// Whether the configuration in force is what an order results in, so that the order was applied, or one with the same
/// effect. `body` is the order's body. A PATCH that changes nothing at all is never in force.
///
/// # Errors
///
/// A [`ConfigError`] if the body is not a JSON object with a version.
pub fn is_in_force(method: Method, body: &[u8], current: &Document) -> Result<bool, ConfigError> {
    let Body { text, version } = read_body(body)?;
    if version != current.version {
        return Ok(false);
    }
    Ok(match method {
        Method::Put => text == current.text,
        Method::Patch => {
            !patch::is_empty(&text)
                && patch::apply(&text, &current.text).is_ok_and(|patched| patched == current.text)
        }
    })
}
