//! Clients that do not behave, against a real process on loopback: crowds that send large bodies, and stay connected.
//! The process must live, stay within the memory and the descriptors of its machine, and serve ordinary callers. The
//! tests check no times and no share of served requests; they run one at a time.
mod crowd;
mod drawn;
mod process;

use crowd::{Crowd, EMPTY_FIELD, Framing, Pace, read_status};
use process::Process;
use sparrouter_fleet::client::ClientError;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;
use tokio::runtime::Builder;
use tokio::task::LocalSet;

const PROGRAM: &str = env!("CARGO_BIN_EXE_sparrouter");
/// Clients of a crowd whose bodies together are 2.5 times the memory of the machine.
const FRONT_MEMBERS: usize = 40;
/// `max_body_bytes` of the lab's configuration.
const MAX_BODY_BYTES: usize = 4 << 20;
/// Operators of a crowd whose configurations together are three times the memory of the machine.
const CONTROL_MEMBERS: usize = 24;
/// Longest configuration that a process accepts.
const MAX_CONFIG_BYTES: usize = 8 << 20;
/// Bytes that each client of a crowd sends if its body is not bounded.
const ENDLESS_BYTES: usize = 16 << 20;
/// `max_header_bytes` of the lab's configuration.
const MAX_HEADER_BYTES: usize = 16 << 10;
/// Bytes of a head that its necessary fields leave to others.
const FIELD_BYTES: usize = MAX_HEADER_BYTES - 512;
/// Bytes of a body that is small.
const SMALL_BODY_BYTES: usize = 100;
/// Clients of a crowd whose heads are as long as the limit allows.
const HEAD_MEMBERS: usize = 300;
/// Clients of a crowd whose bytes come faster than they are read.
const FAST_MEMBERS: usize = 380;
/// Clients of a crowd that sends more behind each request.
const PIPELINING_MEMBERS: usize = 300;
/// Bytes that they send behind it, together more than the memory.
const PIPELINED_BYTES: usize = 512 << 10;
/// Bytes of a large chunk.
const LARGE_CHUNK: usize = 256 << 10;
/// Bytes of a very small chunk.
const SMALL_CHUNK: usize = 16;
/// Bytes of a piece of a body that is sent piece by piece.
const WRITE_BYTES: usize = 16 << 10;
/// Longest body that the lab's model server accepts.
const SERVER_BODY_BYTES: usize = 1 << 20;
/// Clients of a crowd whose bodies, of a size that the lab's model server accepts, are 2.5 times the memory.
const RUNNING_MEMBERS: usize = 160;
/// Time of the model server for a request of a crowd that is served.
const LONG_WORK: Duration = Duration::from_secs(4);
/// Time of the model server for an ordinary request.
const SHORT_WORK: Duration = Duration::from_millis(20);

/// Only one test runs at a time.
static TEST_LOCK: Mutex<()> = Mutex::new(());

/// Runs a test with real processes, one at a time.
fn run(test: impl Future<Output = ()>) {
    // A test that failed before has ended its process.
    let _only = TEST_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    let runtime = Builder::new_current_thread().enable_all().build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), test);
}

/// Starts a process, sends the crowd's requests, and checks the process while the crowd is still connected.
fn check(work: Duration, crowd: impl FnOnce(&Process) -> Crowd) {
    run(async {
        let process = Process::start(work).await;
        let connections = crowd(&process).send().await;
        process.assert_within_bounds();
        process.assert_serves_callers().await;
        process.assert_within_bounds();
        drop(connections);
        process.assert_ends_when_terminated().await;
    });
}

/// Guards against bounds that hold for one crowd and not for several, drawn by seed, that overlap each other, kills,
/// restarts and shutdowns.
#[test]
fn given_drawn_crowds_between_kills_and_shutdowns_then_memory_is_bounded_and_callers_served() {
    for seed in drawn::seeds() {
        eprintln!("seed {seed}");
        run(drawn::play(seed));
    }
}

