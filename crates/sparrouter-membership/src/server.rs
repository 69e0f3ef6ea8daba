//! The record of a server and its merge rule.
use crate::changes::{RecordKey, Urgency};
use crate::record_table::{Record, UNRESPONSIVE_RETENTION_PERIODS};
use nanoserde::{DeBin, SerBin};
use sparrouter_codec::Seq;

/// The life cycle state of a server, which only advances.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, SerBin, DeBin)]
pub enum LifecycleState {
    /// The server accepts requests.
    #[default]
    Ready,
    /// The server accepts no new requests and will leave the fleet.
    Draining,
    /// The server has left the fleet.
    Left,
}

/// A model that a server runs.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct LoadedModel {
    /// Name of the model.
    pub name: String,
    /// Version of its weights.
    pub version: u64,
}

/// One run of a server process, as described by its heartbeats.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct ServerRecord {
    /// Instance id, new for each start of the server.
    pub id: String,
    /// Name of the server's service.
    pub service: String,
    /// IP address and port of the server.
    pub address: String,
    /// Zone of the server.
    pub zone: String,
    /// Number of requests that the server processes concurrently.
    pub slot_count: u32,
    /// Life cycle state, which determines whether the server accepts requests.
    pub state: LifecycleState,
    /// Sequence number of the latest call that the server made to a node; rises with each call.
    pub call_sequence: u64,
    /// The models that the server runs.
    pub models: Seq<LoadedModel>,
    /// Name of the node that receives the server's heartbeats, and marks the server as unresponsive if they stop.
    pub registrar: String,
    /// Whether heartbeats stopped after `call_sequence`. This is only a hint: the server may still process requests.
    pub unresponsive: bool,
}

impl ServerRecord {
    /// Whether the server is presumed to be running: it has not left and is not unresponsive.
    pub(crate) fn is_live(&self) -> bool {
        self.state != LifecycleState::Left && !self.unresponsive
    }
}

impl Record for ServerRecord {
    fn key(&self) -> &str {
        &self.id
    }

    fn record_key(&self) -> RecordKey {
        RecordKey::Server(self.id.clone())
    }

    /// The record with the higher call sequence wins; with equal sequences, the record that is unresponsive. The merged record
    /// has the later of both life cycle states, so that a delayed record never moves a server back.
    fn merge(&self, update: ServerRecord) -> Option<ServerRecord> {
        let state = self.state.max(update.state);
        let is_newer =
            (update.call_sequence, update.unresponsive) > (self.call_sequence, self.unresponsive);
        if !is_newer && state == self.state {
            return None;
        }
        let newest = if is_newer { update } else { self.clone() };
        Some(ServerRecord { state, ..newest })
    }

    fn urgency(&self) -> Urgency {
        if self.state == LifecycleState::Ready {
            Urgency::Batched
        } else {
            Urgency::Immediate
        }
    }

    fn retention_periods(&self) -> Option<u64> {
        if self.state == LifecycleState::Left {
            return Some(1);
        }
        self.unresponsive.then_some(UNRESPONSIVE_RETENTION_PERIODS)
    }
}
