//! The record of a server, and how two records of one server merge.
use crate::changes::{RecordKey, Urgency};
use crate::record_table::{Record, UNRESPONSIVE_RETENTION_PERIODS};
use nanoserde::{DeBin, SerBin};
use sparrouter_codec::Seq;

/// The life cycle of a server. It only ever moves forward.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, SerBin, DeBin)]
pub enum LifecycleState {
    /// It takes requests.
    #[default]
    Ready,
    /// It takes no new requests, and will leave.
    Draining,
    /// It has left.
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

/// One incarnation of a server, as its heartbeats describe it.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct ServerRecord {
    /// Its instance id, new with each start.
    pub id: String,
    /// Name of its service.
    pub service: String,
    /// IP address and port.
    pub address: String,
    /// The zone that it is in.
    pub zone: String,
    /// Requests that it works on at a time.
    pub slot_count: u32,
    /// Whether it takes requests.
    pub state: LifecycleState,
    /// Number of its last call; rises with each.
    pub call_sequence: u64,
    /// The models that it runs.
    pub models: Seq<LoadedModel>,
    /// Name of the node that its heartbeats go to, which marks it as unresponsive if they stop.
    pub registrar: String,
    /// No heartbeat has arrived since this call sequence. A hint only: the server may still answer requests.
    pub unresponsive: bool,
}

impl ServerRecord {
    /// Whether the server is thought to run: it has not left, and its heartbeats arrive.
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

    /// The record with the higher call sequence wins; of two with the same, the one that is unresponsive. The life cycle
    /// state is the later one of both, so that a late record never moves a server back.
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
