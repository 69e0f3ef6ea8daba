//! A prompt as the client names it: a prefix block chain, part by part, and what it is routed by.
use sparrouter_rendezvous::hash;

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Part {
    /// Its id as sent, in hex.
    pub id: String,
    pub tokens: u64,
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    pub parts: Vec<Part>,
    /// Tokens of the prompt, and the most that it generates.
    pub tokens_in: u64,
    pub tokens_out: u64,
}

/// Longest chain that is read: what comes after is the request's own anyway.
const MOST_PARTS: usize = 64;

impl Prompt {
    /// `prefix`: ID:TOKENS,...; `usage`: in,out. What cannot be read is left out: routing is no judge of prompts.
    pub fn read(prefix: Option<&str>, usage: Option<&str>) -> Prompt {
        let part = |word: &str| {
            let (id, tokens) = word.trim().split_once(':')?;
            Some(Part {
                id: id.to_owned(),
                tokens: tokens.parse().ok()?,
            })
        };
        let parts: Vec<Part> = prefix
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
            parts,
            tokens_in,
            tokens_out: usage.next().unwrap_or(0),
        }
    }

    /// The parts that others may share: all but the last, which is the request's own.
    pub fn shared(&self) -> &[Part] {
        &self.parts[..self.parts.len().saturating_sub(1)]
    }

    /// What the election hashes: the deepest shared part, so that what is kept of it is read at one server. A
    /// lone part may be a session's and is its own key.
    pub fn key(&self, salt: &str) -> Option<u64> {
        let part = self.shared().last().or(self.parts.last())?;
        Some(hash(format!("{salt}/{}", part.id).as_bytes()))
    }
}
