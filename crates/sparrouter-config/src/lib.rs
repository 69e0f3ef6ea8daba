//! The operators' configuration: parsed, validated, patched, and read into an immutable route table.
//!
//! [`change`] applies the body of a PUT or PATCH to the [`Document`] in force and gives the next one or a [`ConfigError`];
//! [`Table::read`] turns a document into the table that requests are routed by. Both are pure functions: the same bytes
//! give the same outcome on every node. No I/O, no clock, no randomness.
//!
//! A document's text is the JSON that was sent, without the white space between its tokens: fields that this release does
//! not know, their order and the digits of every number are kept.
//!
//! | module | its one job |
//! | --- | --- |
//! | `change` | applies a PUT or PATCH |
//! | `table_reader` | validates a document and builds its table |
//! | `route_table` | the route table and its look-ups |
//! | `json`, `fields` | JSON as slices of text, and as typed fields |
//! | `edit` | the difference between two texts, as nodes send it to each other |
//! | `error` | why a configuration is refused |
#![deny(missing_docs)]

mod change;
mod edit;
mod error;
mod fields;
mod json;
mod order;
mod route_table;
mod table_reader;

pub use change::{Accepted, Document, Method, accept, base_of, change, read_order};
pub use edit::{Edit, EditHistory, Hunk, digest_of_text};
pub use error::ConfigError;
pub use json::{MAX_BYTES, MAX_DEPTH, MAX_VALUES};
pub use order::{ORDER_DIGEST_BYTES, Order, OrderDigest};
pub use route_table::{Engine, Limits, Route, RouteKind, RouteTable, Service, Store, Tenant};
