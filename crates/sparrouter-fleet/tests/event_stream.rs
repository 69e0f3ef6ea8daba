//! Splitting of streams into complete events, independent of how the stream is divided into chunks.
use sparrouter_fleet::proxy::event_stream::EventSplitter;

const STREAM: &str = "id: 1\ndata: one\n\nid: 2\r\ndata: two\r\n\r\n: a comment\n\nid:3\ndata: three\ndata: more\n\n";

/// Returns the complete events for each chunk, the incomplete rest of the stream, and the last event id.
fn split_stream(chunks: &[&[u8]]) -> (Vec<Vec<u8>>, Vec<u8>, Option<String>) {
    let mut events = EventSplitter::default();
    let complete_events = chunks
        .iter()
        .map(|chunk| {
            events
                .push(chunk)
                .expect("an event below the size limit")
                .to_vec()
        })
        .collect();
    let last_id = events.last_id().map(str::to_owned);
    (complete_events, events.take_partial().to_vec(), last_id)
}

#[test]
fn given_a_stream_split_at_any_byte_when_pushed_then_only_complete_unchanged_events_are_returned() {
    let bytes = STREAM.as_bytes();
    let event_ends: Vec<usize> = (1..=bytes.len())
        .filter(|n| bytes[..*n].ends_with(b"\n\n") || bytes[..*n].ends_with(b"\r\n\r\n"))
        .collect();
    for split_at in 0..=bytes.len() {
        let (complete_events, rest, last_id) =
            split_stream(&[&bytes[..split_at], &bytes[split_at..]]);
        assert_eq!(complete_events.concat(), bytes, "split at {split_at}");
        assert!(rest.is_empty());
        let complete_bytes = event_ends
            .iter()
            .copied()
            .filter(|e| *e <= split_at)
            .max()
            .unwrap_or(0);
        assert_eq!(
            complete_events[0],
            &bytes[..complete_bytes],
            "split at {split_at}"
        );
        assert_eq!(last_id.as_deref(), Some("3"));
    }
}

#[test]
fn given_a_stream_in_chunks_of_one_byte_when_pushed_then_no_byte_is_lost_or_changed() {
    let chunks: Vec<&[u8]> = STREAM.as_bytes().chunks(1).collect();
    let (complete_events, rest, last_id) = split_stream(&chunks);
    assert_eq!(complete_events.concat(), STREAM.as_bytes());
    assert!(rest.is_empty());
    assert_eq!(last_id.as_deref(), Some("3"));
}

#[test]
fn given_an_incomplete_event_with_an_id_when_discarded_then_the_last_id_does_not_change() {
    let mut events = EventSplitter::default();
    assert_eq!(
        &events
            .push(b"id: 7\ndata: a\n\nid: 8\ndata: b\n")
            .expect("an event below the size limit")[..],
        b"id: 7\ndata: a\n\n"
    );
    events.discard_partial();
    assert_eq!(events.last_id(), Some("7"));
    assert_eq!(
        &events
            .push(b"id: 8\ndata: c\n\n")
            .expect("an event below the size limit")[..],
        b"id: 8\ndata: c\n\n"
    );
    assert_eq!(events.last_id(), Some("8"));
}

#[test]
fn given_an_incomplete_event_when_the_stream_ends_then_take_partial_returns_it() {
    let mut events = EventSplitter::default();
    assert!(
        events
            .push(b"id: 1\ndata: a")
            .expect("an event below the size limit")
            .is_empty()
    );
    assert_eq!(&events.take_partial()[..], b"id: 1\ndata: a");
    assert!(events.take_partial().is_empty());
    assert_eq!(events.last_id(), None);
}

#[test]
fn given_events_without_ids_when_pushed_then_the_last_id_is_kept() {
    let (_, _, last_id) = split_stream(&[
        b"id: 4\n\n",
        b"data: x\n\n",
        b"id:\ndata: y\n\n",
        b"data: id: 9\n\n",
    ]);
    assert_eq!(last_id.as_deref(), Some("4"));
}

#[test]
fn given_ids_that_are_not_numbers_when_pushed_then_the_last_valid_utf8_id_is_kept() {
    let (_, _, last_id) = split_stream(&[
        b"id:  a-1 \ndata: x\n\n",
        "id: é9\n\n".as_bytes(),
        b"id: \xff\n\n",
    ]);
    assert_eq!(last_id.as_deref(), Some("é9"));
}

#[test]
fn given_an_event_without_an_end_when_pushed_then_it_is_rejected_at_the_size_limit() {
    let mut events = EventSplitter::default();
    let chunk = vec![b'x'; 64 << 10];
    let accepted_chunks = (0..100)
        .take_while(|_| events.push(&chunk).is_some())
        .count();
    assert_eq!(accepted_chunks, 4);
}

#[test]
fn given_a_large_chunk_of_complete_events_when_pushed_then_all_events_are_returned_at_once() {
    let stream = "id: 1\ndata: x\n\n".repeat(100_000);
    let mut events = EventSplitter::default();
    assert_eq!(
        events
            .push(stream.as_bytes())
            .expect("complete events are not limited in size")
            .len(),
        stream.len()
    );
}
