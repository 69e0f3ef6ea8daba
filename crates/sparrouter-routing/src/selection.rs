//! The election over the ready servers of a service, and what is known of each.
use crate::candidate::{Candidate, Draw, Election, is_kept_back, is_over};
use crate::membership_sync::SyncState;
use crate::server::Suspicion;
use crate::service_servers::{Entry, Load, ServiceServers};
use crate::{Nanos, OutdatedVersionLimits, RequestOutcome, Server, ServerIndex, Versions};
use fastrand::Rng;
use sparrouter_membership::LifecycleState;
use std::cell::Cell;
use std::collections::{BTreeSet, HashMap};

/// First wait before a probe, and how far it grows.
const FIRST_PROBE: Nanos = 50_000_000;
const LONGEST_PROBE: Nanos = 1_000_000_000;

/// A request that needs a server.
#[derive(Clone, Debug)]
pub struct SelectionRequest<'a> {
    /// The service of its route.
    pub service: &'a str,
    /// Key of the election.
    pub key: u64,
    /// The model that must run it; `None`: any server of the service.
    pub model: Option<&'a str>,
    /// It generates more tokens than requests usually do; see [`TypicalOutput`](crate::TypicalOutput).
    pub is_long_generation: bool,
    /// Servers that it was sent to before.
    pub attempted: &'a [ServerIndex],
}

/// The server that was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Selection {
    /// Its index.
    pub server: ServerIndex,
    /// The version of the model that it runs, if known.
    pub version: Option<u64>,
    /// Its place in the order of the election; 0 is the winner.
    pub rank: usize,
}

/// Why no server was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SelectionError {
    /// No server is known, or all were tried.
    NoServer,
    /// There are untried servers, but each is loading new weights, on an older version, unreachable or full.
    NoneReady,
}

/// All that this node knows of servers.
pub struct ServerTable {
    pub(crate) servers: Vec<Option<Server>>,
    by_id: HashMap<String, ServerIndex>,
    /// By the hash of the id.
    by_hash: HashMap<u64, ServerIndex>,
    by_service: HashMap<String, ServiceServers>,
    /// Places in `servers` that are empty.
    free: BTreeSet<ServerIndex>,
    /// Servers that own sends could not reach, or that were so lately.
    suspected: BTreeSet<ServerIndex>,
    /// Rises when a server comes, goes, falls silent, or is heard of again.
    pub(crate) changes: u64,
    /// Servers that were handed out by walks over all of them, or over those of a service.
    records_visited: Cell<u64>,
    pub(crate) sync_state: SyncState,
    /// The versions of weights that requests may begin on.
    pub versions: Versions,
    rng: Rng,
}

impl ServerTable {
    /// An empty table. `version_limits`: see [`Versions::new`].
    pub fn new(version_limits: OutdatedVersionLimits, rng: Rng) -> ServerTable {
        let versions = Versions::new(version_limits);
        ServerTable {
            servers: Vec::new(),
            by_id: HashMap::new(),
            by_hash: HashMap::new(),
            free: BTreeSet::new(),
            suspected: BTreeSet::new(),
            changes: 0,
            records_visited: Cell::new(0),
            sync_state: SyncState::default(),
            by_service: HashMap::new(),
            versions,
            rng,
        }
    }