/// A crowd on the listener for clients that sends bodies which stop just short of their end.
fn front_crowd(process: &Process, framing: Framing, pace: Pace) -> Crowd {
    let sent_bytes = match framing {
        Framing::Length(bytes) => bytes - 1,
        Framing::Chunks(_) => MAX_BODY_BYTES,
    };
    Crowd {
        address: process.machine.front(),
        members: FRONT_MEMBERS,
        request: "POST /swap/1",
        framing,
        sent_bytes,
        pace,
        pipelined_bytes: 0,
        ends_chunks: false,
        empty_fields: 0,
    }
}

/// A crowd on the listener for clients that sends bodies over the limit.
fn oversized_crowd(process: &Process, framing: Framing) -> Crowd {
    Crowd {
        sent_bytes: ENDLESS_BYTES,
        ..front_crowd(process, framing, Pace::Burst)
    }
}

/// Guards against a process that runs out of memory by bodies of legal size that are never completed.
#[test]
fn given_many_large_bodies_that_stop_short_of_their_end_then_memory_is_bounded_and_callers_served()
{
    let framing = Framing::Length(MAX_BODY_BYTES);
    check(SHORT_WORK, |process| {
        front_crowd(process, framing, Pace::Burst)
    });
}

/// Guards against the same where the bodies grow side by side.
#[test]
fn given_many_large_bodies_sent_in_pieces_then_memory_is_bounded_and_callers_served() {
    let framing = Framing::Length(MAX_BODY_BYTES);
    check(SHORT_WORK, |process| {
        front_crowd(process, framing, Pace::Writes(WRITE_BYTES))
    });
}

/// Guards against a body that is counted by its chunks' size lines, or copied while it is decoded.
#[test]
fn given_many_chunked_bodies_in_large_chunks_then_memory_is_bounded_and_callers_served() {
    let framing = Framing::Chunks(LARGE_CHUNK);
    check(SHORT_WORK, |process| {
        front_crowd(process, framing, Pace::Burst)
    });
}

/// Guards against memory that each chunk takes beside its data.
#[test]
fn given_many_chunked_bodies_in_very_small_chunks_then_memory_is_bounded_and_callers_served() {
    let framing = Framing::Chunks(SMALL_CHUNK);
    check(SHORT_WORK, |process| {
        front_crowd(process, framing, Pace::Burst)
    });
}

/// Guards against memory for bytes that follow a request which was refused by its length.
#[test]
fn given_many_bodies_far_over_the_announced_limit_then_memory_is_bounded_and_callers_served() {
    let framing = Framing::Length(ENDLESS_BYTES);
    check(SHORT_WORK, |process| oversized_crowd(process, framing));
}

/// Guards against memory for a body that turns out to be too long only while it is read.
#[test]
fn given_many_chunked_bodies_far_over_the_limit_then_memory_is_bounded_and_callers_served() {
    let framing = Framing::Chunks(LARGE_CHUNK);
    check(SHORT_WORK, |process| oversized_crowd(process, framing));
}

/// Guards against complete bodies that are kept while their requests run.
#[test]
fn given_many_complete_bodies_while_servers_take_long_then_memory_is_bounded_and_callers_served() {
    check(LONG_WORK, |process| Crowd {
        members: RUNNING_MEMBERS,
        sent_bytes: SERVER_BODY_BYTES,
        ..front_crowd(process, Framing::Length(SERVER_BODY_BYTES), Pace::Burst)
    });
}

