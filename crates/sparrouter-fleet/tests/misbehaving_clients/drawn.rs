//! Several crowds drawn by seed, one after the other and overlapping, between kills, restarts and shutdowns.
use crate::crowd::{Crowd, EMPTY_FIELD, Framing, Pace};
use crate::process::Process;
use crate::{FIELD_BYTES, LARGE_CHUNK, MAX_BODY_BYTES, SHORT_WORK, SMALL_CHUNK, WRITE_BYTES};
use fastrand::Rng;
use std::ops::Range;
use tokio::net::TcpStream;

/// Number of seeds in a run of all tests; `MISBEHAVING_SEEDS` gives another one.
const SEEDS: u64 = 2;
/// First seed.
const FIRST_SEED: u64 = 8_800;
/// Crowds of one seed.
const CROWDS: usize = 5;
/// Most clients of a drawn crowd.
const MAX_MEMBERS: usize = 40;

/// The seeds to play.
pub fn seeds() -> Range<u64> {
    let given = std::env::var("MISBEHAVING_SEEDS").ok();
    let count = given.and_then(|text| text.parse().ok()).unwrap_or(SEEDS);
    FIRST_SEED..FIRST_SEED + count
}

/// Draws a crowd at any of the listeners.
fn draw_crowd(process: &Process, rng: &mut Rng) -> Crowd {
    let machine = &process.machine;
    let targets = [
        (machine.front(), "POST /swap/1"),
        (machine.front(), "POST /notice/1"),
        (machine.front(), "POST /nothing/1"),
        (machine.control(), "PUT /api/config"),
        (machine.control(), "PUT /api/instances/i-9"),
        (machine.readiness(), "GET /api/readiness"),
        (machine.metrics(), "GET /metrics"),
    ];
    let (address, request) = targets[rng.usize(..targets.len())];
    let body_bytes = [4 << 10, 256 << 10, MAX_BODY_BYTES, 2 * MAX_BODY_BYTES][rng.usize(..4)];
    let chunk_bytes = [SMALL_CHUNK, 4 << 10, LARGE_CHUNK][rng.usize(..3)];
    let framings = [Framing::Length(body_bytes), Framing::Chunks(chunk_bytes)];
    let missing_bytes = [0, 1, 1_000][rng.usize(..3)];
    let paces = [
        Pace::Burst,
        Pace::Writes(WRITE_BYTES),
        Pace::Writes(64 << 10),
    ];
    Crowd {
        address,
        members: rng.usize(1..=MAX_MEMBERS),
        request,
        framing: framings[rng.usize(..2)],
        sent_bytes: body_bytes - missing_bytes,
        pace: paces[rng.usize(..3)],
        pipelined_bytes: [0, 0, 128 << 10][rng.usize(..3)],
        ends_chunks: rng.bool(),
        empty_fields: [0, 0, FIELD_BYTES / EMPTY_FIELD.len()][rng.usize(..3)],
    }
}

/// Plays the crowds of one seed.
pub async fn play(seed: u64) {
    let mut rng = Rng::with_seed(seed);
    let mut process = Process::start(SHORT_WORK).await;
    let mut connections: Vec<TcpStream> = Vec::new();
    for _ in 0..CROWDS {
        let crowd = draw_crowd(&process, &mut rng);
        connections.extend(crowd.send().await);
        process.assert_within_bounds();
        process.assert_serves_callers().await;
        process.assert_within_bounds();
        match rng.u8(..6) {
            0 => process.restart(false).await,
            1 => process.restart(true).await,
            2 => connections.clear(),
            // The crowd stays connected beside the next one.
            _ => {}
        }
    }
    process.assert_ends_when_terminated().await;
}
