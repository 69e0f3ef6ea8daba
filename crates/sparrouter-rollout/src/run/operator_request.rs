//! Requests of an operator to the controller at work, left in a file beside its log.
use super::RunError;
use crate::controller::Event;
use std::path::{Path, PathBuf};

/// What an operator asks the controller at work for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OperatorRequest {
    /// Stop, and leave all nodes as they are.
    Stop,
    /// Take the change back.
    RollBack,
}

fn request_path(log: &Path) -> PathBuf {
    let mut name = log.as_os_str().to_owned();
    name.push(".ask");
    PathBuf::from(name)
}

impl OperatorRequest {
    /// The text in the file.
    fn text(self) -> &'static str {
        match self {
            OperatorRequest::Stop => "stop",
            OperatorRequest::RollBack => "back",
        }
    }

    /// Leaves the request for the controller that works with this log.
    ///
    /// # Errors
    ///
    /// [`RunError::Io`] where the file cannot be written.
    pub fn submit(self, log: &Path) -> Result<(), RunError> {
        let path = request_path(log);
        std::fs::write(&path, self.text()).map_err(|source| RunError::io(&path, source))
    }
}

/// Takes the request that was left, if any; an unknown one is dropped.
pub(super) fn take(log: &Path) -> Option<Event> {
    let path = request_path(log);
    let text = std::fs::read_to_string(&path).ok()?;
    let _ = std::fs::remove_file(&path);
    match text.trim() {
        "stop" => Some(Event::StopRequested),
        "back" => Some(Event::RollbackRequested),
        _ => None,
    }
}
