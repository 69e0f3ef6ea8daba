//! The routing step of a request, without I/O: which server takes it, which comes next, and when to give up.
//!
//! Ordinary path (docs/design/system.md): every ready server of the route's service is scored by hash(its id, key);
//! the highest wins, the next highest is the fallback if the request is repeatable or proved unrun. A server is passed
//! over while this node's own requests in flight there exceed both twice their mean and a floor of 2. No state is
//! shared in the choice. Source: Deb Allen, "Hash Load Balancing and Persistence on BIG-IP LTM".
mod backlog;
mod budget;
mod candidate;
mod durations;
mod election;
mod prompt;
mod server;
mod service_servers;
mod sync;
mod versions;

pub use backlog::Backlog;
pub use budget::{Budget, BudgetTerms};
pub use durations::Durations;
pub use election::{Ask, Pick, ServerTable, Turned};
pub use prompt::{Part, Prompt};
pub use server::{Ending, Server, ServerIx};
pub use versions::{Versions, Wanted};

/// Nanoseconds of a clock that only advances.
pub type Nanos = u64;
