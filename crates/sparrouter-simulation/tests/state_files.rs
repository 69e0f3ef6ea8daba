//! State files of this release, of a newer one and damaged ones: read, or refused with the remedy, never half used.
use fastrand::Rng;
use sparrouter_consensus::lease::Lease;
use sparrouter_consensus::{Record, Settings};
use sparrouter_fleet::control::configuration_state::ConfigurationState;
use sparrouter_fleet::control::disk::{DiskContents, DiskError, DiskWriter, WriteQueue, open_with};
use sparrouter_fleet::platform::defects::{Defect, inject};
use sparrouter_fleet::process::log_buffer::LogBuffer;
use sparrouter_membership::MembershipDelta;
use sparrouter_storage::{Files, SimulatedFiles, Store, frame};
use std::collections::BTreeMap;

/// Of a machine after a first configuration, two changes of it, and weights named; see `record_state_files`.
const RECORDED: [(&str, &[u8]); 7] = [
    ("disk.1", include_bytes!("recorded_state/format-1/disk.1")),
    (
        "part-0.6",
        include_bytes!("recorded_state/format-1/part-0.6"),
    ),
    (
        "part-1.3",
        include_bytes!("recorded_state/format-1/part-1.3"),
    ),
    (
        "part-2.3",
        include_bytes!("recorded_state/format-1/part-2.3"),
    ),
    (
        "part-3.3",
        include_bytes!("recorded_state/format-1/part-3.3"),
    ),
    (
        "part-4.3",
        include_bytes!("recorded_state/format-1/part-4.3"),
    ),
    ("rows.6", include_bytes!("recorded_state/format-1/rows.6")),
];
const CONFIGURATION: &str = "part-0.6";
/// Version of the configuration that was recorded.
const VERSION: u64 = 5;

struct NoWriter;

impl DiskWriter for NoWriter {
    fn start(
        self: Box<Self>,
        _: tokio::sync::mpsc::UnboundedSender<sparrouter_fleet::control::disk::WriteOutcome>,
    ) -> WriteQueue {
        Box::new(|_| ())
    }
}

fn recorded() -> BTreeMap<String, Vec<u8>> {
    let files = RECORDED.iter();
    files.map(|(n, b)| (n.to_string(), b.to_vec())).collect()
}

fn disk_of(files: &BTreeMap<String, Vec<u8>>) -> SimulatedFiles {
    let mut disk = SimulatedFiles::new(1);
    for (name, bytes) in files {
        disk.write_synced(name, bytes).expect("a disk that works");
    }
    disk.sync_folder().expect("a disk that works");
    disk
}

fn files_of(disk: &SimulatedFiles) -> BTreeMap<String, Vec<u8>> {
    let names = disk.list().expect("a disk that works").into_iter();
    let read = |name: String| {
        let bytes = disk.read(&name).expect("a disk that works");
        (name, bytes)
    };
    names.map(read).collect()
}

fn open(disk: &SimulatedFiles) -> Result<DiskContents, DiskError> {
    let mut rng = Rng::with_seed(7);
    let files = || Ok(disk.clone());
    open_with(files, &LogBuffer::collecting(), &mut rng, |_| {
        Box::new(NoWriter)
    })
}

fn recorded_disk() -> u64 {
    open(&disk_of(&recorded()))
        .expect("this release reads it")
        .disk_id
}

fn record(bytes: &[u8]) -> Record {
    Record::decode(bytes, Settings::default().max_message_bytes())
        .expect("a record of this release")
}

/// The file with another record in a complete frame.
fn with_record(name: &str, change: impl FnOnce(&mut Vec<u8>)) -> BTreeMap<String, Vec<u8>> {
    let mut files = recorded();
    let version = name
        .split('.')
        .nth(1)
        .and_then(|v| v.parse().ok())
        .expect("a version");
    let frame::DecodedFile::Record(mut bytes) = frame::read(version, &files[name]) else {
        panic!("{name} is complete");
    };
    change(&mut bytes);
    files.insert(name.to_owned(), frame::write(version, &bytes));
    files
}

/// Whether the folder is refused with the remedy, and stays as it is.
fn is_refused(files: &BTreeMap<String, Vec<u8>>) -> bool {
    let disk = disk_of(files);
    let refused = match open(&disk) {
        Err(why @ DiskError::Newer(_)) => why.to_string().contains("start that release again"),
        _ => false,
    };
    refused && files_of(&disk) == *files
}

/// Whether the folder counts as wiped: another disk, and no record of the old one.
fn joins_as_new(files: &BTreeMap<String, Vec<u8>>) -> bool {
    let disk = disk_of(files);
    let Ok(contents) = open(&disk) else {
        return false;
    };
    let forgotten = contents.records.iter().all(Option::is_none) && contents.rows.is_none();
    contents.disk_id != recorded_disk()
        && forgotten
        && files_of(&disk).keys().all(|n| n == "disk.1")
}

