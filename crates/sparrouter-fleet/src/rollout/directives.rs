//! Directives that inform all nodes about a server that loads new weights.
use super::RolloutTask;
use crate::control::shard_lease::ActiveLease;
use crate::control::shard_of;
use sparrouter_membership::ServerDirective;

/// Kind of a rollout directive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DirectiveKind {
    /// The server loads new weights soon: long generations are routed to other servers.
    LoadSoon,
    /// The server loads new weights: no new request is sent to it.
    Load,
}

impl DirectiveKind {
    const ALL: [DirectiveKind; 2] = [DirectiveKind::LoadSoon, DirectiveKind::Load];

    /// First segment of a directive's key. All releases parse it.
    fn key_segment(self) -> &'static str {
        match self {
            DirectiveKind::LoadSoon => "soon",
            DirectiveKind::Load => "load",
        }
    }
}

/// A server, and the model that is updated on it.
#[derive(Clone, Copy)]
pub(super) struct ServerModel<'a> {
    pub(super) id: &'a str,
    pub(super) model: &'a str,
}

impl RolloutTask {
    /// Sends a directive about a server to all nodes.
    pub(super) fn issue_directive(
        &self,
        lease: ActiveLease,
        kind: DirectiveKind,
        server: ServerModel<'_>,
        version: u64,
    ) {
        self.send_directive(lease, kind, server, version, false);
    }

    /// Withdraws a directive about a server. `version`: the version that the server runs now; 0 if the update was
    /// abandoned.
    pub(super) fn withdraw_directive(
        &self,
        lease: ActiveLease,
        kind: DirectiveKind,
        server: ServerModel<'_>,
        version: u64,
    ) {
        self.send_directive(lease, kind, server, version, true);
    }

    fn send_directive(
        &self,
        lease: ActiveLease,
        kind: DirectiveKind,
        server: ServerModel<'_>,
        version: u64,
        withdrawn: bool,
    ) {
        let sequence = self.last_directive.get() + 1;
        self.last_directive.set(sequence);
        self.node.merge_directive(ServerDirective {
            key: format!("{}/{}/{}", kind.key_segment(), server.id, server.model),
            fencing_token: lease.fencing_token,
            sequence,
            version,
            withdrawn,
        });
    }

    /// Withdraws directives that earlier lease holders left in force: no node updates those servers any more.
    pub(super) fn withdraw_fenced_directives(&self, lease: ActiveLease) {
        for directive in self.fenced_directives(lease) {
            self.node.merge_directive(ServerDirective {
                fencing_token: lease.fencing_token,
                sequence: 0,
                version: 0,
                withdrawn: true,
                ..directive
            });
        }
    }

    /// The directives about servers of this shard that are in force with a lower fencing token than the lease's.
    fn fenced_directives(&self, lease: ActiveLease) -> Vec<ServerDirective> {
        let membership = self.node.membership.borrow();
        let is_fenced =
            |directive: &&ServerDirective| directive.fencing_token < lease.fencing_token;
        let active = membership.directives().filter(|d| self.is_in_force(d));
        active.filter(is_fenced).cloned().collect()
    }

    /// Whether the holder of this shard's lease, this node or another one, is updating servers as far as this node knows.
    pub(super) fn is_in_progress(&self) -> bool {
        let Some(lease) = self.control.unconfirmed_lease(self.shard) else {
            return false;
        };
        let membership = self.node.membership.borrow();
        let mut active = membership.directives().filter(|d| self.is_in_force(d));
        active.any(|directive| directive.fencing_token == lease.fencing_token)
    }

    /// Whether a directive about a server of this shard is in force.
    fn is_in_force(&self, directive: &ServerDirective) -> bool {
        !directive.withdrawn && self.concerns_shard(&directive.key)
    }

    /// Whether a key belongs to a rollout directive about a server of this shard.
    fn concerns_shard(&self, key: &str) -> bool {
        let mut segments = key.split('/');
        let (kind, id) = (segments.next(), segments.next().unwrap_or_default());
        let is_rollout = DirectiveKind::ALL
            .iter()
            .any(|known| kind == Some(known.key_segment()));
        let server_table = self.node.server_table.borrow();
        let server = server_table.find(id).and_then(|ix| server_table.get(ix));
        is_rollout && server.is_some_and(|s| shard_of(&s.service) == self.shard)
    }
}
