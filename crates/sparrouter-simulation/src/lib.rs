//! Deterministic simulation testing: the fleet's own code in one process, many nodes of it, in virtual time, over a network
//! in memory and disks that lose what was not synced, with stand-ins for servers, clients and the operator. Checkers find
//! violations of the rules as they happen. The same seed gives the same run.
//!
//! | what is simulated | module |
//! | --- | --- |
//! | the runtime and its clock | [`runtime`] |
//! | the network: links, connections, a machine's interface | [`network`] |
//! | disks | [`disk`] |
//! | processes, which may freeze or end between any two steps | [`process`] |
//! | a deployment of all these | [`cluster`] |
//! | model servers | [`server`] |
//! | clients, the load of many, that of tenants with limits | [`client`], [`load`], [`tenant_load`] |
//! | the platform's load balancer | [`load_balancer`] |
//! | the operator, and many at once | [`operator`], [`order_load`] |
//! | configurations; HTTP as stand-ins speak it | [`configuration`], [`http_messages`] |
//!
//! | what happens and what must hold | module |
//! | --- | --- |
//! | a simulated day by seed | [`scenario`] |
//! | faults, and which of them a scenario has | [`faults`] |
//! | what was observed, the event trace | [`monitor`] |
//! | the rules, a checker each | [`checkers`] |
//! | the history of the operators' calls, and its linearizability | [`history`], [`linearizability`] |
//! | whether the control state survives further losses | [`durability`] |
//! | whether claims of quorum contact are true | [`contact_watch`] |
//! | what one node of a large fleet does for an event, a request, a poll | [`node_work`] |
//!
//! A new checker is a file in `checkers/` and a line in `checkers::all`, in `checkers/mod.rs`. A new fault is a function in
//! a file of `faults/` and a line in the table of `faults/mod.rs`, at its end.
//!
//! Sources: FoundationDB's simulation (Zhou et al., SIGMOD 2021) and TigerBeetle's: the real code, faults by seed, and a
//! failure that comes back from one number.

pub mod checkers;
pub mod client;
pub mod cluster;
pub mod configuration;
pub mod contact_watch;
pub mod disk;
pub mod durability;
pub mod faults;
pub mod history;
pub mod http_messages;
pub mod linearizability;
pub mod load;
pub mod load_balancer;
pub mod monitor;
pub mod network;
pub mod node_work;
pub mod operator;
pub mod order_load;
pub mod process;
pub mod runtime;
pub mod scenario;
pub mod server;
pub mod tenant_load;
