//! The replicated value of the fleet: a configuration with a version and the ids of its changes, and a lease.
use nanoserde::{DeBin, SerBin};
use sparrouter_consensus::codec::{decode, encode};
use sparrouter_consensus::lease::{LeaseAnswer, LeaseChange};
use sparrouter_consensus::{Applied, Leases, Machine};

/// Maximum number of change ids in the body. A repeated change whose id is in the body is answered as applied.
const MAX_IDS: usize = 64;

#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Config {
    pub version: u64,
    /// Ids of the most recently applied changes, newest last. The newest change created `version`.
    pub ids: Vec<u64>,
    pub lease: Vec<u8>,
}

#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub enum Change {
    Put { if_match: u64, id: u64 },
    Lease(LeaseChange),
}

#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub enum Answer {
    Applied { version: u64 },
    Mismatch { version: u64 },
    Lease(LeaseAnswer),
    Malformed,
}

impl Config {
    pub fn encode(&self) -> Vec<u8> {
        let mut out = Vec::new();
        self.version.ser_bin(&mut out);
        (self.ids.len() as u64).ser_bin(&mut out);
        self.ids.iter().for_each(|id| id.ser_bin(&mut out));
        out.extend_from_slice(&self.lease);
        out
    }

    pub fn decode(bytes: &[u8]) -> Config {
        let mut offset = 0;
        let mut number = || u64::de_bin(&mut offset, bytes).unwrap();
        let (version, length) = (number(), number());
        let ids = (0..length).map(|_| number()).collect();
        Config {
            version,
            ids,
            lease: bytes[offset..].to_vec(),
        }
    }

    /// The versions whose changes are in this body, with the ids of the changes, newest first.
    pub fn changes(&self) -> impl Iterator<Item = (u64, u64)> + '_ {
        self.ids
            .iter()
            .rev()
            .enumerate()
            .map(|(distance, &id)| (self.version - distance as u64, id))
    }
}

impl Change {
    pub fn encode(&self) -> Vec<u8> {
        encode(self)
    }
}

impl Answer {
    pub fn decode(bytes: &[u8]) -> Answer {
        decode(bytes, 4096).unwrap()
    }
}

pub struct Configs;

impl Machine for Configs {
    fn apply(&self, body: &[u8], change: &[u8]) -> Applied {
        let config = Config::decode(body);
        match decode::<Change>(change, 4096) {
            Ok(Change::Put { if_match, id }) => config.put(if_match, id),
            Ok(Change::Lease(change)) => config.change_lease(&change),
            Err(_) => unchanged(&Answer::Malformed),
        }
    }
}

impl Config {
    fn put(mut self, if_match: u64, id: u64) -> Applied {
        if let Some((version, _)) = self.changes().find(|&(_, known)| known == id) {
            return unchanged(&Answer::Applied { version });
        }
        if if_match != self.version {
            return unchanged(&Answer::Mismatch {
                version: self.version,
            });
        }
        self.version += 1;
        self.ids.push(id);
        if self.ids.len() > MAX_IDS {
            self.ids.remove(0);
        }
        let answer = Answer::Applied {
            version: self.version,
        };
        Applied::Changed {
            body: self.encode(),
            answer: encode(&answer),
        }
    }

    fn change_lease(mut self, change: &LeaseChange) -> Applied {
        let wrap = |answer: Vec<u8>| encode(&Answer::Lease(LeaseAnswer::decode(&answer).unwrap()));
        match Leases.apply(&self.lease, &encode(change)) {
            Applied::Changed { body, answer } => {
                self.lease = body;
                Applied::Changed {
                    body: self.encode(),
                    answer: wrap(answer),
                }
            }
            Applied::Unchanged { answer } => Applied::Unchanged {
                answer: wrap(answer),
            },
        }
    }
}

fn unchanged(answer: &Answer) -> Applied {
    Applied::Unchanged {
        answer: encode(answer),
    }
}
