//! A prompt as the client describes it: a chain of prefix blocks ("parts" in the header fields), and the key by which the
//! prompt is routed.
use sparrouter_rendezvous::hash;

/// Maximum number of prefix blocks that are parsed; further ones are ignored.
const MAX_BLOCKS: usize = 64;

/// One prefix block of a prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PrefixBlock {
    /// The block's id in hexadecimal, as sent. It identifies the block together with all blocks before it.
    pub id: String,
    /// Length of the block in tokens.
    pub tokens: u64,
}

/// A prompt's prefix blocks and lengths.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Prefix blocks in order, at most 64; the last one belongs to this request alone.
    pub blocks: Vec<PrefixBlock>,
    /// Length of the prompt in tokens, at least the sum over its blocks.
    pub tokens_in: u64,
    /// Maximum number of tokens to generate; 0 if the client sent none.
    pub tokens_out: u64,
}

/// A moving average of the requests' maximum numbers of tokens to generate, as clients send them. A fixed threshold for a
/// long generation would not fit all deployments, and clients send maxima that few of their requests reach.
#[derive(Clone, Copy, Debug, Default)]
pub struct TypicalOutput(Option<f64>);

impl TypicalOutput {
    /// Weight of a new request in the moving average.
    const SMOOTHING: f64 = 1.0 / 64.0;

    /// Adds a request to the average, and returns whether its maximum is above the previous average.
    pub fn observe(&mut self, tokens_out: u64) -> bool {
        let tokens = tokens_out as f64;
        let average_tokens = self.0.unwrap_or(tokens);
        self.0 = Some(average_tokens + (tokens - average_tokens) * Self::SMOOTHING);
        tokens > average_tokens
    }
}

impl Prompt {
    /// Parses the header fields. `prefix`: `ID:TOKENS,...`; `usage`: `IN,OUT`. Malformed parts are ignored, because a
    /// prompt with a malformed description can still be served.
    pub fn parse(prefix: Option<&str>, usage: Option<&str>) -> Prompt {
        let blocks: Vec<PrefixBlock> = prefix
            .unwrap_or_default()
            .split(',')
            .take(MAX_BLOCKS)
            .filter_map(parse_block)
            .collect();
        let mut usage = usage
            .unwrap_or_default()
            .split(',')
            .map(|count| count.trim().parse().unwrap_or(0));
        let tokens_in: u64 = usage.next().unwrap_or(0);
        let tokens_out = usage.next().unwrap_or(0);
        let tokens_of_blocks = blocks.iter().map(|block| block.tokens).sum();
        Prompt {
            blocks,
            tokens_in: tokens_in.max(tokens_of_blocks),
            tokens_out,
        }
    }

    /// The blocks that other requests may share: all but the last.
    pub fn shared_blocks(&self) -> &[PrefixBlock] {
        &self.blocks[..self.blocks.len().saturating_sub(1)]
    }

    /// The key by which servers are scored: a hash of the deepest shared block, so that its KV cache is used at one server.
    /// If there is only one block, it may belong to a session and is used as the key. `None` if there are no blocks. `salt`
    /// separates the keys of different models and tenants.
    pub fn key(&self, salt: &str) -> Option<u64> {
        let block = self.shared_blocks().last().or(self.blocks.last())?;
        Some(hash(format!("{salt}/{}", block.id).as_bytes()))
    }
}

/// Parses `ID:TOKENS`.
fn parse_block(text: &str) -> Option<PrefixBlock> {
    let (id, tokens) = text.trim().split_once(':')?;
    Some(PrefixBlock {
        id: id.to_owned(),
        tokens: tokens.parse().ok()?,
    })
}
