//! The election over the ready servers of a service, and what is known of each.
use crate::server::Suspicion;
use crate::{Ending, Nanos, Server, ServerIx, Versions};
use fastrand::Rng;
use sparrouter_membership::{Rows, Standing};
use std::collections::HashMap;

/// In flight beyond both of these a server is passed over: a ratio to the mean, and a floor.
const BAR_RATIO: f64 = 2.0;
const BAR_FLOOR: f64 = 2.0;
/// A generation of more tokens takes longer than it takes to read most prompts.
const LONG: u64 = 24;
/// First wait before a probe, and how far it grows.
const FIRST_PROBE: Nanos = 50_000_000;
const LONGEST_PROBE: Nanos = 1_000_000_000;

/// One choice that is wanted.
#[derive(Clone, Debug)]
pub struct Ask<'a> {
    pub service: &'a str,
    pub key: u64,
    /// It must run on this model; none: any server of the service.
    pub model: Option<&'a str>,
    /// Tokens that it generates at most.
    pub tokens_out: u64,
    /// Servers that had it before.
    pub tried: &'a [ServerIx],
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pick {
    pub server: ServerIx,
    /// Which version of the model it runs, where known.
    pub version: Option<u64>,
    /// Its place in the election: 0 is the winner.
    pub place: usize,
}

/// No server may take it now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Turned {
    /// None is known, or none is left that was not tried.
    None,
    /// There are some, but all are taking new weights, on an older version, unreachable or full.
    Unready,
}

/// Everything that is known of servers at this node.
pub struct ServerTable {
    servers: Vec<Option<Server>>,
    by_id: HashMap<String, ServerIx>,
    by_service: HashMap<String, Vec<ServerIx>>,
    pub versions: Versions,
    rng: Rng,
}

impl ServerTable {
    pub fn new(version_patience: Nanos, rng: Rng) -> ServerTable {
        let versions = Versions::new(version_patience);
        ServerTable {
            servers: Vec::new(),
            by_id: HashMap::new(),
            by_service: HashMap::new(),
            versions,
            rng,
        }
    }

