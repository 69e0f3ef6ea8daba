//! One proposal of a first group: its requests to the electors, and their replies.
use super::candidates::electors_among;
use crate::control::Control;
use crate::node::Node;
use crate::peer::messages::{Call, Reply};
use crate::platform::defects::rules;
use sparrouter_codec::Blob;
use sparrouter_consensus::Member;
use sparrouter_consensus::bootstrap::{
    BootstrapProposal, BootstrapReply, BootstrapRequest, ProposalStep,
};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{Instant, timeout_at};

/// Time-out of one call to an elector, and the mean delay before it is repeated.
const VOTE_TIMEOUT: Duration = Duration::from_secs(2);
const VOTE_RETRY: Duration = Duration::from_millis(200);

/// Makes one proposal, which ends after `timeout`; returns the chosen group.
pub(super) async fn propose(
    node: &Rc<Node>,
    control: &Rc<Control>,
    seeds: &[SocketAddr],
    members: Vec<Member>,
    timeout: Duration,
) -> Option<Vec<Member>> {
    if !rules::bootstrap_needs_majority() {
        return Some(members);
    }
    let electors = electors_among(node, seeds);
    let number = control.elector.next_number(node);
    let mut proposal = BootstrapProposal::new(number, members, electors.len());
    let deadline = Instant::now() + timeout;
    let mut requests = VoteRequests::new(node, control, electors);
    requests.send(&proposal.prepare());
    while let Ok(Some((elector, request, reply))) = timeout_at(deadline, requests.next()).await {
        match proposal.on_reply(&elector.to_string(), &request, reply) {
            ProposalStep::Wait => {}
            ProposalStep::Send(request) => requests.send(&request),
            ProposalStep::Chosen(group) => return Some(group),
            ProposalStep::Superseded { term } => {
                control.elector.observe_term(term);
                return None;
            }
            ProposalStep::GroupExists => return None,
        }
    }
    None
}

/// An elector's reply to a request.
type Vote = (SocketAddr, BootstrapRequest, BootstrapReply);

/// The requests of one proposal. They are repeated until each elector has replied, or the proposal ends.
struct VoteRequests {
    node: Rc<Node>,
    control: Rc<Control>,
    electors: Vec<SocketAddr>,
    pending: JoinSet<Option<Vote>>,
}

impl VoteRequests {
    fn new(node: &Rc<Node>, control: &Rc<Control>, electors: Vec<SocketAddr>) -> VoteRequests {
        VoteRequests {
            node: node.clone(),
            control: control.clone(),
            electors,
            pending: JoinSet::new(),
        }
    }

    /// Sends a request to all electors.
    fn send(&mut self, request: &BootstrapRequest) {
        for elector in self.electors.iter().copied() {
            let (node, control) = (self.node.clone(), self.control.clone());
            let request = request.clone();
            self.pending.spawn_local(async move {
                let reply = request_vote(&node, &control, elector, &request).await;
                reply.map(|reply| (elector, request, reply))
            });
        }
    }

    /// The next reply; `None` if no request is pending.
    async fn next(&mut self) -> Option<Vote> {
        while let Some(ended) = self.pending.join_next().await {
            if let Ok(Some(vote)) = ended {
                return Some(vote);
            }
        }
        None
    }
}

/// Requests the vote of an elector until it replies; `None` if its reply cannot be read.
async fn request_vote(
    node: &Rc<Node>,
    control: &Rc<Control>,
    elector: SocketAddr,
    request: &BootstrapRequest,
) -> Option<BootstrapReply> {
    let own_ip = node.settings.borrow().ip;
    if elector.ip() == own_ip {
        return Some(control.vote_on_bootstrap(request).await);
    }
    let address = node.settings.borrow().internal_of(elector.ip());
    let call = Call::VoteOnBootstrap {
        request: Blob(request.encode()),
    };
    loop {
        let reply = node.bootstrap_links.call(address, &call, VOTE_TIMEOUT);
        match reply.await {
            Ok(Reply::BootstrapVote(vote)) => return BootstrapReply::decode(&vote).ok(),
            Ok(_) => return None,
            Err(_) => tokio::time::sleep(node.jitter(VOTE_RETRY)).await,
        }
    }
}
