//! A real process whose data directory is slow to open: a named pipe in place of a file blocks the read until the test
//! writes into the pipe, independent of the machine's load.
use sparrouter_fleet::client::call::{Call, Outcome, Reply, send_once};
use sparrouter_fleet::platform::net::Sockets;
use sparrouter_fleet_lab::addresses::Addresses;
use sparrouter_fleet_lab::machine::Machine;
use sparrouter_fleet_lab::operator::Operator;
use sparrouter_storage::frame;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::Duration;
use tokio::runtime::Builder;
use tokio::task::LocalSet;
use tokio::time::{Instant, sleep};

const PROGRAM: &str = env!("CARGO_BIN_EXE_sparrouter");
const TEST_TIMEOUT: Duration = Duration::from_secs(20);
const GRACE_PERIOD: Duration = Duration::from_secs(2);
/// How long the disk stalls.
const STALL: Duration = Duration::from_secs(3);

fn block_on<T>(test: impl Future<Output = T>) -> T {
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, test)
}

/// A directory in memory if the system has such a file system, so that only the pipe delays the disk.
fn directory_in_memory() -> tempfile::TempDir {
    let in_memory = tempfile::tempdir_in("/dev/shm");
    in_memory.unwrap_or_else(|_| tempfile::tempdir().expect("a directory"))
}

/// A machine whose record of the disk's id is a pipe, which has no writer yet.
fn machine_with_stalled_disk(directory: &Path) -> (Machine, PathBuf) {
    let addresses = Addresses::find(1, &mut fastrand::Rng::new()).expect("free ports");
    let program = Path::new(PROGRAM);
    let machine = Machine::new(0, true, 1, addresses, directory, program, GRACE_PERIOD);
    let machine = machine.expect("settings are written");
    let pipe = directory.join(&machine.name).join("disk.1");
    let mkfifo = Command::new("mkfifo").arg(&pipe).status();
    assert!(
        mkfifo.expect("mkfifo runs").success(),
        "mkfifo creates the pipe"
    );
    (machine, pipe)
}

async fn get(path: &str, address: SocketAddr) -> Outcome {
    let call = Call::get(path);
    send_once(&Sockets, &call, &call.path, address).await
}

/// The reply of the process that listens on an address; waits until one listens.
async fn reply_from(path: &str, address: SocketAddr) -> Reply {
    let deadline = Instant::now() + TEST_TIMEOUT;
    loop {
        match get(path, address).await {
            Outcome::Replied(reply) => return reply,
            Outcome::NotConnected(_) if Instant::now() < deadline => {
                sleep(Duration::from_millis(20)).await;
            }
            outcome => panic!("{path} at {address}: {outcome:?}"),
        }
    }
}

// Guards against calls that get no reply while the disk is opened, and against serving before the disk is read.
#[test]
fn given_a_stalled_disk_when_a_process_starts_then_calls_get_503_and_no_client_is_served_until_the_disk_is_read()
 {
    let directory = directory_in_memory();
    let (machine, pipe) = machine_with_stalled_disk(directory.path());
    block_on(async {
        machine.start().expect("started");
        let began = Instant::now();
        while began.elapsed() < STALL {
            let reply = reply_from("/api/config", machine.control()).await;
            assert_eq!(reply.status, 503, "{reply:?}");
            assert!(reply.body.contains("check the disk"), "{reply:?}");
            let reply = reply_from("/api/readiness", machine.readiness()).await;
            assert_eq!(reply.status, 503, "{reply:?}");
            let outcome = get("/assign/1", machine.front()).await;
            assert!(matches!(outcome, Outcome::NotConnected(_)), "{outcome:?}");
        }
        std::fs::write(&pipe, frame::write(1, &7u64.to_le_bytes()))
            .expect("the process reads the pipe");
        let operator = Operator::new(vec![machine.control()], TEST_TIMEOUT).expect("an operator");
        let put = operator.put_first(1).await;
        assert!(put.is_ok(), "{put:?}: {}", machine.log_text());
        assert!(
            pipe.exists(),
            "the record of the disk's id is kept: {}",
            machine.log_text()
        );
        assert!(machine.terminate().await, "{}", machine.log_text());
    });
}

// Guards against a process that ends too late because its disk is not open yet.
#[test]
fn given_a_stalled_disk_when_the_process_is_terminated_then_it_ends_within_the_grace_period() {
    let directory = directory_in_memory();
    let (machine, _pipe) = machine_with_stalled_disk(directory.path());
    block_on(async {
        machine.start().expect("started");
        reply_from("/api/readiness", machine.readiness()).await;
        assert!(machine.terminate().await, "{}", machine.log_text());
    });
}