    pub fn get(&self, ix: ServerIx) -> Option<&Server> {
        self.servers.get(ix)?.as_ref()
    }
    pub fn find(&self, id: &str) -> Option<ServerIx> {
        self.by_id.get(id).copied()
    }
    /// The server whose id has this hash.
    pub fn hashed(&self, hash: u64) -> Option<&Server> {
        self.all().map(|(_, s)| s).find(|s| s.hash == hash)
    }
    pub fn all(&self) -> impl Iterator<Item = (ServerIx, &Server)> {
        self.servers
            .iter()
            .enumerate()
            .filter_map(|(ix, s)| Some((ix, s.as_ref()?)))
    }
    pub fn of<'a>(&'a self, service: &str) -> impl Iterator<Item = (ServerIx, &'a Server)> {
        let all = self
            .by_service
            .get(service)
            .map(Vec::as_slice)
            .unwrap_or_default();
        all.iter().filter_map(|&ix| Some((ix, self.get(ix)?)))
    }

    /// Takes a standing as it is told, be it an earlier one: the mistake that `sync` is there against.
    #[cfg(feature = "planted")]
    pub fn put_back(&mut self, id: &str, standing: Standing) {
        let ix = self.by_id.get(id).copied();
        if let Some(server) = ix.and_then(|ix| self.servers[ix].as_mut()) {
            server.standing = standing;
        }
    }

    /// What the rows say now. Servers that are gone stay until their last request has ended.
    pub fn sync(&mut self, rows: &Rows, now: Nanos) {
        for row in rows.servers() {
            let known = self.by_id.get(&row.id).copied();
            if known.is_none() && (row.standing == Standing::Gone || row.service.is_empty()) {
                continue;
            }
            let ix = match known {
                Some(ix) => ix,
                None => match row.address.parse() {
                    Ok(address) => self.add(Server::new(row, address)),
                    Err(_) => continue,
                },
            };
            let Some(server) = self.servers[ix].as_mut() else {
                continue;
            };
            server.standing = server.standing.max(row.standing);
            if server.silent && !row.silent {
                server.suspect = None;
            }
            server.silent = row.silent;
            if row.call_sequence > server.told_at {
                server.told_at = row.call_sequence;
                for model in &row.models {
                    runs(&mut server.models, &model.name, model.version);
                }
            }
            server.loading = false;
            server.soon = false;
        }
        // Whoever has the duty of new weights tells `soon/SERVER/MODEL`, then
        // `load/SERVER/MODEL`: under way, then over with what it runs.
        let lasts = self.versions.patience().saturating_mul(2);
        for (note, at) in rows.notes_at() {
            let mut words = note.key.splitn(3, '/');
            let (Some(kind), Some(id), Some(model)) = (words.next(), words.next(), words.next())
            else {
                continue;
            };
            let Some(&ix) = self.by_id.get(id) else {
                continue;
            };
            let Some(server) = self.servers[ix].as_mut() else {
                continue;
            };
            // Whoever told it may have ended: no server is kept out longer than the work can take.
            let stands = !note.over && now.saturating_sub(at) < lasts;
            match kind {
                "load" if note.over && note.value > 0 => {
                    runs(&mut server.models, model, note.value)
                }
                "load" => server.loading |= stands,
                "soon" => server.soon |= stands,
                _ => {}
            }
        }
        let lost: Vec<ServerIx> = self
            .all()
            .filter(|(_, s)| s.in_flight == 0)
            .filter(|(_, s)| {
                rows.server(&s.id)
                    .is_none_or(|r| r.standing == Standing::Gone)
            })
            .map(|(ix, _)| ix)
            .collect();
        lost.into_iter().for_each(|ix| self.remove(ix));
    }

    fn add(&mut self, server: Server) -> ServerIx {
        let ix = self
            .servers
            .iter()
            .position(Option::is_none)
            .unwrap_or(self.servers.len());
        self.by_id.insert(server.id.clone(), ix);
        self.by_service
            .entry(server.service.clone())
            .or_default()
            .push(ix);
        if ix == self.servers.len() {
            self.servers.push(Some(server));
        } else {
            self.servers[ix] = Some(server);
        }
        ix
    }

    fn remove(&mut self, ix: ServerIx) {
        let Some(server) = self.servers[ix].take() else {
            return;
        };
        self.by_id.remove(&server.id);
        if let Some(all) = self.by_service.get_mut(&server.service) {
            all.retain(|&i| i != ix);
            if all.is_empty() {
                self.by_service.remove(&server.service);
            }
        }
    }

    /// Servers that may take something new, at all or for this model.
    fn ready(&self, ask: &Ask, server: &Server, now: Nanos) -> bool {
        server.standing == Standing::Ready
            && !server.loading
            && server.suspect.is_none()
            && server.full_until <= now
            && self.suits(ask, server, now)
    }

    fn suits(&self, ask: &Ask, server: &Server, now: Nanos) -> bool {
        ask.model
            .is_none_or(|model| match server.version_of(model) {
                Some(version) => self.versions.allows(model, version, now),
                // It names models, but not this one.
                None => server.models.is_empty(),
            })
    }

    /// The bar of this node's own requests in flight: over it, a server is passed over.
    fn bar(&self, service: &str) -> f64 {
        let used = || {
            self.of(service)
                .filter(|(_, s)| s.used && s.standing == Standing::Ready)
        };
        let (sum, count) = used().fold((0.0, 0.0), |(s, n), (_, x)| {
            (s + f64::from(x.in_flight), n + 1.0)
        });
        (BAR_RATIO * sum / f64::max(count, 1.0)).max(BAR_FLOOR)
    }

    /// The winner of the election, or the next in order where that one may not take it.
    pub fn choose(&self, ask: &Ask, now: Nanos) -> Result<Pick, Turned> {
        let untried = || {
            self.of(ask.service)
                .filter(|(ix, _)| !ask.tried.contains(ix))
        };
        let open = |s: &Server| s.standing == Standing::Ready;
        let mut order: Vec<ServerIx> = sparrouter_rendezvous::order(
            untried()
                .filter(|(_, s)| self.ready(ask, s, now))
                .map(|(ix, s)| (s.hash, ix)),
            ask.key,
        );
        // Silent ones come last: they may be there still. Long generations keep away from where they would hold up new
        // weights.
        let long = ask.tokens_out > LONG;
        order.sort_by_key(|&ix| {
            self.get(ix)
                .map_or((true, true), |s| (s.silent, long && s.soon))
        });
        if order.is_empty() {
            return Err(if untried().any(|(_, s)| open(s)) {
                Turned::Unready
            } else {
                Turned::None
            });
        }
        let bar = self.bar(ask.service);
        let under = |ix: &ServerIx| {
            self.get(*ix)
                .is_some_and(|s| !s.used || f64::from(s.in_flight) <= bar)
        };
        // Where all are over the bar the least loaded of the order takes it.
        let place = order.iter().position(under).unwrap_or_else(|| {
            let load = |p: &usize| self.get(order[*p]).map_or(u32::MAX, |s| s.in_flight);
            (0..order.len()).min_by_key(load).unwrap_or(0)
        });
        let server = order[place];
        let version = ask.model.and_then(|m| self.get(server)?.version_of(m));
        Ok(Pick {
            server,
            version,
            place,
        })
    }

    pub fn begin(&mut self, ix: ServerIx, tokens: u64) {
        if let Some(server) = self.servers[ix].as_mut() {
            server.in_flight += 1;
            server.tokens += tokens;
            server.used = true;
        }
    }

    pub fn end(&mut self, ix: ServerIx, tokens: u64, ending: Ending, now: Nanos) {
        let Some(server) = self.servers[ix].as_mut() else {
            return;
        };
        server.in_flight = server.in_flight.saturating_sub(1);
        server.tokens = server.tokens.saturating_sub(tokens);
        match ending {
            Ending::Answered => {
                server.suspect = None;
                server.full_until = 0;
            }
            Ending::Unreachable => self.suspect(ix, now),
            Ending::Declined | Ending::Misdirected | Ending::Broke | Ending::Withdrawn => {}
        }
    }

    pub fn suspect(&mut self, ix: ServerIx, now: Nanos) {
        let jitter = 0.5 + self.rng.f64();
        if let Some(Some(server)) = self.servers.get_mut(ix) {
            let wait = (FIRST_PROBE as f64 * jitter) as Nanos;
            server.suspect.get_or_insert(Suspicion {
                next_probe: now + wait,
                wait,
            });
        }
    }

    /// Suspected servers whose probe is due; each is put off until the next, later one.
    pub fn probes(&mut self, now: Nanos) -> Vec<ServerIx> {
        let mut due = Vec::new();
        for (ix, slot) in self.servers.iter_mut().enumerate() {
            let Some(server) = slot.as_mut().filter(|s| s.standing == Standing::Ready) else {
                continue;
            };
            let Some(doubt) = server.suspect.as_mut().filter(|d| d.next_probe <= now) else {
                continue;
            };
            doubt.wait = (doubt.wait * 2).min(LONGEST_PROBE);
            doubt.next_probe = now + doubt.wait;
            due.push(ix);
        }
        due
    }

    /// A probe came through.
    pub fn reached(&mut self, ix: ServerIx) {
        if let Some(Some(server)) = self.servers.get_mut(ix) {
            server.suspect = None;
        }
    }

    /// It said that it is full: nothing new until it may have room.
    pub fn full(&mut self, ix: ServerIx, until: Nanos) {
        if let Some(Some(server)) = self.servers.get_mut(ix) {
            server.full_until = until;
        }
    }

    /// What the server told of its load with an answer.
    pub fn load(&mut self, ix: ServerIx, running: u32, waiting: u32, now: Nanos) {
        if let Some(Some(server)) = self.servers.get_mut(ix) {
            (server.running, server.waiting, server.load_at) = (running, waiting, now);
        }
    }

    /// What the server told of its weights with an answer.
    pub fn runs(&mut self, ix: ServerIx, model: &str, version: u64) {
        if let Some(Some(server)) = self.servers.get_mut(ix) {
            runs(&mut server.models, model, version);
        }
    }
}

fn runs(models: &mut Vec<(String, u64)>, model: &str, version: u64) {
    match models.iter_mut().find(|m| m.0 == model) {
        // A server never goes back in one life.
        Some(known) => known.1 = known.1.max(version),
        None => models.push((model.to_owned(), version)),
    }
}