    /// The server with this index.
    pub fn get(&self, ix: ServerIndex) -> Option<&Server> {
        self.servers.get(ix)?.as_ref()
    }
    /// The index of a server, by its instance id.
    pub fn find(&self, id: &str) -> Option<ServerIndex> {
        self.by_id.get(id).copied()
    }
    /// The server whose instance id has this hash. Takes time proportional to the number of servers.
    pub fn by_id_hash(&self, hash: u64) -> Option<&Server> {
        self.get(*self.by_hash.get(&hash)?)
    }
    /// Rises when a server comes, goes, falls silent, or is heard of again: what was worked out from the set of them
    /// holds until then.
    pub fn changes(&self) -> u64 {
        self.changes
    }
    /// All servers.
    pub fn iter(&self) -> impl Iterator<Item = (ServerIndex, &Server)> {
        self.servers
            .iter()
            .enumerate()
            .filter_map(|(ix, s)| Some((ix, s.as_ref()?)))
            .inspect(|_| self.count_visit())
    }
    /// The servers of a service.
    pub fn of_service<'a>(
        &'a self,
        service: &str,
    ) -> impl Iterator<Item = (ServerIndex, &'a Server)> {
        self.entries_of(service)
            .filter_map(|entry| Some((entry.server, self.get(entry.server)?)))
    }

    /// The servers of a service by hash and place, without a look at each.
    fn entries_of(&self, service: &str) -> impl Iterator<Item = Entry> {
        let all = self.by_service.get(service);
        let entries = all.map(|s| s.entries.as_slice()).unwrap_or_default();
        self.records_visited
            .set(self.records_visited.get() + entries.len() as u64);
        entries.iter().copied()
    }

    /// How many servers were handed out by walks so far: what shows that work grows with the size of the fleet.
    pub fn records_visited(&self) -> u64 {
        self.records_visited.get()
    }

    fn count_visit(&self) {
        self.records_visited.set(self.records_visited.get() + 1);
    }

    /// Overwrites a server's standing, whatever is known: the mistake that `sync` guards against, planted for tests.
    #[cfg(feature = "injected-defects")]
    pub fn overwrite(&mut self, id: &str, standing: LifecycleState) {
        if let Some(ix) = self.find(id) {
            self.update(ix, |server| server.standing = standing);
        }
    }

    pub(crate) fn add(&mut self, server: Server) -> ServerIndex {
        self.changes += 1;
        let ix = self.free.pop_first().unwrap_or(self.servers.len());
        self.by_id.insert(server.id.clone(), ix);
        self.by_hash.insert(server.hash, ix);
        self.by_service
            .entry(server.service.clone())
            .or_default()
            .entries
            .push(Entry {
                hash: server.hash,
                server: ix,
            });
        if ix == self.servers.len() {
            self.servers.push(Some(server));
        } else {
            self.servers[ix] = Some(server);
        }
        ix
    }

    pub(crate) fn remove(&mut self, ix: ServerIndex) {
        let Some(server) = self.servers[ix].take() else {
            return;
        };
        self.changes += 1;
        self.free.insert(ix);
        self.suspected.remove(&ix);
        self.forget_sync_state(ix);
        self.by_id.remove(&server.id);
        self.by_hash.remove(&server.hash);
        if let Some(all) = self.by_service.get_mut(&server.service) {
            all.replace_load(Load::of(&server), Load::default());
            all.entries.retain(|entry| entry.server != ix);
            if all.entries.is_empty() {
                self.by_service.remove(&server.service);
            }
        }
    }

    /// Changes a server, and with it the load of its service.
    pub(crate) fn update(&mut self, ix: ServerIndex, change: impl FnOnce(&mut Server)) {
        let Some(server) = self.servers.get_mut(ix).and_then(Option::as_mut) else {
            return;
        };
        let before = Load::of(server);
        change(server);
        let after = Load::of(server);
        if before != after
            && let Some(all) = self.by_service.get_mut(&server.service)
        {
            all.replace_load(before, after);
        }
    }

    /// Servers that may take something new, at all or for this model.
    fn ready(&self, ask: &SelectionRequest, server: &Server, now: Nanos) -> bool {
        server.standing == LifecycleState::Ready
            && !server.loading
            && server.suspect.is_none()
            && server.full_until <= now
            && self.suits(ask, server, now)
    }

    fn suits(&self, ask: &SelectionRequest, server: &Server, now: Nanos) -> bool {
        ask.model
            .is_none_or(|model| match server.version_of(model) {
                Some(version) => self.versions.allows(model, version, now),
                // The server reports its models, and this one is not among them.
                None => server.models.is_empty(),
            })
    }

    /// The winner of the election, or the next in order where that one may not take it.
    pub fn select(&self, ask: &SelectionRequest, now: Nanos) -> Result<Selection, SelectionError> {
        let Some(winner) = self.undisputed(ask, now) else {
            return self.choose_of_all(ask, now);
        };
        Ok(self.pick(ask, winner, 0))
    }

    /// The best of all by score, found by a look at no more servers than had a better score than those before them. None
    /// where it is kept back, over the bar, or not there: then all have to be weighed.
    fn undisputed(&self, ask: &SelectionRequest, now: Nanos) -> Option<ServerIndex> {
        let bar = self.by_service.get(ask.service)?.bar();
        let (mut best, mut best_draw) = (None, None);
        for entry in self.entries_of(ask.service) {
            let draw = Some(Draw::new(entry.hash, ask.key));
            if draw <= best_draw {
                continue;
            }
            let Some(server) = self.get(entry.server) else {
                continue;
            };
            if ask.attempted.contains(&entry.server) || !self.ready(ask, server, now) {
                continue;
            }
            let first_choice =
                !is_over(server, bar) && !is_kept_back(ask, server) && !server.is_ejected(now);
            best = first_choice.then_some(entry.server);
            best_draw = draw;
        }
        best
    }

    fn choose_of_all(
        &self,
        ask: &SelectionRequest,
        now: Nanos,
    ) -> Result<Selection, SelectionError> {
        let bar = self
            .by_service
            .get(ask.service)
            .ok_or(SelectionError::NoServer)?
            .bar();
        let mut election = Election::default();
        let heeds_avoided = self.heeds_avoided(ask.service, now);
        for (ix, server) in self.untried(ask) {
            if self.ready(ask, server, now) {
                let avoided = heeds_avoided && server.is_ejected(now);
                let candidate = Candidate::new(ask, ix, server, avoided);
                election.enter(candidate, is_over(server, bar), server.in_flight);
            }
        }
        let Some(winner) = election.winner() else {
            let open = |s: &Server| s.standing == LifecycleState::Ready;
            return Err(if self.untried(ask).any(|(_, s)| open(s)) {
                SelectionError::NoneReady
            } else {
                SelectionError::NoServer
            });
        };
        let place = if election.is_first(&winner) {
            0
        } else {
            self.ahead_of(ask, &winner, heeds_avoided, now)
        };
        Ok(self.pick(ask, winner.server, place))
    }

    fn pick(&self, ask: &SelectionRequest, server: ServerIndex, place: usize) -> Selection {
        let version = ask.model.and_then(|m| self.get(server)?.version_of(m));
        Selection {
            server,
            version,
            rank: place,
        }
    }

    /// Servers of the service that did not have the request before.
    fn untried<'a>(
        &'a self,
        ask: &'a SelectionRequest,
    ) -> impl Iterator<Item = (ServerIndex, &'a Server)> {
        self.of_service(ask.service)
            .filter(|(ix, _)| !ask.attempted.contains(ix))
    }

    /// Whether servers that fail requests come behind others: not where that would leave half of them or fewer, as the
    /// fault is hardly theirs then.
    fn heeds_avoided(&self, service: &str, now: Nanos) -> bool {
        let (mut ready, mut avoided) = (0, 0);
        for (_, server) in self.of_service(service) {
            if server.standing == LifecycleState::Ready {
                ready += 1;
                avoided += usize::from(server.is_ejected(now));
            }
        }
        avoided > 0 && avoided * 2 < ready
    }

    /// How many that may take it come before the winner in the order, and were passed over.
    fn ahead_of(
        &self,
        ask: &SelectionRequest,
        winner: &Candidate,
        heeds_avoided: bool,
        now: Nanos,
    ) -> usize {
        self.untried(ask)
            .filter(|(_, server)| self.ready(ask, server, now))
            .filter(|(ix, server)| {
                let avoided = heeds_avoided && server.is_ejected(now);
                Candidate::new(ask, *ix, server, avoided).beats(winner)
            })
            .count()
    }

    /// A request of `tokens` prompt tokens was sent to the server.
    pub fn start_request(&mut self, ix: ServerIndex, tokens: u64) {
        self.update(ix, |server| {
            server.in_flight += 1;
            server.tokens += tokens;
            server.used = true;
        });
    }

    /// Ends what [`ServerTable::begin`] began.
    pub fn finish_request(
        &mut self,
        ix: ServerIndex,
        tokens: u64,
        ending: RequestOutcome,
        now: Nanos,
    ) {
        self.update(ix, |server| {
            server.in_flight = server.in_flight.saturating_sub(1);
            server.tokens = server.tokens.saturating_sub(tokens);
        });
        match ending {
            RequestOutcome::Answered => self.update(ix, |server| {
                server.suspect = None;
                server.full_until = 0;
                server.answered.add(1.0, now);
            }),
            RequestOutcome::Unreachable => self.suspect(ix, now),
            RequestOutcome::Failed
            | RequestOutcome::Declined
            | RequestOutcome::Misdirected
            | RequestOutcome::Broke
            | RequestOutcome::Withdrawn => {}
        }
    }

    /// Suspects a server: it gets no requests until a probe connects.
    pub fn suspect(&mut self, ix: ServerIndex, now: Nanos) {
        let jitter = 0.5 + self.rng.f64();
        if let Some(Some(server)) = self.servers.get_mut(ix) {
            let wait = (FIRST_PROBE as f64 * jitter) as Nanos;
            server.suspect.get_or_insert(Suspicion {
                next_probe: now + wait,
                wait,
            });
            self.suspected.insert(ix);
        }
    }

    /// Suspected servers whose probe is due. The next probe of each is scheduled with twice the wait.
    pub fn due_health_checks(&mut self, now: Nanos) -> Vec<ServerIndex> {
        let servers = &self.servers;
        self.suspected
            .retain(|&ix| servers[ix].as_ref().is_some_and(Server::is_suspected));
        let mut due = Vec::new();
        for &ix in &self.suspected {
            let Some(server) = self.servers[ix]
                .as_mut()
                .filter(|s| s.standing == LifecycleState::Ready)
            else {
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

    /// A probe connected: the server is not suspected any more.
    pub fn mark_reachable(&mut self, ix: ServerIndex) {
        if let Some(Some(server)) = self.servers.get_mut(ix) {
            server.suspect = None;
        }
    }

    /// The server answered that it is full: it gets no requests until then.
    pub fn mark_full(&mut self, ix: ServerIndex, until: Nanos) {
        if let Some(Some(server)) = self.servers.get_mut(ix) {
            server.full_until = until;
        }
    }

    /// Records the load that the server reported with an answer.
    pub fn record_load(&mut self, ix: ServerIndex, running: u32, waiting: u32, now: Nanos) {
        if let Some(Some(server)) = self.servers.get_mut(ix) {
            (server.running, server.waiting, server.load_at) = (running, waiting, now);
        }
    }

    /// Records the version that the server reported with an answer.
    pub fn record_loaded_version(&mut self, ix: ServerIndex, model: &str, version: u64) {
        if let Some(Some(server)) = self.servers.get_mut(ix) {
            server.runs(model, version);
        }
    }
}
