//! How long nodes that were ready to run waited for a processor, by the system's account of each.
use crate::Nanos;
use std::collections::{HashMap, VecDeque};

/// Spans kept a node: at one in 20 ms, longer than any invocation is open.
const MAX_SPANS: usize = 4096;

/// A span of the run and the wait within it.
struct Span {
    from: Nanos,
    to: Nanos,
    waited: Nanos,
}

impl Span {
    /// The most that it can have waited between two moments.
    fn wait_between(&self, from: Nanos, to: Nanos) -> Nanos {
        let common = self.to.min(to).saturating_sub(self.from.max(from));
        self.waited.min(common)
    }
}

/// The waits of all nodes.
#[derive(Default)]
pub(super) struct ProcessorWaits {
    /// By node, in the order of time.
    spans: HashMap<u16, VecDeque<Span>>,
}

impl ProcessorWaits {
    /// Adds the wait of one span, which follows those that were added before.
    pub(super) fn add(&mut self, node: u16, from: Nanos, to: Nanos, waited: Nanos) {
        let spans = self.spans.entry(node).or_default();
        if spans.len() == MAX_SPANS {
            spans.pop_front();
        }
        spans.push_back(Span { from, to, waited });
    }

    /// How long a node waited for a processor between two moments, at the most.
    pub(super) fn total(&self, node: u16, from: Nanos, to: Nanos) -> Nanos {
        let spans = self.spans.get(&node).into_iter().flatten();
        spans.map(|span| span.wait_between(from, to)).sum()
    }
}
