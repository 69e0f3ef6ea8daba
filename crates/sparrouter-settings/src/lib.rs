//! The settings object of the older proxy, which operators write. The simulator's messages and the node's configuration
//! file use the same format. The object is converted to the types of `sparrouter-balancer`, with names mapped to
//! indices.
//!
//! | module | contents |
//! | --- | --- |
//! | `document` | the settings object, field by field |
//! | `convert` | converts the object to the types of the routing policy |
//! | `name_table` | maps names of operations, tenants and cache servers to indices |
//! | `reload` | compares and applies new settings in a running node |
//! | `error` | errors of settings objects and list entries |
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
