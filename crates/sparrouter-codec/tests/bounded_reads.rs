//! Lists, byte strings and messages: decoding restores the encoded value and rejects hostile lengths.
use nanoserde::{DeBin, SerBin};
use sparrouter_codec::{Blob, Seq};

#[test]
fn given_a_list_or_byte_string_when_encoded_and_decoded_then_it_is_unchanged() {
    let list: Seq<(u64, String)> = Seq(vec![(1, "a".into()), (2, "b".into())]);
    assert_eq!(Seq::deserialize_bin(&list.serialize_bin()).unwrap(), list);
    let blob = Blob((0..=255).collect());
    assert_eq!(Blob::deserialize_bin(&blob.serialize_bin()).unwrap(), blob);
}

#[test]
fn given_a_length_beyond_the_remaining_input_when_decoded_then_it_is_rejected() {
    let hostile = u32::MAX.to_le_bytes();
    assert!(Seq::<u64>::deserialize_bin(&hostile).is_err());
    assert!(Blob::deserialize_bin(&hostile).is_err());
    let list: Seq<u64> = Seq((0..100).collect());
    let bytes = list.serialize_bin();
    for length in 0..bytes.len() {
        assert!(Seq::<u64>::deserialize_bin(&bytes[..length]).is_err());
    }
}

#[test]
fn given_a_text_length_that_overflows_the_offset_when_decoded_then_it_is_rejected() {
    let hostile = u64::MAX.to_le_bytes();
    assert!(sparrouter_codec::read::<String>(&hostile).is_none());
    assert!(
        sparrouter_codec::read::<(u8, String)>(&[1, 255, 255, 255, 255, 255, 255, 255, 255])
            .is_none()
    );
}

#[test]
fn given_bytes_after_the_value_when_decoded_then_the_input_is_rejected() {
    let mut bytes = Blob(vec![1, 2, 3]).serialize_bin();
    assert!(sparrouter_codec::read::<Blob>(&bytes).is_some());
    bytes.push(0);
    assert!(sparrouter_codec::read::<Blob>(&bytes).is_none());
}
