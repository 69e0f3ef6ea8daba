//! Streams cut into complete events, wherever their bytes are cut.
use sparrouter_fleet::proxy::event_stream::EventSplitter;

const STREAM: &str = "id: 1\ndata: one\n\nid: 2\r\ndata: two\r\n\r\n: a comment\n\nid:3\ndata: three\ndata: more\n\n";

/// What goes out of chunks, and what is held back at the end.
fn split_stream(chunks: &[&[u8]]) -> (Vec<Vec<u8>>, Vec<u8>, Option<String>) {
    let mut events = EventSplitter::default();
    let out = chunks
        .iter()
        .map(|p| events.push(p).expect("short").to_vec())
        .collect();
    let last = events.last_id().map(str::to_owned);
    (out, events.take_partial().to_vec(), last)
}

#[test]
fn given_a_stream_cut_at_any_byte_when_passed_then_only_whole_events_go_out_and_none_is_changed() {
    let bytes = STREAM.as_bytes();
    let ends: Vec<usize> = (1..=bytes.len())
        .filter(|n| bytes[..*n].ends_with(b"\n\n") || bytes[..*n].ends_with(b"\r\n\r\n"))
        .collect();
    for cut in 0..=bytes.len() {
        let (out, rest, last) = split_stream(&[&bytes[..cut], &bytes[cut..]]);
        assert_eq!(out.concat(), bytes, "cut at {cut}");
        assert!(rest.is_empty());
        let complete = ends
            .iter()
            .copied()
            .filter(|e| *e <= cut)
            .max()
            .unwrap_or(0);
        assert_eq!(out[0], &bytes[..complete], "cut at {cut}");
        assert_eq!(last.as_deref(), Some("3"));
    }
}

#[test]
fn given_a_stream_byte_by_byte_when_passed_then_nothing_is_lost_or_changed() {
    let chunks: Vec<&[u8]> = STREAM.as_bytes().chunks(1).collect();
    let (out, rest, last) = split_stream(&chunks);
    assert_eq!(out.concat(), STREAM.as_bytes());
    assert!(rest.is_empty());
    assert_eq!(last.as_deref(), Some("3"));
}

#[test]
fn given_half_an_event_when_the_stream_is_cut_then_it_is_dropped_and_the_last_whole_id_stands() {
    let mut events = EventSplitter::default();
    assert_eq!(
        &events
            .push(b"id: 7\ndata: a\n\nid: 8\ndata: b\n")
            .expect("short")[..],
        b"id: 7\ndata: a\n\n"
    );
    events.discard_partial();
    assert_eq!(events.last_id(), Some("7"));
    assert_eq!(
        &events.push(b"id: 8\ndata: c\n\n").expect("short")[..],
        b"id: 8\ndata: c\n\n"
    );
    assert_eq!(events.last_id(), Some("8"));
}

#[test]
fn given_half_an_event_when_the_stream_ends_then_it_is_the_rest() {
    let mut events = EventSplitter::default();
    assert!(events.push(b"id: 1\ndata: a").expect("short").is_empty());
    assert_eq!(&events.take_partial()[..], b"id: 1\ndata: a");
    assert!(events.take_partial().is_empty());
    assert_eq!(events.last_id(), None);
}

#[test]
fn given_events_without_ids_when_passed_then_the_last_id_stands() {
    let (_, _, last) = split_stream(&[
        b"id: 4\n\n",
        b"data: x\n\n",
        b"id:\ndata: y\n\n",
        b"data: id: 9\n\n",
    ]);
    assert_eq!(last.as_deref(), Some("4"));
}

#[test]
fn given_ids_of_any_kind_when_passed_then_the_last_is_kept_as_text() {
    let (_, _, last) = split_stream(&[
        b"id:  a-1 \ndata: x\n\n",
        "id: é9\n\n".as_bytes(),
        b"id: \xff\n\n",
    ]);
    assert_eq!(last.as_deref(), Some("é9"));
}

#[test]
fn given_an_endless_event_when_pushed_then_it_is_rejected_at_its_bound() {
    let mut events = EventSplitter::default();
    let chunk = vec![b'x'; 64 << 10];
    let pushed = (0..100)
        .take_while(|_| events.push(&chunk).is_some())
        .count();
    assert_eq!(pushed, 4);
}

#[test]
fn given_a_large_piece_of_whole_events_when_passed_then_it_goes_out_at_once() {
    let many = "id: 1\ndata: x\n\n".repeat(100_000);
    let mut events = EventSplitter::default();
    assert_eq!(
        events
            .push(many.as_bytes())
            .expect("complete events are not held")
            .len(),
        many.len()
    );
}
