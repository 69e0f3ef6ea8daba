//! The replicated value of an exploration: one byte, changed by compare-and-set.
use sparrouter_consensus::{Applied, Machine};

/// Answer to a change whose expected value was in force.
pub const APPLIED: &[u8] = b"taken";
/// Answer to a change that expected another value.
pub const MISMATCH: &[u8] = b"mismatch";
/// The value that is in force before any change.
pub const INITIAL: &[u8] = b"a";

/// A change is two bytes: the expected value and the new one.
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
                answer: APPLIED.to_vec(),
            };
        }
        Applied::Unchanged {
            answer: MISMATCH.to_vec(),
        }
    }
}
