//! The routing step of a request, without I/O: which server takes it, which is the fallback, and when to give up.
//!
//! The usual path (docs/design/system.md): every ready server of the route's service is scored by hash(its id, key). The
//! highest score wins; the next highest is the fallback if the request may be repeated or provably did not run. A server
//! is skipped while this node's own requests in flight there exceed both twice their mean and a floor of 2 (bounded
//! load). The choice uses no shared state. Source: Deb Allen, "Hash Load Balancing and Persistence on BIG-IP LTM".
//!
//! | module | its one job |
//! | --- | --- |
//! | `selection` | the server table, and the choice among its servers |
//! | `candidate` | how two servers of an election compare |
//! | `membership_sync` | brings the server table up to date with the rows of membership |
//! | `server` | what is known of one server |
//! | `versions` | which version of a model's weights a request may begin on |
//! | `rollout_order` | which servers take new weights next, and how many at a time |
//! | `backlog` | how long a prompt would wait at a server, over all nodes |
//! | `outliers` | which servers fail what others would serve, over all nodes |
//! | `retry_budget` | the retry budget |
//! | `route_durations` | how long requests of each route take |
//! | `prompt` | a prompt's prefix blocks, as the client names them |
#![deny(missing_docs)]
mod backlog;
mod candidate;
mod membership_sync;
mod outliers;
mod prompt;
mod retry_budget;
mod rollout_order;
mod route_durations;
mod selection;
mod server;
mod service_servers;
mod versions;

pub use backlog::Backlog;
pub use outliers::{DecayingCount, EJECTION_PERIOD, Failure, Outliers};
pub use prompt::{PrefixBlock, Prompt, TypicalOutput};
pub use retry_budget::{RetryBudget, RetryBudgetSettings};
pub use rollout_order::{OutdatedServer, RolloutStep, next_step};
pub use route_durations::RouteDurations;
pub use selection::{Selection, SelectionError, SelectionRequest, ServerTable};
pub use server::{RequestOutcome, Server, ServerIndex};
pub use versions::{OutdatedVersionLimits, RequiredVersion, Timestamp, Versions, timestamp_before};

/// Nanoseconds of a monotonic clock.
pub type Nanos = u64;
