//! Requests of an operator to the running controller, passed in a file next to its log.
use super::RunError;
use crate::controller::Event;
use std::path::{Path, PathBuf};

/// A request of an operator to the running controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OperatorRequest {
    /// Stop, and leave all nodes as they are.
    Stop,
    /// Roll the change back.
    RollBack,
}

fn request_path(log: &Path) -> PathBuf {
    let mut name = log.as_os_str().to_owned();
    name.push(".ask");
    PathBuf::from(name)
}

impl OperatorRequest {
    /// Returns the content of the request file.
    fn text(self) -> &'static str {
        match self {
            OperatorRequest::Stop => "stop",
            OperatorRequest::RollBack => "back",
        }
    }

    /// Writes the request file for the controller that runs with this log.
    ///
    /// # Errors
    ///
    /// [`RunError::Io`] if the file cannot be written.
    pub fn submit(self, log: &Path) -> Result<(), RunError> {
        let path = request_path(log);
        std::fs::write(&path, self.text()).map_err(|source| RunError::io(&path, source))
    }
}

/// Removes the request file and returns its request; `None` if there is no file or the request is unknown.
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
