//! Selects the server for a request, and tracks the health of servers, without I/O.
//!
//! A selection has these steps (`selection`):
//!
//! 1. *Score* each server of the route's service by rendezvous hashing: hash(id of the server, key of the request). All
//!    nodes compute the same scores, so every node sends the same prefix to the same server, without shared state.
//! 2. *Filter*: a server is eligible if it is ready, is neither loading weights nor suspected nor full, runs a version of
//!    the model that a request may still start on, and was not attempted before.
//! 3. *Bounded load*: a server is skipped while this node's own requests in flight there exceed both twice their mean over
//!    the servers in use, and a floor of 2. If all servers exceed the bound, the one with the fewest is selected.
//! 4. *Order*: unresponsive servers, ejected servers and, for long generations, servers about to load weights rank behind
//!    the others; otherwise the highest score wins.
//! 5. *Fallback*: after a failed attempt, the caller selects again and excludes the attempted servers. It does so only for
//!    a request that is idempotent or provably did not run, and only while the retry budget allows (`retry_budget`).
//!
//! Sources: Deb Allen, "Hash Load Balancing and Persistence on BIG-IP LTM"; Mirrokni, Thorup and Zadimoghaddam,
//! "Consistent Hashing with Bounded Loads", SODA 2018. Design: docs/design/system.md.
//!
//! | module | its one job |
//! | --- | --- |
//! | `selection` | selects a server for one request |
//! | `candidate` | compares two eligible servers, and finds the best of many in one pass |
//! | `server_table` | stores all servers, with maps by id, hash and service |
//! | `server` | one server's membership record, requests in flight and health, as this node sees them |
//! | `service_servers` | the servers of one service, and their load bound |
//! | `membership_sync` | brings the server table up to date with the membership table |
//! | `suspicion` | suspects unreachable servers, and schedules their health checks |
//! | `outliers` | ejects servers that fail requests which other servers answer, by the failures of all nodes |
//! | `decaying_count` | a count that decays exponentially with time |
//! | `retry_budget` | limits retries to a share of the requests |
//! | `backlog` | estimates how long a prompt would queue at a server, over all nodes |
//! | `versions` | the versions of a model's weights that a request may start on |
//! | `rollout_order` | the servers that load new weights next, and how many do so at the same time |
//! | `route_durations` | the longest recent request duration of each route |
//! | `prompt` | a prompt's prefix blocks, as the client describes them |
mod backlog;
mod candidate;
mod decaying_count;
mod membership_sync;
mod outliers;
mod prompt;
mod retry_budget;
mod rollout_order;
mod route_durations;
mod selection;
mod server;
mod server_table;
mod service_servers;
mod suspicion;
mod versions;

pub use backlog::Backlog;
pub use decaying_count::DecayingCount;
pub use outliers::{EJECTION_PERIOD, Failure, Outliers};
pub use prompt::{PrefixBlock, Prompt, TypicalOutput};
pub use retry_budget::{RetryBudget, RetryBudgetSettings, SlackDivision};
pub use rollout_order::{OutdatedServer, RolloutStep, next_step};
pub use route_durations::RouteDurations;
pub use selection::{Selection, SelectionError, SelectionRequest};
pub use server::{RequestOutcome, Server, ServerHandle};
pub use server_table::ServerTable;
pub use versions::{OutdatedVersionLimits, RequiredVersion, Timestamp, Versions, timestamp_before};

/// A duration, or a point in time by the monotonic clock of this process, in nanoseconds.
pub type Nanos = u64;
