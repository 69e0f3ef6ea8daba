//! The settings object that the operators hand to a node, on the simulator's wire and in the real
//! node's configuration alike, and the maps from its names to the module's small indices.
mod changes;
mod names;
mod object;
mod parts;

pub use changes::SettingsChange;
pub use names::{ListEntry, NameTable, hash};
pub use object::{Settings, Tenant};
pub use parts::{Connections, nanos};
