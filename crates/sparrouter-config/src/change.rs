//! Applies a PUT or PATCH to the document in force.

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
    /// Its version number, 1 or higher.
    pub version: u64,
    /// Its JSON without white space between tokens, with all fields that were sent, known or not, in their order.
    pub text: String,
}

impl Document {
    /// A hash of the text: the same in every process and release.
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

/// An order that can be applied: what identifies it, and the document that it makes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Accepted {
    /// What identifies it when it is sent again.
    pub order: Order,
    /// The resulting configuration.
    pub document: Document,
}

/// The body of an order, read but not applied.
struct Body {
    /// The text without white space between its tokens.
    text: String,
    /// The version that the order makes.
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

/// Reads what identifies an order, without judging it on any configuration.
///
/// # Errors
///
/// A [`ConfigError`] where the body is no JSON object with a version: no release applies such an order.
pub fn read_order(
    method: Method,
    body: &[u8],
    if_match: Option<u64>,
) -> Result<Order, ConfigError> {
    let body = read_body(body)?;
    let base = base_of(if_match);
    Ok(Order::new(method, base, body.version, &body.text))
}

/// The version that an order builds on: a missing `If-Match` counts as 0.
pub fn base_of(if_match: Option<u64>) -> u64 {
    if_match.unwrap_or(0)
}

/// Applies a change to `current` and gives the resulting document. `None`: no configuration was accepted yet, which
/// counts as version 0. Pure: the same on every node.
///
/// `if_match` is the value of `If-Match` if it is a number. A missing one counts as 0, so it suits the first
/// configuration only and is stale (412) after that.
///
/// A PATCH replaces items in place by their name, appends new ones, ignores the removal of names that do not exist, and
/// replaces `limits` if given beside `upsert_items`. Its result is validated like a configuration that is sent by PUT.
///
/// # Errors
///
/// A [`ConfigError`]. Staleness is checked first.
pub fn change(
    method: Method,
    body: &[u8],
    if_match: Option<u64>,
    current: Option<&Document>,
) -> Result<Document, ConfigError> {
    accept(method, body, if_match, current).map(|accepted| accepted.document)
}

/// The same as [`change`], and what identifies the order when it is sent again.
///
/// # Errors
///
/// As [`change`].
pub fn accept(
    method: Method,
    body: &[u8],
    if_match: Option<u64>,
    current: Option<&Document>,
) -> Result<Accepted, ConfigError> {
    let in_force = current.map_or(0, |document| document.version);
    if base_of(if_match) != in_force {
        return Err(ConfigError::Stale {
            sent: if_match,
            current: in_force,
        });
    }
    let Body { text, version } = read_body(body)?;
    if version <= in_force {
        return Err(ConfigError::OldVersion {
            version,
            current: in_force,
        });
    }
    let order = Order::new(method, in_force, version, &text);
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
