//! Rows as bytes. Thousands of rows name the same few services, zones and nodes, so a name is written once a message and
//! then by its index; numbers have a variable length (LEB128), and IPv4 addresses with a port take six bytes.
use crate::{
    LifecycleState, LoadedModel, MembershipDelta, NodeRecord, ServerDirective, ServerRecord,
};
use std::collections::HashMap;
use std::net::SocketAddrV4;

/// Most bytes of text that are read for each byte of input: a few hostile bytes could refer to a long name many times.
const MOST_TEXT_A_BYTE: usize = 64;

#[derive(Default)]
struct Writer<'a> {
    out: Vec<u8>,
    names: HashMap<&'a str, u64>,
}

impl<'a> Writer<'a> {
    fn number(&mut self, mut number: u64) {
        while number >= 0x80 {
            self.out.push(number as u8 | 0x80);
            number >>= 7;
        }
        self.out.push(number as u8);
    }

    fn text(&mut self, text: &str) {
        self.number(text.len() as u64);
        self.out.extend_from_slice(text.as_bytes());
    }

    /// A text that several rows share: 0 and the text the first time, its index (from 1) after that.
    fn name(&mut self, name: &'a str) {
        let place = self.names.len() as u64 + 1;
        match self.names.get(name).copied() {
            Some(place) => self.number(place),
            None => {
                self.names.insert(name, place);
                self.number(0);
                self.text(name);
            }
        }
    }

    /// Any text. One that is the usual form of an IPv4 address with a port takes six bytes and a tag.
    fn address(&mut self, address: &'a str) {
        match address.parse::<SocketAddrV4>() {
            Ok(socket) if socket.to_string() == address => {
                self.out.push(1);
                self.out.extend_from_slice(&socket.ip().octets());
                self.out.extend_from_slice(&socket.port().to_le_bytes());
            }
            _ => {
                self.out.push(0);
                self.text(address);
            }
        }
    }

    fn flags(&mut self, flags: &[bool]) {
        self.out.push(
            flags
                .iter()
                .rev()
                .fold(0, |byte, flag| byte << 1 | u8::from(*flag)),
        );
    }

    fn server(&mut self, row: &'a ServerRecord) {
        self.text(&row.id);
        self.name(&row.service);
        self.address(&row.address);
        self.name(&row.zone);
        self.number(u64::from(row.slot_count));
        self.flags(&[
            row.unresponsive,
            row.state == LifecycleState::Draining,
            row.state == LifecycleState::Left,
        ]);
        self.number(row.call_sequence);
        self.number(row.models.len() as u64);
        for model in &row.models {
            self.name(&model.name);
            self.number(model.version);
        }
        self.name(&row.registrar);
    }

    fn node(&mut self, row: &'a NodeRecord) {
        self.name(&row.name);
        self.address(&row.internal_address);
        self.address(&row.control_address);
        self.name(&row.zone);
        self.name(&row.region);
        self.flags(&[
            row.counts_toward_quorum,
            row.serves_clients,
            row.leaving,
            row.unresponsive,
        ]);
        self.out.extend_from_slice(&row.disk_id.to_le_bytes());
        self.number(row.incarnation);
        self.out.extend_from_slice(&row.nonce.to_le_bytes());
    }

    fn note(&mut self, note: &'a ServerDirective) {
        self.text(&note.key);
        self.number(note.fencing_token);
        self.number(note.sequence);
        self.number(note.version);
        self.flags(&[note.withdrawn]);
    }
}

struct Reader<'a> {
    left: &'a [u8],
    names: Vec<&'a str>,
    /// Bytes of text that may still be allocated.
    room: usize,
}

impl<'a> Reader<'a> {
    fn byte(&mut self) -> Option<u8> {
        let (first, left) = self.left.split_first()?;
        self.left = left;
        Some(*first)
    }

