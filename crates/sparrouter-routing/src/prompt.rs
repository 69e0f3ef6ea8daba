//! A prompt as the client describes it: a chain of prefix blocks ("parts"), and the key that it is routed by.
use sparrouter_rendezvous::hash;

/// One part of a prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PrefixBlock {
    /// Its id in hexadecimal, as sent. It identifies the part together with all parts before it.
    pub id: String,
    /// Its length in tokens.
    pub tokens: u64,
}

/// A prompt.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Its parts in order; the last one is the request's own.
    pub blocks: Vec<PrefixBlock>,
    /// Length of the prompt in tokens.
    pub tokens_in: u64,
    /// Most tokens that are generated.
    pub tokens_out: u64,
}

/// How many tokens requests usually generate at most, as clients say: a moving average. What counts as a long generation
/// differs between deployments, and clients name bounds that few of their requests reach.
#[derive(Clone, Copy, Debug, Default)]
pub struct TypicalOutput(Option<f64>);

impl TypicalOutput {
    /// Weight of a new request in the average.
    const WEIGHT: f64 = 1.0 / 64.0;

    /// Takes in a request; whether it generates more than was usual before it.
    pub fn observe(&mut self, tokens_out: u64) -> bool {
        let tokens = tokens_out as f64;
        let usual = self.0.unwrap_or(tokens);
        self.0 = Some(usual + (tokens - usual) * Self::WEIGHT);
        tokens > usual
    }
}

/// Most parts that are read; further ones are ignored.
const MOST_PARTS: usize = 64;

impl Prompt {
    /// Reads the header fields. `prefix`: `ID:TOKENS,...`; `usage`: `IN,OUT`. What cannot be parsed is left out, because a
    /// prompt that is described badly can still be served.
    pub fn read(prefix: Option<&str>, usage: Option<&str>) -> Prompt {
        let part = |word: &str| {
            let (id, tokens) = word.trim().split_once(':')?;
            Some(PrefixBlock {
                id: id.to_owned(),
                tokens: tokens.parse().ok()?,
            })
        };
        let parts: Vec<PrefixBlock> = prefix
            .unwrap_or_default()
            .split(',')
            .take(MOST_PARTS)
            .filter_map(part)
            .collect();
        let mut usage = usage
            .unwrap_or_default()
            .split(',')
            .map(|n| n.trim().parse().unwrap_or(0));
        let tokens_in = usage
            .next()
            .unwrap_or(0)
            .max(parts.iter().map(|p| p.tokens).sum());
        Prompt {
            blocks: parts,
            tokens_in,
            tokens_out: usage.next().unwrap_or(0),
        }
    }

    /// The parts that other requests may share: all but the last.
    pub fn shared_blocks(&self) -> &[PrefixBlock] {
        &self.blocks[..self.blocks.len().saturating_sub(1)]
    }

    /// The key of the election: a hash of the deepest shared part, so that its KV cache is used at one server. A single
    /// part may belong to a session and is its own key. `None` without parts.
    pub fn key(&self, salt: &str) -> Option<u64> {
        let part = self.shared_blocks().last().or(self.blocks.last())?;
        Some(hash(format!("{salt}/{}", part.id).as_bytes()))
    }
}
