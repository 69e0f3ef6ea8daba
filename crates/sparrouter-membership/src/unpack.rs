//! Decodes a delta. The input is untrusted: decoding never panics, and the memory it allocates is bounded by the length of
//! the input.
use crate::pack::{ADDRESS_AS_IPV4, ADDRESS_AS_TEXT, BITS_PER_BYTE, MORE_BYTES, NAME_FOLLOWS};
use crate::{
    LifecycleState, LoadedModel, MembershipDelta, NodeRecord, ServerDirective, ServerRecord,
};
use std::net::SocketAddrV4;

/// Largest number of bytes of text that are allocated per byte of input. Without a limit, a few hostile bytes could refer to
/// a long name many times.
const MAX_TEXT_BYTES_PER_INPUT_BYTE: usize = 64;

impl MembershipDelta {
    /// Decodes the output of [`MembershipDelta::pack`]; `None` if `bytes` is malformed. Allocates at most 64 bytes of text per
    /// byte of input.
    pub fn unpack(bytes: &[u8]) -> Option<MembershipDelta> {
        let mut reader = Reader {
            remaining: bytes,
            names: Vec::new(),
            text_budget: bytes.len().saturating_mul(MAX_TEXT_BYTES_PER_INPUT_BYTE),
        };
        let mut delta = MembershipDelta {
            epoch: reader.fixed_number()?,
            revision: reader.number()?,
            ..MembershipDelta::default()
        };
        for _ in 0..reader.count()? {
            delta.servers.push(reader.server()?);
        }
        for _ in 0..reader.count()? {
            delta.nodes.push(reader.node()?);
        }
        for _ in 0..reader.count()? {
            delta.directives.push(reader.directive()?);
        }
        reader.remaining.is_empty().then_some(delta)
    }
}

struct Reader<'a> {
    remaining: &'a [u8],
    /// The names read so far, in the order of their indexes.
    names: Vec<&'a str>,
    /// Number of bytes of text that may still be allocated.
    text_budget: usize,
}

impl<'a> Reader<'a> {
    fn byte(&mut self) -> Option<u8> {
        let (first, remaining) = self.remaining.split_first()?;
        self.remaining = remaining;
        Some(*first)
    }

    fn bytes(&mut self, count: usize) -> Option<&'a [u8]> {
        let (bytes, remaining) = self.remaining.split_at_checked(count)?;
        self.remaining = remaining;
        Some(bytes)
    }

    fn fixed<const N: usize>(&mut self) -> Option<[u8; N]> {
        self.bytes(N)?.try_into().ok()
    }

    fn fixed_number(&mut self) -> Option<u64> {
        self.fixed().map(u64::from_le_bytes)
    }

    fn number(&mut self) -> Option<u64> {
        let mut number = 0u64;
        for shift in (0..u64::BITS).step_by(BITS_PER_BYTE) {
            let byte = self.byte()?;
            let bits = u64::from(byte & !MORE_BYTES);
            let overflows = bits << shift >> shift != bits;
            if overflows {
                return None;
            }
            number |= bits << shift;
            if byte < MORE_BYTES {
                return Some(number);
            }
        }
        None
    }

    /// Reads a number of items or bytes. Fails if it exceeds the remaining bytes of input, since an item takes at least one
    /// byte.
    fn count(&mut self) -> Option<usize> {
        let count = usize::try_from(self.number()?).ok()?;
        (count <= self.remaining.len()).then_some(count)
    }

    fn borrowed_text(&mut self) -> Option<&'a str> {
        let length = self.count()?;
        std::str::from_utf8(self.bytes(length)?).ok()
    }

    /// Copies a text and deducts its length from the text budget. Fails if the budget is exceeded.
    fn allocate(&mut self, text: &str) -> Option<String> {
        self.text_budget = self.text_budget.checked_sub(text.len())?;
        Some(text.to_owned())
    }

    fn text(&mut self) -> Option<String> {
        let text = self.borrowed_text()?;
        self.allocate(text)
    }

    fn name(&mut self) -> Option<String> {
        let index = self.number()?;
        if index == NAME_FOLLOWS {
            let name = self.borrowed_text()?;
            self.names.push(name);
            return self.allocate(name);
        }
        let position = usize::try_from(index - 1).ok()?;
        let name = *self.names.get(position)?;
        self.allocate(name)
    }

    fn address(&mut self) -> Option<String> {
        match self.byte()? {
            ADDRESS_AS_TEXT => self.text(),
            ADDRESS_AS_IPV4 => {
                let ip = self.fixed::<4>()?;
                let port = u16::from_le_bytes(self.fixed()?);
                Some(SocketAddrV4::new(ip.into(), port).to_string())
            }
            _ => None,
        }
    }

    fn flags<const N: usize>(&mut self) -> Option<[bool; N]> {
        let byte = self.byte()?;
        Some(std::array::from_fn(|bit| byte >> bit & 1 == 1))
    }

    fn models(&mut self) -> Option<Vec<LoadedModel>> {
        let count = self.count()?;
        (0..count)
            .map(|_| {
                Some(LoadedModel {
                    name: self.name()?,
                    version: self.number()?,
                })
            })
            .collect()
    }

    // The fields of a struct expression are evaluated in the order written, which must be the order of the encoding.

    fn server(&mut self) -> Option<ServerRecord> {
        let id = self.text()?;
        let service = self.name()?;
        let address = self.address()?;
        let zone = self.name()?;
        let slot_count = u32::try_from(self.number()?).ok()?;
        let [unresponsive, is_draining, has_left] = self.flags()?;
        let state = match (is_draining, has_left) {
            (_, true) => LifecycleState::Left,
            (true, false) => LifecycleState::Draining,
            (false, false) => LifecycleState::Ready,
        };
        Some(ServerRecord {
            id,
            service,
            address,
            zone,
            slot_count,
            state,
            call_sequence: self.number()?,
            models: self.models()?.into(),
            registrar: self.name()?,
            unresponsive,
        })
    }

    fn node(&mut self) -> Option<NodeRecord> {
        let name = self.name()?;
        let internal_address = self.address()?;
        let control_address = self.address()?;
        let zone = self.name()?;
        let region = self.name()?;
        let [counts_toward_quorum, serves_clients, leaving, unresponsive] = self.flags()?;
        Some(NodeRecord {
            name,
            internal_address,
            control_address,
            zone,
            region,
            counts_toward_quorum,
            serves_clients,
            disk_id: self.fixed_number()?,
            incarnation: self.number()?,
            nonce: self.fixed_number()?,
            leaving,
            unresponsive,
        })
    }

    fn directive(&mut self) -> Option<ServerDirective> {
        Some(ServerDirective {
            key: self.text()?,
            fencing_token: self.number()?,
            sequence: self.number()?,
            version: self.number()?,
            withdrawn: {
                let [withdrawn] = self.flags()?;
                withdrawn
            },
        })
    }
}
