//! History of a rollout, kept beside the log for its page. No decision depends on it, so nothing waits for its writes,
//! and their errors stop nothing.
use crate::controller::Observation;
use crate::record::Outcome;
use serde::{Deserialize, Serialize};
use std::fs::{File, OpenOptions};
use std::io::Write;
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};

/// One line of the history, as JSON with the names of earlier versions. Times are seconds since 1970.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum HistoryLine {
    /// A line was printed for the operator.
    #[serde(rename = "Said")]
    Printed {
        /// When.
        #[serde(rename = "at")]
        time: f64,
        /// The line.
        text: String,
    },
    /// An interval of the fleet was observed.
    #[serde(rename = "Seen")]
    Observed {
        /// When.
        #[serde(rename = "at")]
        time: f64,
        /// What it showed.
        #[serde(rename = "seen")]
        observation: Observation,
    },
    /// The rollout ended.
    #[serde(rename = "Ended")]
    Finished {
        /// When.
        #[serde(rename = "at")]
        time: f64,
        /// How.
        #[serde(rename = "how")]
        outcome: Outcome,
    },
}

impl HistoryLine {
    /// When the line was written, in seconds since 1970.
    pub fn time(&self) -> f64 {
        match self {
            HistoryLine::Printed { time, .. }
            | HistoryLine::Observed { time, .. }
            | HistoryLine::Finished { time, .. } => *time,
        }
    }
}

/// Wall-clock time in seconds since 1970.
pub fn unix_time() -> f64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.unwrap_or_default().as_secs_f64()
}

fn history_path(log: &Path) -> PathBuf {
    let mut name = log.as_os_str().to_owned();
    name.push(".history");
    PathBuf::from(name)
}

/// The history file, if it could be opened.
pub struct History(Option<File>);

impl History {
    /// Opens the history beside a log, and creates it if there is none.
    pub fn open(log: &Path) -> History {
        let file = OpenOptions::new()
            .create(true)
            .append(true)
            .open(history_path(log));
        History(file.ok())
    }

    /// Adds a line. Where it cannot be written, the page will miss it.
    pub fn add(&mut self, line: &HistoryLine) {
        if let (Some(file), Ok(mut text)) = (&mut self.0, serde_json::to_vec(line)) {
            text.push(b'\n');
            let _ = file.write_all(&text);
        }
    }
}

/// The lines of the history beside a log, without those that cannot be read, such as an incomplete last one.
pub fn read(log: &Path) -> Vec<HistoryLine> {
    let text = std::fs::read(history_path(log)).unwrap_or_default();
    text.split(|byte| *byte == b'\n')
        .filter_map(|line| serde_json::from_slice(line).ok())
        .collect()
}