/// Guards against memory for bytes that arrive behind a request while it is served.
#[test]
fn given_many_clients_that_send_on_behind_their_request_then_memory_is_bounded_and_callers_served()
{
    run(async {
        let process = Process::start(LONG_WORK).await;
        let crowd = Crowd {
            members: PIPELINING_MEMBERS,
            sent_bytes: SMALL_BODY_BYTES,
            pipelined_bytes: PIPELINED_BYTES,
            ..front_crowd(&process, Framing::Length(SMALL_BODY_BYTES), Pace::Burst)
        };
        let connections = crowd.send().await;
        process.assert_within_bounds();
        // The crowd's requests are complete and wait for the only server: until it has worked on them, others get
        // 503 with Retry-After, which is allowed.
        process.wait_for_server().await;
        process.assert_serves_callers().await;
        process.assert_within_bounds();
        drop(connections);
        process.assert_ends_when_terminated().await;
    });
}

/// Guards against bytes that arrive faster than they are read and wait in the buffers of the connections.
#[test]
fn given_many_clients_that_send_faster_than_is_read_then_memory_is_bounded_and_callers_served() {
    check(SHORT_WORK, |process| Crowd {
        members: FAST_MEMBERS,
        ..front_crowd(process, Framing::Chunks(SMALL_CHUNK), Pace::Burst)
    });
}

/// Guards against memory that each header field takes beside its bytes.
#[test]
fn given_many_requests_with_thousands_of_header_fields_then_memory_is_bounded_and_callers_served() {
    check(SHORT_WORK, |process| Crowd {
        members: HEAD_MEMBERS,
        empty_fields: FIELD_BYTES / EMPTY_FIELD.len(),
        ..front_crowd(process, Framing::Length(SMALL_BODY_BYTES), Pace::Burst)
    });
}

/// A crowd on one of the listeners for operators, servers, the platform and scrapers.
fn control_crowd(address: SocketAddr, request: &'static str) -> Crowd {
    Crowd {
        address,
        members: CONTROL_MEMBERS,
        request,
        framing: Framing::Length(MAX_CONFIG_BYTES),
        sent_bytes: MAX_CONFIG_BYTES - 1,
        pace: Pace::Burst,
        pipelined_bytes: 0,
        ends_chunks: false,
        empty_fields: 0,
    }
}

/// Guards against a process that runs out of memory by configurations which are never completed.
#[test]
fn given_many_large_configurations_that_stop_short_then_memory_is_bounded_and_callers_served() {
    check(SHORT_WORK, |process| {
        control_crowd(process.machine.control(), "PUT /api/config")
    });
}

/// Guards against bodies that are read before it is known that nothing is served under their path.
#[test]
fn given_many_large_bodies_for_a_path_without_one_then_memory_is_bounded_and_callers_served() {
    check(SHORT_WORK, |process| {
        control_crowd(process.machine.control(), "POST /api/nothing")
    });
}

/// Guards against large bodies on the listener for readiness checks, where no request has one.
#[test]
fn given_many_large_bodies_at_the_readiness_listener_then_memory_is_bounded_and_callers_served() {
    check(SHORT_WORK, |process| {
        control_crowd(process.machine.readiness(), "GET /api/readiness")
    });
}

/// Guards against large bodies on the listener for scrapers, where no request has one.
#[test]
fn given_many_large_bodies_at_the_metrics_listener_then_memory_is_bounded_and_callers_served() {
    check(SHORT_WORK, |process| {
        control_crowd(process.machine.metrics(), "GET /metrics")
    });
}

