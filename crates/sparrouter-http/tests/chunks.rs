//! Decoding of chunked bodies, and rejection of malformed bodies. The property tests of `sparrouter-node` decode bodies that
//! are split at random offsets.
use bytes::BytesMut;
use sparrouter_http::ParseError;
use sparrouter_http::chunks::{ChunkDecoder, ChunkEvent};

/// Decodes a complete body. Returns its data, and the number of bytes that remain in the buffer after it.
fn decode(text: &str) -> Result<(Vec<u8>, usize), ParseError> {
    let (mut decoder, mut buffer) = (ChunkDecoder::default(), BytesMut::from(text.as_bytes()));
    let mut body = Vec::new();
    loop {
        match decoder.next(&mut buffer)? {
            ChunkEvent::Data(data) => body.extend_from_slice(&data),
            ChunkEvent::Incomplete => panic!("the body is not complete: {text:?}"),
            ChunkEvent::End => return Ok((body, buffer.len())),
        }
    }
}

#[test]
fn given_chunks_with_extensions_and_trailers_then_data_is_decoded_and_the_next_message_remains() {
    let text = "3;name=value\r\nabc\r\nA \r\n0123456789\r\n0\r\nTrailer: x\r\n\r\nGET";
    assert_eq!(decode(text), Ok((b"abc0123456789".to_vec(), 3)));
}

#[test]
fn given_an_incomplete_chunk_then_its_received_data_is_decoded() {
    let (mut decoder, mut buffer) = (ChunkDecoder::default(), BytesMut::from(&b"5\r\nab"[..]));
    let data = ChunkEvent::Data(b"ab".to_vec().into());
    assert_eq!(decoder.next(&mut buffer), Ok(data));
    assert_eq!(decoder.next(&mut buffer), Ok(ChunkEvent::Incomplete));
}

#[test]
fn given_malformed_chunk_framing_then_the_body_is_rejected() {
    for text in [
        "+3\r\nabc\r\n",
        "\r\n",
        "123456789\r\n",
        "x\r\n",
        "1\r\nabc",
    ] {
        assert!(decode(text).is_err(), "{text:?}");
    }
    let too_long_line = "0".repeat(1_025);
    assert!(decode(&too_long_line).is_err());
}
