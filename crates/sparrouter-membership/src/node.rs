//! The record of a node and its merge rule.
use crate::changes::{RecordKey, Urgency};
use crate::record_table::{Record, UNRESPONSIVE_RETENTION_PERIODS};
use nanoserde::{DeBin, SerBin};

/// A process of the fleet. The process publishes its own record.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct NodeRecord {
    /// Name of the node; unchanged by a restart.
    pub name: String,
    /// Address of the endpoint for other nodes.
    pub internal_address: String,
    /// Address of the endpoint for servers and operators; empty if the node has no such endpoint.
    pub control_address: String,
    /// Zone of the node.
    pub zone: String,
    /// Region of the node.
    pub region: String,
    /// Whether the node counts toward the quorum.
    pub counts_toward_quorum: bool,
    /// Whether the node serves clients.
    pub serves_clients: bool,
    /// Id of the node's disk, which changes when the disk is wiped; 0 if the node has no disk.
    pub disk_id: u64,
    /// Incarnation number. The process raises it whenever it learns of a newer record under its name.
    pub incarnation: u64,
    /// Random number chosen by the process, which distinguishes two processes with the same name.
    pub nonce: u64,
    /// Whether the process is shutting down.
    pub leaving: bool,
    /// Whether the node stopped polling. The node refutes this with a higher incarnation.
    pub unresponsive: bool,
}

/// Sort key of the records of one node; see [`NodeRecord::precedence`].
type Precedence = (u64, u64, bool, bool, u64);

impl NodeRecord {
    /// The sort key by which the winner of two records with the same name is determined: the higher value wins. The incarnation
    /// is compared first. Of two processes with the same name and incarnation, the process with the higher nonce wins until
    /// the other process raises its incarnation.
    fn precedence(&self) -> Precedence {
        (
            self.incarnation,
            self.nonce,
            self.leaving,
            self.unresponsive,
            self.disk_id,
        )
    }

    /// The incarnation that the process with this record needs for its record to win over `known`, the newest known record
    /// under its name.
    pub(crate) fn incarnation_over(&self, known: &NodeRecord) -> u64 {
        let is_another_process = known.nonce != self.nonce;
        let is_wrongly_leaving = known.leaving && !self.leaving;
        if is_another_process || known.unresponsive || is_wrongly_leaving {
            self.incarnation.max(known.incarnation + 1)
        } else {
            self.incarnation
        }
    }
}

impl Record for NodeRecord {
    fn key(&self) -> &str {
        &self.name
    }

    fn record_key(&self) -> RecordKey {
        RecordKey::Node(self.name.clone())
    }

    fn merge(&self, update: NodeRecord) -> Option<NodeRecord> {
        (update.precedence() > self.precedence()).then_some(update)
    }

    fn urgency(&self) -> Urgency {
        if self.leaving || self.unresponsive {
            Urgency::Immediate
        } else {
            Urgency::Batched
        }
    }

    fn retention_periods(&self) -> Option<u64> {
        self.unresponsive.then_some(UNRESPONSIVE_RETENTION_PERIODS)
    }
}