/// A crowd on one of the listeners for operators, servers, the platform and scrapers that announces its bodies in another
/// way, or sends more than a handler takes.
fn other_control_crowd(
    listener: (SocketAddr, &'static str),
    framing: Framing,
    pace: Pace,
) -> Crowd {
    let sent_bytes = match framing {
        Framing::Length(bytes) => (bytes - 1).min(ENDLESS_BYTES),
        Framing::Chunks(_) => MAX_CONFIG_BYTES,
    };
    Crowd {
        framing,
        sent_bytes,
        pace,
        ..control_crowd(listener.0, listener.1)
    }
}

/// Defines a test for each kind of crowd at one listener. The first kind of all, a body that stops short, has tests of its
/// own above.
macro_rules! crowds_at {
    ($module:ident, $listener:expr) => {
        mod $module {
            use super::*;

            fn check_crowd(framing: Framing, pace: Pace, sent_bytes: Option<usize>) {
                check(SHORT_WORK, |process| {
                    let listener: fn(&Process) -> (SocketAddr, &'static str) = $listener;
                    let crowd = other_control_crowd(listener(process), framing, pace);
                    let sent_bytes = sent_bytes.unwrap_or(crowd.sent_bytes);
                    Crowd {
                        sent_bytes,
                        ..crowd
                    }
                });
            }

            #[test]
            fn given_large_bodies_in_small_writes_then_memory_is_bounded_and_callers_served() {
                check_crowd(
                    Framing::Length(MAX_CONFIG_BYTES),
                    Pace::Writes(WRITE_BYTES),
                    None,
                );
            }

            #[test]
            fn given_bodies_in_large_chunks_then_memory_is_bounded_and_callers_served() {
                check_crowd(Framing::Chunks(LARGE_CHUNK), Pace::Burst, None);
            }

            #[test]
            fn given_bodies_in_very_small_chunks_then_memory_is_bounded_and_callers_served() {
                check_crowd(Framing::Chunks(SMALL_CHUNK), Pace::Burst, None);
            }

            #[test]
            fn given_bodies_announced_far_over_the_limit_then_memory_is_bounded_and_callers_served()
            {
                check_crowd(Framing::Length(ENDLESS_BYTES), Pace::Burst, None);
            }

            #[test]
            fn given_chunked_bodies_far_over_the_limit_then_memory_is_bounded_and_callers_served() {
                check_crowd(
                    Framing::Chunks(LARGE_CHUNK),
                    Pace::Burst,
                    Some(ENDLESS_BYTES),
                );
            }
        }
    };
}

crowds_at!(control_listener, |process| {
    (process.machine.control(), "PUT /api/config")
});
crowds_at!(readiness_listener, |process| {
    (process.machine.readiness(), "GET /api/readiness")
});
crowds_at!(metrics_listener, |process| {
    (process.machine.metrics(), "GET /metrics")
});

/// Guards against a bound that refuses a single client inside the limits.
#[test]
fn given_a_single_body_of_the_largest_legal_size_in_calm_then_it_is_served() {
    for framing in [
        Framing::Length(MAX_BODY_BYTES),
        Framing::Chunks(LARGE_CHUNK),
        Framing::Chunks(SMALL_CHUNK),
    ] {
        run(async {
            let process = Process::start(SHORT_WORK).await;
            let single = Crowd {
                members: 1,
                sent_bytes: MAX_BODY_BYTES,
                ends_chunks: true,
                ..front_crowd(&process, framing, Pace::Burst)
            };
            let mut connections = single.send().await;
            let status = read_status(&mut connections[0]).await;
            assert_eq!(status, Some(200), "{framing:?}");
        });
    }
}

/// Guards against a bound that refuses a single operator inside the limits, and against a change that is refused with 503,
/// and sent again for ever, as its encoding has a few bytes beside the configuration.
#[test]
fn given_a_single_configuration_of_the_largest_legal_size_in_calm_then_it_is_accepted() {
    run(async {
        let process = Process::start(SHORT_WORK).await;
        let put = process.put_configuration(MAX_CONFIG_BYTES).await;
        assert!(put.is_ok(), "{put:?}");
    });
}

/// Guards against a configuration over the limit that is not refused for good.
#[test]
fn given_a_configuration_one_byte_over_the_limit_then_it_is_refused_with_413() {
    run(async {
        let process = Process::start(SHORT_WORK).await;
        let put = process.put_configuration(MAX_CONFIG_BYTES + 1).await;
        let is_final = matches!(put, Err(ClientError::Refused { status: 413, .. }));
        assert!(is_final, "{put:?}");
    });
}
