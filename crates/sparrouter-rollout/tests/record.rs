//! The log on disk: corrupt and truncated logs, the lock, and the format of earlier versions.
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use sparrouter_rollout::baseline::{Baseline, OperationBaseline};
use sparrouter_rollout::record::{self, CommandKind, Entry, Log, OpenedLog, Outcome, RecordError};
use std::path::PathBuf;
use tempfile::TempDir;

fn command_started(command: CommandKind) -> Entry {
    Entry::CommandStarted {
        node: "n0".to_string(),
        command,
    }
}

fn command_ended(command: CommandKind, succeeded: bool) -> Entry {
    Entry::CommandEnded {
        node: "n0".to_string(),
        command,
        succeeded,
    }
}

fn entries() -> Vec<Entry> {
    vec![
        Entry::Plan {
            name: "p".into(),
            digest: 7,
        },
        Entry::Stage { stage: 0 },
        command_started(CommandKind::Change),
        command_ended(CommandKind::Change, true),
    ]
}

/// A log in a temporary folder, which is deleted when this value is dropped.
struct LogFile {
    _folder: TempDir,
    path: PathBuf,
}

impl LogFile {
    fn new() -> LogFile {
        let folder = tempfile::tempdir().unwrap();
        let path = folder.path().join("log");
        LogFile {
            _folder: folder,
            path,
        }
    }

    fn open(&self) -> Result<OpenedLog, RecordError> {
        Log::open(&self.path)
    }
}

/// Truncates the log at every byte: complete entries are read, the incomplete record is removed, and new entries are
/// appended after the complete ones.
#[test]
fn given_a_log_truncated_at_any_byte_when_opened_then_complete_entries_are_recovered() {
    let file = LogFile::new();
    let all = entries();
    let bytes: Vec<u8> = all.iter().flat_map(record::encode).collect();
    let appended = Entry::StagePassed { stage: 9 };
    for length in 0..=bytes.len() {
        for zeros in [0, 40] {
            let mut torn = bytes[..length].to_vec();
            torn.resize(length + zeros, 0);
            std::fs::write(&file.path, &torn).unwrap();
            // A truncated length that is filled with zeros is indistinguishable from a corrupt one: opening fails.
            let Ok(mut opened) = file.open() else {
                continue;
            };
            assert_eq!(opened.entries, all[..opened.entries.len()]);
            opened.log.append(&appended).unwrap();
            let complete = opened.entries.len();
            drop(opened);
            let reopened = file.open().unwrap().entries;
            assert_eq!(
                (reopened.len(), reopened.last()),
                (complete + 1, Some(&appended))
            );
        }
    }
}

#[test]
fn given_a_locked_or_a_corrupt_log_when_opened_then_an_error_is_returned() {
    let file = LogFile::new();
    let mut first = file.open().unwrap();
    entries()
        .iter()
        .for_each(|entry| first.log.append(entry).unwrap());
    assert!(matches!(file.open(), Err(RecordError::Busy { .. })));
    drop(first);
    let intact = std::fs::read(&file.path).unwrap();
    let first_record = record::encode(&entries()[0]).len();
    for offset in 0..first_record {
        let mut corrupt = intact.clone();
        corrupt[offset] ^= 0x20;
        std::fs::write(&file.path, corrupt).unwrap();
        assert!(
            matches!(file.open(), Err(RecordError::Corrupt { offset: 0, .. })),
            "byte {offset}"
        );
    }
}

/// Golden test: entries written by earlier versions must be parsed, and serialized to the same text.
#[test]
#[allow(
    clippy::too_many_lines,
    reason = "one table of all entries and their texts"
)]
fn given_entries_of_earlier_versions_when_read_and_written_then_the_text_is_unchanged() {
    let baseline = Baseline {
        operations: vec![OperationBaseline {
            name: "get".into(),
            slow_bucket: 30,
        }],
        means: vec![vec![0.5]],
        lost: 0.25,
        ..Baseline::default()
    };
    let finished = |outcome| Entry::Finished { outcome };
    for (entry, text) in [
        (
            Entry::Plan {
                name: "p".into(),
                digest: 7,
            },
            r#"{"is":"plan","name":"p","digest":7}"#,
        ),
        (
            Entry::Baseline { baseline },
            r#"{"is":"past","past":{"operations":[["get",30]],"forwards":0.0,"fetches":0.0,"opened":0.0,"cpu_ms":0.0,"memory_kib":0.0,"descriptors":0.0,"means":[[0.5]],"lost":0.25}}"#,
        ),
        (Entry::Stage { stage: 1 }, r#"{"is":"stage","stage":1}"#),
        (
            command_started(CommandKind::Change),
            r#"{"is":"begin","node":"n0","doing":"change"}"#,
        ),
        (
            command_started(CommandKind::Restart),
            r#"{"is":"begin","node":"n0","doing":"restart"}"#,
        ),
        (
            command_ended(CommandKind::RollBack, false),
            r#"{"is":"end","node":"n0","doing":"back","ok":false}"#,
        ),
        (
            Entry::StagePassed { stage: 1 },
            r#"{"is":"passed","stage":1}"#,
        ),
        (
            Entry::RollbackStarted { reason: "r".into() },
            r#"{"is":"back","why":"r"}"#,
        ),
        (
            finished(Outcome::Completed),
            r#"{"is":"done","how":"through"}"#,
        ),
        (
            finished(Outcome::RolledBack("r".into())),
            r#"{"is":"done","how":{"back":"r"}}"#,
        ),
        (
            finished(Outcome::LeftToOperator("r".into())),
            r#"{"is":"done","how":{"left":"r"}}"#,
        ),
    ] {
        assert_eq!(serde_json::to_string(&entry).unwrap(), text);
        assert_eq!(serde_json::from_str::<Entry>(text).unwrap(), entry);
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        rng_seed: RngSeed::Fixed(30),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn given_random_bytes_when_decoded_as_a_log_then_nothing_panics(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = record::decode(&bytes, "x");
    }
}
