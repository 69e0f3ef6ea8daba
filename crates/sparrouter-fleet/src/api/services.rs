//! The services that the endpoints of a process share.
use crate::control::Control;
use crate::membership::registry::Registry;
use crate::node::Node;
use sparrouter_routing::Nanos;
use std::rc::Rc;

/// The node, its control state and its server registry, shared by all endpoints of a process.
pub struct ControlServices {
    /// The node.
    pub node: Rc<Node>,
    /// The replicated control state of the node; `None` if the node is not a control node.
    pub control: Option<Rc<Control>>,
    /// The model servers that send heartbeats to this node.
    pub registry: Registry,
}

impl ControlServices {
    /// Whether this node is a member of the control state's replica group and in contact with a quorum.
    pub fn has_quorum_contact(&self) -> bool {
        self.control
            .as_ref()
            .is_some_and(|c| c.has_quorum_contact())
    }

    /// Start time of the quorum read that confirmed the configuration in force on this node; `None` without quorum
    /// contact.
    pub fn confirmed_read(&self) -> Option<Nanos> {
        self.control.as_ref().and_then(|c| c.confirmed_read())
    }
}
