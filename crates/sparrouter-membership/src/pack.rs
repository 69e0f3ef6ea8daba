//! Encodes a delta. Thousands of records contain the same few names of services, zones and nodes, so a message contains each
//! name once and refers to it by index afterwards. Numbers have a variable length, and IPv4 addresses with a port take six
//! bytes.
//!
//! | value | encoding |
//! | --- | --- |
//! | number | 7 bits per byte, lowest bits first, the top bit set on all but the last byte (LEB128) |
//! | fixed number | eight bytes, little-endian |
//! | text | its length as a number, then UTF-8 |
//! | name | at its first occurrence 0 and the text; afterwards its index (from 1) in the order of first occurrence |
//! | address | 1, the IPv4 address in four bytes and the port in two bytes, little-endian; or 0 and any other text |
//! | flags | one byte, the first flag in its lowest bit |
//! | list | the number of items, then the items |
//!
//! A delta is encoded as the epoch (fixed number), the revision, and the lists of servers, nodes and directives. Nodes of
//! different releases exchange deltas, so this encoding must not change.
use crate::{LifecycleState, MembershipDelta, NodeRecord, ServerDirective, ServerRecord};
use std::collections::HashMap;
use std::net::SocketAddrV4;

/// Tag of an address that is encoded as text.
pub(crate) const ADDRESS_AS_TEXT: u8 = 0;
/// Tag of an IPv4 address and port that are encoded in six bytes.
pub(crate) const ADDRESS_AS_IPV4: u8 = 1;
/// Takes the place of a name's index if the name itself follows.
pub(crate) const NAME_FOLLOWS: u64 = 0;
/// Number of bits of a number that each byte contains.
pub(crate) const BITS_PER_BYTE: usize = 7;
/// Bit that is set on each byte of a number except the last.
pub(crate) const MORE_BYTES: u8 = 0x80;

impl MembershipDelta {
    /// Encodes the delta. [`MembershipDelta::unpack`] decodes it.
    pub fn pack(&self) -> Vec<u8> {
        let mut writer = Writer::default();
        writer.fixed_number(self.epoch);
        writer.number(self.revision);
        writer.number(self.servers.len() as u64);
        self.servers.iter().for_each(|record| writer.server(record));
        writer.number(self.nodes.len() as u64);
        self.nodes.iter().for_each(|record| writer.node(record));
        writer.number(self.directives.len() as u64);
        self.directives
            .iter()
            .for_each(|directive| writer.directive(directive));
        writer.output
    }
}

#[derive(Default)]
struct Writer<'a> {
    output: Vec<u8>,
    /// Maps the names written so far to their indexes, which begin at 1.
    name_indexes: HashMap<&'a str, u64>,
}

impl<'a> Writer<'a> {
    fn number(&mut self, mut number: u64) {
        while number >= u64::from(MORE_BYTES) {
            self.output.push(number as u8 | MORE_BYTES);
            number >>= BITS_PER_BYTE;
        }
        self.output.push(number as u8);
    }

    fn fixed_number(&mut self, number: u64) {
        self.output.extend_from_slice(&number.to_le_bytes());
    }

    fn text(&mut self, text: &str) {
        self.number(text.len() as u64);
        self.output.extend_from_slice(text.as_bytes());
    }

    /// Writes a text that is likely to occur in several records.
    fn name(&mut self, name: &'a str) {
        if let Some(index) = self.name_indexes.get(name).copied() {
            return self.number(index);
        }
        let next_index = self.name_indexes.len() as u64 + 1;
        self.name_indexes.insert(name, next_index);
        self.number(NAME_FOLLOWS);
        self.text(name);
    }

    /// Writes an address, which may be any text. Only the canonical form of an IPv4 address with a port is shortened, so that
    /// decoding restores the same text.
    fn address(&mut self, address: &'a str) {
        match address.parse::<SocketAddrV4>() {
            Ok(socket) if socket.to_string() == address => {
                self.output.push(ADDRESS_AS_IPV4);
                self.output.extend_from_slice(&socket.ip().octets());
                self.output.extend_from_slice(&socket.port().to_le_bytes());
            }
            _ => {
                self.output.push(ADDRESS_AS_TEXT);
                self.text(address);
            }
        }
    }

    fn flags(&mut self, flags: &[bool]) {
        let byte = flags
            .iter()
            .rev()
            .fold(0, |byte, flag| byte << 1 | u8::from(*flag));
        self.output.push(byte);
    }

    fn server(&mut self, record: &'a ServerRecord) {
        self.text(&record.id);
        self.name(&record.service);
        self.address(&record.address);
        self.name(&record.zone);
        self.number(u64::from(record.slot_count));
        self.flags(&[
            record.unresponsive,
            record.state == LifecycleState::Draining,
            record.state == LifecycleState::Left,
        ]);
        self.number(record.call_sequence);
        self.number(record.models.len() as u64);
        for model in &record.models {
            self.name(&model.name);
            self.number(model.version);
        }
        self.name(&record.registrar);
    }

    fn node(&mut self, record: &'a NodeRecord) {
        self.name(&record.name);
        self.address(&record.internal_address);
        self.address(&record.control_address);
        self.name(&record.zone);
        self.name(&record.region);
        self.flags(&[
            record.counts_toward_quorum,
            record.serves_clients,
            record.leaving,
            record.unresponsive,
        ]);
        self.fixed_number(record.disk_id);
        self.number(record.incarnation);
        self.fixed_number(record.nonce);
    }

    fn directive(&mut self, directive: &'a ServerDirective) {
        self.text(&directive.key);
        self.number(directive.fencing_token);
        self.number(directive.sequence);
        self.number(directive.version);
        self.flags(&[directive.withdrawn]);
    }
}
