//! The memory for requests: what is counted, who is refused, who is evicted, in virtual time.
use bytes::BytesMut;
use sparrouter_fleet::platform::memory::{
    MemoryExhausted, MemoryPool, RequestMemory, Reservation, SMALL_REQUEST_BYTES,
};
use sparrouter_fleet::platform::request::{
    HeadLimits, ReadLimits, Request, RequestReadError, RequestReader,
};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncWriteExt, DuplexStream, duplex};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, advance, sleep};

const POOL_BYTES: usize = 4 << 20;
/// What large requests may hold together: a quarter is kept for small ones.
const LARGE_BYTES: usize = 3 << 20;
/// Longer than a request may make no progress before it can be evicted.
const LONG_STALL: Duration = Duration::from_millis(1_100);
const LIMITS: ReadLimits = ReadLimits {
    head: HeadLimits {
        max_bytes: 16 << 10,
        timeout: Duration::from_secs(3),
    },
    max_body_bytes: 4 << 20,
};

fn pool() -> Rc<MemoryPool> {
    MemoryPool::new("test", POOL_BYTES)
}

/// A request that holds this many bytes.
fn request_of(pool: &Rc<MemoryPool>, bytes: usize) -> Reservation {
    let mut reservation = pool.reserve();
    assert!(reservation.grow_now(bytes), "{bytes} bytes are available");
    reservation
}

#[tokio::test(start_paused = true)]
async fn given_a_reservation_that_is_dropped_then_its_bytes_are_available_again() {
    let pool = pool();
    let mut first = request_of(&pool, LARGE_BYTES);
    assert_eq!(first.grow(1).await, Err(MemoryExhausted));
    assert_eq!((pool.reserved_bytes(), pool.refused()), (LARGE_BYTES, 1));
    drop(first);
    assert_eq!((pool.reserved_bytes(), pool.peak_bytes()), (0, LARGE_BYTES));
    request_of(&pool, LARGE_BYTES);
}

#[tokio::test(start_paused = true)]
async fn given_large_requests_that_hold_their_part_when_small_ones_come_then_they_get_memory() {
    let pool = pool();
    let _large = request_of(&pool, LARGE_BYTES);
    let small: Vec<Reservation> = (0..(POOL_BYTES - LARGE_BYTES) / SMALL_REQUEST_BYTES)
        .map(|_| request_of(&pool, SMALL_REQUEST_BYTES))
        .collect();
    assert_eq!(pool.reserved_bytes(), POOL_BYTES);
    assert!(!pool.reserve().grow_now(1), "the pool is a bound for all");
    drop(small);
}

#[tokio::test(start_paused = true)]
async fn given_small_requests_that_fill_the_pool_when_a_large_one_comes_then_it_is_refused() {
    let pool = pool();
    let _small: Vec<Reservation> = (0..LARGE_BYTES / SMALL_REQUEST_BYTES)
        .map(|_| request_of(&pool, SMALL_REQUEST_BYTES))
        .collect();
    assert!(!pool.reserve().grow_now(SMALL_REQUEST_BYTES + 1));
    assert!(pool.reserve().grow_now(SMALL_REQUEST_BYTES));
}

#[tokio::test(start_paused = true)]
async fn given_bytes_that_requests_can_do_without_then_they_leave_half_of_the_pool_to_others() {
    let pool = pool();
    let mut first = pool.reserve();
    assert!(first.grow_optional(POOL_BYTES / 2));
    assert!(!first.grow_optional(1));
    assert!(pool.reserve().grow_now(LARGE_BYTES - POOL_BYTES / 2));
    drop(first);
    assert!(pool.reserve().grow_optional(1));
}

/// Runs a request that is arriving until it is evicted; its memory is then given back.
fn arrive_and_wait_for_eviction(reservation: Reservation) -> tokio::task::JoinHandle<()> {
    spawn_local(async move { reservation.evicted().await })
}

#[tokio::test(start_paused = true)]
async fn given_requests_that_stopped_arriving_when_memory_is_needed_then_the_first_to_stop_is_evicted()
 {
    LocalSet::new()
        .run_until(async {
            let pool = pool();
            let first = arrive_and_wait_for_eviction(request_of(&pool, LARGE_BYTES / 2));
            advance(Duration::from_millis(100)).await;
            let second = arrive_and_wait_for_eviction(request_of(&pool, LARGE_BYTES / 2));
            advance(LONG_STALL).await;
            let mut newcomer = pool.reserve();
            assert_eq!(newcomer.grow(LARGE_BYTES / 2).await, Ok(()));
            assert!(first.is_finished());
            assert!(!second.is_finished());
            assert_eq!((pool.evicted(), pool.refused()), (1, 0));
        })
        .await;
}

#[tokio::test(start_paused = true)]
async fn given_requests_that_make_progress_when_memory_is_needed_then_the_newcomer_is_refused() {
    LocalSet::new()
        .run_until(async {
            let pool = pool();
            let arriving = request_of(&pool, LARGE_BYTES);
            advance(LONG_STALL).await;
            arriving.record_arrival(4 << 10);
            advance(LONG_STALL / 2).await;
            let task = arrive_and_wait_for_eviction(arriving);
            assert_eq!(pool.reserve().grow(LARGE_BYTES).await, Err(MemoryExhausted));
            assert_eq!(
                pool.reserve().check_available(LARGE_BYTES),
                Err(MemoryExhausted)
            );
            assert!(!task.is_finished());
        })
        .await;
}

