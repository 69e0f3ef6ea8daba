//! The body that the fleet keeps: a configuration's version and ids, and beside it a lease.
use nanoserde::{DeBin, SerBin};
use sparrouter_consensus::codec::{decode, encode};
use sparrouter_consensus::lease::{LeaseAnswer, LeaseChange};
use sparrouter_consensus::{Applied, Leases, Machine};

/// Ids kept, so that the same change again is answered as taken.
pub const KEPT: usize = 64;

#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Config {
    pub version: u64,
    /// Those taken last, newest last: the newest made `version`.
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
    Taken { version: u64 },
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
        let mut at = 0;
        let mut number = || u64::de_bin(&mut at, bytes).unwrap();
        let (version, length) = (number(), number());
        let ids = (0..length).map(|_| number()).collect();
        Config {
            version,
            ids,
            lease: bytes[at..].to_vec(),
        }
    }

    /// Which id made a version, as far as this body remembers.
    pub fn made(&self) -> impl Iterator<Item = (u64, u64)> + '_ {
        self.ids
            .iter()
            .rev()
            .enumerate()
            .map(|(back, &id)| (self.version - back as u64, id))
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
        let mut config = Config::decode(body);
        let Ok(change) = decode::<Change>(change, 4096) else {
            return Applied::Unchanged {
                answer: encode(&Answer::Malformed),
            };
        };
        match change {
            Change::Put { id, .. } if config.ids.contains(&id) => {
                let version = config.made().find(|&(_, i)| i == id).unwrap().0;
                Applied::Unchanged {
                    answer: encode(&Answer::Taken { version }),
                }
            }
            Change::Put { if_match, .. } if if_match != config.version => Applied::Unchanged {
                answer: encode(&Answer::Mismatch {
                    version: config.version,
                }),
            },
            Change::Put { id, .. } => {
                config.version += 1;
                config.ids.push(id);
                if config.ids.len() > KEPT {
                    config.ids.remove(0);
                }
                let answer = encode(&Answer::Taken {
                    version: config.version,
                });
                Applied::Changed {
                    body: config.encode(),
                    answer,
                }
            }
            Change::Lease(change) => {
                let wrap =
                    |answer: Vec<u8>| encode(&Answer::Lease(LeaseAnswer::decode(&answer).unwrap()));
                match Leases.apply(&config.lease, &encode(&change)) {
                    Applied::Changed { body, answer } => {
                        config.lease = body;
                        Applied::Changed {
                            body: config.encode(),
                            answer: wrap(answer),
                        }
                    }
                    Applied::Unchanged { answer } => Applied::Unchanged {
                        answer: wrap(answer),
                    },
                }
            }
        }
    }
}
