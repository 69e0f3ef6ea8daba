//! The replicated value of an exploration: one byte, changed by compare-and-set.
use sparrouter_consensus::{Applied, Machine};

/// Answer to a change whose expected value was the current one.
pub const APPLIED: &[u8] = b"taken";
/// Answer to a change that expected another value.
pub const MISMATCH: &[u8] = b"mismatch";
/// The initial value.
pub const INITIAL: &[u8] = b"a";

/// A compare-and-set register. A change consists of two bytes: the expected and the new value.
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