#[tokio::test(start_paused = true)]
async fn given_a_request_to_which_single_bytes_arrive_then_it_counts_as_stalled() {
    LocalSet::new()
        .run_until(async {
            let pool = pool();
            let arriving = request_of(&pool, LARGE_BYTES);
            for _ in 0..10 {
                advance(LONG_STALL / 10).await;
                arriving.record_arrival(1);
            }
            let task = arrive_and_wait_for_eviction(arriving);
            assert_eq!(pool.reserve().grow(LARGE_BYTES).await, Ok(()));
            assert!(task.is_finished());
        })
        .await;
}

#[tokio::test(start_paused = true)]
async fn given_a_complete_request_when_memory_is_needed_then_it_is_not_evicted() {
    let pool = pool();
    let complete = request_of(&pool, LARGE_BYTES);
    complete.complete();
    advance(LONG_STALL).await;
    assert_eq!(pool.reserve().grow(LARGE_BYTES).await, Err(MemoryExhausted));
    assert_eq!((pool.evicted(), pool.reserved_bytes()), (0, LARGE_BYTES));
}

/// Reads one request in its own task.
async fn read(pool: Rc<MemoryPool>, mut stream: DuplexStream) -> Result<Request, RequestReadError> {
    let mut reader = RequestReader {
        stream: &mut stream,
        buffer: &mut BytesMut::new(),
        reservation: &mut pool.reserve(),
        deadline: Instant::now() + Duration::from_secs(12),
    };
    reader.read(LIMITS).await
}

#[tokio::test(start_paused = true)]
async fn given_bodies_that_stopped_short_when_another_large_body_comes_then_it_is_read_and_they_are_refused()
 {
    LocalSet::new()
        .run_until(async {
            let pool = pool();
            let head = |length| format!("POST / HTTP/1.1\r\nContent-Length: {length}\r\n\r\n");
            let length = LARGE_BYTES / 2;
            let mut stalled = Vec::new();
            for _ in 0..2 {
                let (mut client, server) = duplex(1 << 20);
                stalled.push(spawn_local(read(pool.clone(), server)));
                let sent = [head(length).into_bytes(), vec![b'x'; length - (128 << 10)]].concat();
                client.write_all(&sent).await.expect("it is read");
                spawn_local(async move {
                    sleep(Duration::from_secs(60)).await;
                    drop(client);
                });
            }
            sleep(LONG_STALL).await;
            let (mut client, server) = duplex(1 << 20);
            let reading = spawn_local(read(pool.clone(), server));
            let sent = [head(length).into_bytes(), vec![b'y'; length]].concat();
            client.write_all(&sent).await.expect("it is read");
            let request = reading.await.expect("no panic").expect("a request");
            assert_eq!(request.body.contiguous(), vec![b'y'; length]);
            for task in stalled.drain(..1) {
                let error = task.await.expect("no panic").expect_err("it is evicted");
                assert_eq!(error, RequestReadError::MemoryExhausted);
            }
        })
        .await;
}

#[tokio::test(start_paused = true)]
async fn given_a_body_in_single_byte_chunks_when_read_then_it_holds_little_more_than_its_bytes() {
    const BODY_BYTES: usize = 256 << 10;
    LocalSet::new()
        .run_until(async {
            let pool = pool();
            let (mut client, server) = duplex(1 << 20);
            let reading = spawn_local(read(pool.clone(), server));
            let chunks = b"1\r\nx\r\n".repeat(BODY_BYTES);
            let head = b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
            let sent = [head, chunks, b"0\r\n\r\n".to_vec()].concat();
            client.write_all(&sent).await.expect("it is read");
            let request = reading.await.expect("no panic").expect("a request");
            assert_eq!(request.body.len(), BODY_BYTES);
            assert_eq!(request.body.contiguous(), vec![b'x'; BODY_BYTES]);
            let bound = BODY_BYTES + 2 * SMALL_REQUEST_BYTES;
            assert!(pool.peak_bytes() <= bound, "{} bytes", pool.peak_bytes());
        })
        .await;
}

#[tokio::test(start_paused = true)]
async fn given_a_length_that_is_only_announced_then_little_memory_is_held() {
    LocalSet::new()
        .run_until(async {
            let pool = pool();
            let (mut client, server) = duplex(1 << 20);
            spawn_local(read(pool.clone(), server));
            let head = "POST / HTTP/1.1\r\nContent-Length: 3000000\r\n\r\nx";
            client.write_all(head.as_bytes()).await.expect("it is read");
            sleep(Duration::from_millis(10)).await;
            assert!(
                pool.reserved_bytes() <= 16 << 10,
                "{}",
                pool.reserved_bytes()
            );
        })
        .await;
}

#[test]
fn given_the_memory_of_a_machine_then_requests_may_hold_less_than_half_of_it() {
    let memory = RequestMemory::for_machine(260);
    assert_eq!(memory.clients.limit_bytes, 78_000_000);
    assert_eq!(memory.control.limit_bytes, 26_000_000);
    let small = RequestMemory::for_machine(1);
    let longest_body = 4 << 20;
    let longest_configuration = 9 << 20;
    assert!(small.clients.reserve().grow_now(longest_body));
    assert!(small.control.reserve().grow_now(longest_configuration));
}
