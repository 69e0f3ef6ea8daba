//! The replicated value of an exploration: one word, changed by compare-and-set.
use sparrouter_consensus::{Applied, Machine};

/// Answer to a change whose expected word was in force.
pub const TAKEN: &[u8] = b"taken";
/// Answer to a change that expected another word.
pub const MISMATCH: &[u8] = b"mismatch";
/// The word that is in force before any change.
pub const FIRST: &[u8] = b"a";

/// A change is two words of one byte: the expected one and the new one.
#[derive(Clone, Copy, Debug, Default)]
pub struct CompareAndSet;

impl Machine for CompareAndSet {
    fn apply(&self, body: &[u8], change: &[u8]) -> Applied {
        let [expected, new] = change else {
            return Applied::Unchanged {
                answer: b"malformed".to_vec(),
            };
        };
        if body == [*expected] {
            return Applied::Changed {
                body: vec![*new],
                answer: TAKEN.to_vec(),
            };
        }
        Applied::Unchanged {
            answer: MISMATCH.to_vec(),
        }
    }
}
