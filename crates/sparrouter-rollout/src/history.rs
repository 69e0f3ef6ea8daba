//! History of a rollout for its HTML page, stored next to the log. No decision depends on the history, so its writes are
//! not synced and its write errors are ignored.
use crate::controller::Observation;
use crate::record::Outcome;
use serde::{Deserialize, Serialize};
use std::fs::{File, OpenOptions};
use std::io::Write;
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};

/// One line of the history file, as JSON whose names are those of earlier versions. Times are in seconds since 1970.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum HistoryLine {
    /// A line was printed for the operator.
    #[serde(rename = "Said")]
    Printed {
        /// Time of the event, in seconds since 1970.
        #[serde(rename = "at")]
        time: f64,
        /// Text of the line.
        text: String,
    },
    /// The fleet was observed for one interval.
    #[serde(rename = "Seen")]
    Observed {
        /// Time of the event, in seconds since 1970.
        #[serde(rename = "at")]
        time: f64,
        /// Measurements of the interval.
        #[serde(rename = "seen")]
        observation: Observation,
    },
    /// The rollout ended.
    #[serde(rename = "Ended")]
    Finished {
        /// Time of the event, in seconds since 1970.
        #[serde(rename = "at")]
        time: f64,
        /// Outcome of the rollout.
        #[serde(rename = "how")]
        outcome: Outcome,
    },
}

impl HistoryLine {
    /// Time at which the line was written, in seconds since 1970.
    pub fn time(&self) -> f64 {
        match self {
            HistoryLine::Printed { time, .. }
            | HistoryLine::Observed { time, .. }
            | HistoryLine::Finished { time, .. } => *time,
        }
    }
}

/// Current wall-clock time in seconds since 1970.
pub fn unix_time() -> f64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.unwrap_or_default().as_secs_f64()
}

fn history_path(log: &Path) -> PathBuf {
    let mut name = log.as_os_str().to_owned();
    name.push(".history");
    PathBuf::from(name)
}

/// The open history file; `None` if it could not be opened.
pub struct History(Option<File>);

impl History {
    /// Opens the history file of a log, and creates it if it does not exist.
    pub fn open(log: &Path) -> History {
        let file = OpenOptions::new()
            .create(true)
            .append(true)
            .open(history_path(log));
        History(file.ok())
    }

    /// Appends a line. A line that cannot be written is missing from the page.
    pub fn add(&mut self, line: &HistoryLine) {
        if let (Some(file), Ok(mut text)) = (&mut self.0, serde_json::to_vec(line)) {
            text.push(b'\n');
            let _ = file.write_all(&text);
        }
    }
}

/// Reads the history of a log. Lines that cannot be parsed, such as an incomplete last line, are skipped.
pub fn read(log: &Path) -> Vec<HistoryLine> {
    let text = std::fs::read(history_path(log)).unwrap_or_default();
    text.split(|byte| *byte == b'\n')
        .filter_map(|line| serde_json::from_slice(line).ok())
        .collect()
}
