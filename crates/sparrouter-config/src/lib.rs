//! The operators' configuration: parsed, validated, patched, and read into an immutable route table.
//!
//! [`change`] applies the body of a PUT or PATCH to the current [`Document`] and returns the next document or a
//! [`ConfigError`]; [`RouteTable::read`] builds the table that requests are routed by from a document. Both are pure functions:
//! the same bytes give the same result on every node. The crate uses no I/O, no clock and no randomness.
//!
//! A document's text is the JSON that the operator sent, without white space between tokens: unknown fields, the order of
//! fields and the digits of every number are preserved.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `change` | applies a PUT or PATCH |
//! | `patch` | computes the text of a patched document |
//! | `order` | the identity of one PUT or PATCH (an operator's order), by which a retry is recognized |
//! | `route_table` | the route table and lookups in it |
//! | `table_reader`, `route_reader` | validate a document and build its table |
//! | `table_index` | builds the indexes of a route table and checks uniqueness |
//! | `json`, `fields` | read JSON as slices of text and as typed fields |
//! | `edit`, `edit_history` | the difference between two texts, which nodes exchange |
//! | `error` | the reasons for rejecting a configuration |

mod change;
mod edit;
mod edit_history;
mod error;
mod fields;
mod json;
mod order;
mod patch;
mod route_reader;
mod route_table;
mod table_index;
mod table_reader;

pub use change::{
    Accepted, Document, Method, accept, base_version, change, is_in_force, read_order,
};
pub use edit::{Edit, Hunk, digest_of_text};
pub use edit_history::EditHistory;
pub use error::ConfigError;
pub use json::{MAX_BYTES, MAX_DEPTH, MAX_VALUES};
pub use order::{ORDER_DIGEST_BYTES, Order, OrderDigest};
pub use route_table::{
    Engine, Limits, Route, RouteKind, RouteTable, Service, Store, Tenant, TenantQuota,
};