    fn bytes(&mut self, count: usize) -> Option<&'a [u8]> {
        let (taken, left) = self.left.split_at_checked(count)?;
        self.left = left;
        Some(taken)
    }

    fn fixed<const N: usize>(&mut self) -> Option<[u8; N]> {
        self.bytes(N)?.try_into().ok()
    }

    fn number(&mut self) -> Option<u64> {
        let mut number = 0u64;
        for shift in (0..64).step_by(7) {
            let byte = self.byte()?;
            let part = u64::from(byte & 0x7f);
            if part << shift >> shift != part {
                return None;
            }
            number |= part << shift;
            if byte < 0x80 {
                return Some(number);
            }
        }
        None
    }

    /// A number of items. Refused if the rest of the input cannot hold that many of at least one byte.
    fn count(&mut self) -> Option<usize> {
        let count = usize::try_from(self.number()?).ok()?;
        (count <= self.left.len()).then_some(count)
    }

    fn borrowed(&mut self) -> Option<&'a str> {
        let length = self.count()?;
        std::str::from_utf8(self.bytes(length)?).ok()
    }

    fn owned(&mut self, text: &str) -> Option<String> {
        self.room = self.room.checked_sub(text.len())?;
        Some(text.to_owned())
    }

    fn text(&mut self) -> Option<String> {
        let text = self.borrowed()?;
        self.owned(text)
    }

    fn name(&mut self) -> Option<String> {
        let place = usize::try_from(self.number()?).ok()?;
        let name = match place.checked_sub(1) {
            Some(place) => *self.names.get(place)?,
            None => {
                let name = self.borrowed()?;
                self.names.push(name);
                name
            }
        };
        self.owned(name)
    }

    fn address(&mut self) -> Option<String> {
        match self.byte()? {
            0 => self.text(),
            1 => {
                let (ip, port) = (self.fixed::<4>()?, u16::from_le_bytes(self.fixed()?));
                Some(SocketAddrV4::new(ip.into(), port).to_string())
            }
            _ => None,
        }
    }

    fn flags<const N: usize>(&mut self) -> Option<[bool; N]> {
        let byte = self.byte()?;
        Some(std::array::from_fn(|i| byte >> i & 1 == 1))
    }

    fn server(&mut self) -> Option<ServerRecord> {
        let (id, service, address, zone) =
            (self.text()?, self.name()?, self.address()?, self.name()?);
        let slot_count = u32::try_from(self.number()?).ok()?;
        let [silent, draining, gone] = self.flags()?;
        let standing = match (draining, gone) {
            (_, true) => LifecycleState::Left,
            (true, false) => LifecycleState::Draining,
            (false, false) => LifecycleState::Ready,
        };
        let call_sequence = self.number()?;
        let mut models = Vec::new();
        for _ in 0..self.count()? {
            models.push(LoadedModel {
                name: self.name()?,
                version: self.number()?,
            });
        }
        let (models, registrar) = (models.into(), self.name()?);
        Some(ServerRecord {
            id,
            service,
            address,
            zone,
            slot_count,
            state: standing,
            call_sequence,
            models,
            registrar,
            unresponsive: silent,
        })
    }

    fn node(&mut self) -> Option<NodeRecord> {
        let (name, internal, control) = (self.name()?, self.address()?, self.address()?);
        let (zone, region) = (self.name()?, self.name()?);
        let [counted, front, leaving, silent] = self.flags()?;
        let disk = u64::from_le_bytes(self.fixed()?);
        let life = self.number()?;
        let nonce = u64::from_le_bytes(self.fixed()?);
        Some(NodeRecord {
            name,
            internal_address: internal,
            control_address: control,
            zone,
            region,
            counts_toward_quorum: counted,
            serves_clients: front,
            disk_id: disk,
            incarnation: life,
            nonce,
            leaving,
            unresponsive: silent,
        })
    }

    fn note(&mut self) -> Option<ServerDirective> {
        let (key, fence, number, value) =
            (self.text()?, self.number()?, self.number()?, self.number()?);
        let [over] = self.flags()?;
        Some(ServerDirective {
            key,
            fencing_token: fence,
            sequence: number,
            version: value,
            withdrawn: over,
        })
    }
}

impl MembershipDelta {
    /// The rows as bytes; see [`Delta::unpack`].
    pub fn pack(&self) -> Vec<u8> {
        let mut writer = Writer::default();
        writer.out.extend_from_slice(&self.epoch.to_le_bytes());
        writer.number(self.revision);
        writer.number(self.servers.len() as u64);
        self.servers.iter().for_each(|row| writer.server(row));
        writer.number(self.nodes.len() as u64);
        self.nodes.iter().for_each(|row| writer.node(row));
        writer.number(self.directives.len() as u64);
        self.directives.iter().for_each(|note| writer.note(note));
        writer.out
    }

    /// Reads the bytes of [`Delta::pack`]; `None` if they are malformed. Allocates at most 64 bytes of text a byte of input.
    pub fn unpack(bytes: &[u8]) -> Option<MembershipDelta> {
        let room = bytes.len().saturating_mul(MOST_TEXT_A_BYTE);
        let mut reader = Reader {
            left: bytes,
            names: Vec::new(),
            room,
        };
        let mut delta = MembershipDelta {
            epoch: u64::from_le_bytes(reader.fixed()?),
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
            delta.directives.push(reader.note()?);
        }
        reader.left.is_empty().then_some(delta)
    }
}