#[test]
fn given_files_that_were_recorded_when_opened_then_all_they_hold_is_there() {
    let contents = open(&disk_of(&recorded())).expect("this release reads it");
    let records: Vec<Record> = contents
        .records
        .iter()
        .flatten()
        .map(|r| record(r))
        .collect();
    assert_eq!(records.len(), 5);
    let votes = records.iter().map(|r| r.accepted.as_ref().expect("a vote"));
    let bodies: Vec<&[u8]> = votes.map(|v| &*v.state.body).collect();
    let state = ConfigurationState::read(bodies[0]).expect("the body of this release");
    assert_eq!(state.version, VERSION);
    assert!(state.text.contains("rota.example"), "{}", state.text);
    assert!(bodies[1..].iter().all(|b| Lease::decode(b).is_some()));
    let rows = contents.rows.expect("rows");
    assert!(sparrouter_codec::read::<MembershipDelta>(&rows).is_some());
}

#[test]
fn given_a_file_of_a_newer_format_when_opened_then_it_is_rejected_and_nothing_is_touched() {
    for (name, _) in RECORDED {
        let mut files = recorded();
        let format = (frame::FORMAT + 1).to_le_bytes();
        files.get_mut(name).expect("a file")[8..10].copy_from_slice(&format);
        assert!(is_refused(&files), "{name}");
    }
}

#[test]
fn given_a_record_of_a_newer_format_when_opened_then_it_is_rejected_and_nothing_is_touched() {
    for (name, _) in RECORDED.iter().filter(|(n, _)| n.starts_with("part-")) {
        let files = with_record(name, |r| r[0] = sparrouter_consensus::codec::FORMAT + 1);
        assert!(is_refused(&files), "{name}");
    }
}

#[test]
fn given_a_folder_of_a_newer_release_that_is_emptied_then_these_tests_find_it() {
    inject(Some(Defect::NewerFolderEmptied));
    let files = with_record(CONFIGURATION, |r| r[0] += 1);
    let refused = is_refused(&files);
    inject(None);
    assert!(!refused);
}

#[test]
fn given_a_damaged_file_when_opened_then_the_machine_joins_as_a_new_one() {
    for (name, bytes) in RECORDED {
        let truncated = [0, 1, frame::HEADER_LENGTH, bytes.len() / 2, bytes.len() - 1];
        let damaged = truncated.iter().map(|&at| bytes[..at].to_vec());
        let flipped = (0..bytes.len()).step_by(7).map(|at| {
            let mut bytes = bytes.to_vec();
            bytes[at] ^= 0x40;
            bytes
        });
        for (count, bytes) in damaged.chain(flipped).enumerate() {
            let mut files = recorded();
            // A format that reads as newer is refused, whatever came of the rest.
            let newer = bytes.get(8..10).is_some_and(|f| f != [1, 0]) && bytes[..8] == frame::MAGIC;
            files.insert(name.to_owned(), bytes);
            if newer {
                assert!(is_refused(&files), "{name}, damage {count}");
            } else {
                assert!(joins_as_new(&files), "{name}, damage {count}");
            }
        }
    }
}

#[test]
fn given_a_record_that_is_none_in_a_complete_file_when_opened_then_the_machine_joins_as_a_new_one()
{
    for (name, _) in RECORDED.iter().filter(|(n, _)| n.starts_with("part-")) {
        let truncated = with_record(name, |r| r.truncate(r.len() - 1));
        assert!(joins_as_new(&truncated), "{name} truncated");
        let older = with_record(name, |r| r[0] = 0);
        assert!(joins_as_new(&older), "{name} of an older format");
    }
}

#[test]
fn given_a_record_that_counts_as_none_under_the_old_disk_then_these_tests_find_it() {
    inject(Some(Defect::RecordForgotten));
    let truncated = with_record(CONFIGURATION, |r| r.truncate(r.len() - 1));
    let joins = joins_as_new(&truncated);
    inject(None);
    assert!(!joins);
}

#[test]
fn given_a_body_that_is_none_when_read_then_it_is_rejected_and_never_half_read() {
    let contents = open(&disk_of(&recorded())).expect("this release reads it");
    let record = record(contents.records[0].as_ref().expect("the configuration's"));
    let body = &record.accepted.expect("a vote").state.body;
    for length in 1..body.len() {
        assert!(
            ConfigurationState::read(&body[..length]).is_err(),
            "{length} bytes"
        );
    }
    let mut longer = body.clone();
    longer.push(0);
    assert!(ConfigurationState::read(&longer).is_err());
}

#[test]
fn given_a_folder_that_cannot_be_read_when_opened_then_it_stays_and_the_process_has_no_disk() {
    let disk = disk_of(&recorded());
    disk.schedule_failure(0, sparrouter_storage::simulated::DiskFailure::NotExecuted);
    let contents = open(&disk).expect("a process without a disk");
    assert!(contents.writer.is_none() && contents.disk_id != recorded_disk());
    disk.clear_failure();
    assert_eq!(files_of(&disk), recorded());
    let _ = Store::open(disk).expect("as it was");
}
