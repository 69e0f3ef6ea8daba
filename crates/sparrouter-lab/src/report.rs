//! What a run leaves behind for people: `run.json` and one page with plots.
mod page;
pub mod plots;

use crate::play::{Run, RunError};
use std::path::{Path, PathBuf};

/// Writes both into the folder; gives the page's path.
///
/// # Errors
///
/// A file cannot be written.
pub fn write(run: &Run, folder: &Path) -> Result<PathBuf, RunError> {
    let failed = |path: &Path| {
        let path = path.display().to_string();
        move |e| RunError::Io(path, e)
    };
    std::fs::create_dir_all(folder).map_err(failed(folder))?;
    let (json, page) = (folder.join("run.json"), folder.join("report.html"));
    let text = serde_json::to_string(run).map_err(|e| failed(&json)(e.into()))?;
    std::fs::write(&json, text).map_err(failed(&json))?;
    std::fs::write(&page, page::page(run)).map_err(failed(&page))?;
    Ok(page)
}

/// Reads a run again, from its folder or its file.
///
/// # Errors
///
/// The file cannot be read, or holds no run.
pub fn read(path: &Path) -> Result<Run, RunError> {
    let path = if path.is_dir() {
        path.join("run.json")
    } else {
        path.to_path_buf()
    };
    let failed = |e| RunError::Io(path.display().to_string(), e);
    let text = std::fs::read_to_string(&path).map_err(failed)?;
    serde_json::from_str(&text).map_err(|e| failed(e.into()))
}

pub use page::table;
