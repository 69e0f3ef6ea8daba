//! The record of a node, and how two records of one node merge.
use crate::changes::{RecordKey, Urgency};
use crate::record_table::{Record, UNRESPONSIVE_RETENTION_PERIODS};
use nanoserde::{DeBin, SerBin};

/// One process of the fleet, as it describes itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct NodeRecord {
    /// Name of the node, the same after a restart.
    pub name: String,
    /// Address for other nodes.
    pub internal_address: String,
    /// Address for servers and operators; empty if it serves none.
    pub control_address: String,
    /// The zone that it is in.
    pub zone: String,
    /// The region that it is in.
    pub region: String,
    /// It counts toward the quorum.
    pub counts_toward_quorum: bool,
    /// It serves clients.
    pub serves_clients: bool,
    /// Id of its disk, new after the disk was wiped; 0 without a disk.
    pub disk_id: u64,
    /// Incarnation. The process raises it whenever it learns of a newer record of its name.
    pub incarnation: u64,
    /// Random number of the process, to distinguish two processes of one name.
    pub nonce: u64,
    /// It is shutting down.
    pub leaving: bool,
    /// It stopped polling. It refutes this with a higher incarnation.
    pub unresponsive: bool,
}

/// Orders the records of one name; see [`NodeRecord::precedence`].
type Precedence = (u64, u64, bool, bool, u64);

impl NodeRecord {
    /// Of two records of one name the one with the higher value wins: the higher incarnation first. Of two processes of
    /// one name and incarnation the one with the higher nonce wins, until one of them raises its incarnation.
    fn precedence(&self) -> Precedence {
        (
            self.incarnation,
            self.nonce,
            self.leaving,
            self.unresponsive,
            self.disk_id,
        )
    }

    /// The incarnation that the process with this record must take for the record to win over `known`, the newest one
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
