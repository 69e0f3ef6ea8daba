//! Tenant quotas that apply to the whole fleet: a node takes a permit before it sends a request, and lease holders
//! grant the permits. `docs/design/quotas.md` explains why the sum of all grants stays within the quota.
//!
//! | module | its job |
//! | --- | --- |
//! | `holder` | this node as a lease holder: the permits that it grants, and the renewal of its leases |
//! | `limits` | the limits of the active configuration, divided among shards |
//! | `permit` | a permit from its grant to its use or return |
//! | `report` | status for operators: limits, their parts, and the grants of this node |
//! | `take` | requests for permits to the lease holders of a tenant's quota |
//!
//! Owns no state: the state is in `node::quotas`. Uses `control` for the leases.
mod holder;
mod limits;
mod permit;
mod report;
mod take;

pub(crate) use holder::{Grant, start};
pub(crate) use permit::HeldPermit;
pub(crate) use report::{HeldPart, HeldShard};
pub(crate) use take::PermitError;
