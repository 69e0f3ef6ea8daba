//! The operator's configuration: read, checked, patched, and served as an immutable snapshot.
//!
//! [`change`] takes the body of a PUT or PATCH on top of the [`Document`] in force and gives the next one or a
//! [`Refusal`]; [`Table::read`] turns a document into what requests are routed by. Both are pure: the same bytes
//! give the same outcome on every node. No I/O, no clock, no chance.
//!
//! A document's text is the JSON that was sent, without the white space between its tokens: fields that are not
//! known here, their order and the digits of every number come back as they came.

mod change;
mod edit;
mod fields;
mod order;
mod read;
mod refusal;
mod table;
mod text;

pub use change::{Accepted, Document, Method, accept, base_of, change, read_order};
pub use edit::{Edit, Edits, Piece, digest_of_text};
pub use order::{ORDER_DIGEST_BYTES, Order, OrderDigest};
pub use refusal::Refusal;
pub use table::{Engine, Kind, Limits, Route, Service, Store, Table, Tenant};
pub use text::{MAX_BYTES, MAX_DEPTH, MAX_VALUES};
