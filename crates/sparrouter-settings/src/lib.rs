//! The settings object of the older proxy, as operators write it: the same in the simulator's messages and in the node's
//! configuration file. It is read into the types of `sparrouter-balancer`; names become small indices.
//!
//! | module | its one job |
//! | --- | --- |
//! | `document` | the object, field by field |
//! | `convert` | the object read into the types of the decisions |
//! | `name_table` | names of operations, tenants and cache servers as indices |
//! | `reload` | other settings for a node at work |
//! | `error` | what is wrong with an object |
mod convert;
mod document;
mod error;
mod name_table;
mod reload;

pub use convert::{Connections, nanos};
pub use document::{Settings, Tenant};
pub use error::SettingsError;
pub use name_table::{ListEntry, NameTable, hash};
pub use reload::SettingsChange;
