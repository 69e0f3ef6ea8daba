//! What calls from outside are answered with.
use crate::control::Control;
use crate::membership::registry::Registry;
use crate::node::Node;
use sparrouter_routing::Nanos;
use std::rc::Rc;

/// What the endpoints of a process share.
pub struct ControlServices {
    /// The node.
    pub node: Rc<Node>,
    /// Its control state; `None` if it keeps none.
    pub control: Option<Rc<Control>>,
    /// The servers that call it.
    pub registry: Registry,
}

impl ControlServices {
    /// Whether this node is a member in contact with a quorum.
    pub fn has_quorum_contact(&self) -> bool {
        self.control
            .as_ref()
            .is_some_and(|c| c.has_quorum_contact())
    }

    /// When the read began by which a quorum confirmed the configuration in force here; `None` without quorum contact.
    pub fn confirmed_read(&self) -> Option<Nanos> {
        self.control.as_ref().and_then(|c| c.confirmed_read())
    }
}
