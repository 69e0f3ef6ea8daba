//! What the calls from outside are answered with.
use crate::control::Control;
use crate::membership::registry::Registry;
use crate::node::Node;
use sparrouter_routing::Nanos;
use std::rc::Rc;

/// What the tasks of a process share.
pub struct ControlServices {
    pub node: Rc<Node>,
    pub control: Option<Rc<Control>>,
    pub registry: Registry,
}

impl ControlServices {
    /// Whether this node is a member in contact with a quorum.
    pub fn has_quorum_contact(&self) -> bool {
        self.control
            .as_ref()
            .is_some_and(|c| c.has_quorum_contact())
    }

    /// When the read began by which a quorum confirmed what is in force here; `None` without quorum contact.
    pub fn confirmed_read(&self) -> Option<Nanos> {
        self.control.as_ref().and_then(|c| c.confirmed_read())
    }
}
