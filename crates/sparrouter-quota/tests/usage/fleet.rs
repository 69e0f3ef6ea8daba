//! A simulated fleet whose only faults are killed lease holders: 72 nodes request permits as the fleet's `quota/take.rs`
//! does, and clients of refused requests retry after the delay in the response.
use sparrouter_quota::{
    BucketTable, Division, Nanos, NextStep, PermitTable, QuotaLimit, QuotaSettings, TakeOutcome,
    TenantBucket,
};
use std::collections::BTreeMap;

pub const MS: Nanos = 1_000_000;
pub const SECOND: Nanos = 1_000 * MS;
pub const NODES: usize = 72;
const TENANT: &str = "tenant";
const SHARDS: u16 = 4;
/// Round-trip time of a request for a permit.
const ROUND_TRIP: Nanos = 2 * MS;
/// Time for which a node does not ask a lease holder again that was unavailable.
const UNAVAILABLE_FOR: Nanos = 150 * MS;
/// Maximum time for which a request waits for an unavailable lease holder.
const MAX_UNAVAILABLE_WAIT: Nanos = 200 * MS;
/// Interval at which a waiting request tries again to get a permit.
const RETRY_INTERVAL: Nanos = 40 * MS;
/// Minimum delay of a client's retry.
const MIN_RETRY_AFTER: Nanos = 20 * MS;
/// Maximum random increase of a client's retry delay, as a ratio.
const RETRY_SPREAD: f64 = 0.25;
/// Time after which buckets are full and retries are in progress; nothing is counted before.
const WARM_UP: Nanos = 10 * SECOND;

/// The request load.
#[derive(Clone, Copy, Debug)]
pub struct Demand {
    /// New requests per second.
    pub rate_per_s: f64,
    /// Mean number of new requests that arrive at the same moment.
    pub batch_size: f64,
    /// Maximum number of retries of a refused request.
    pub retries: u32,
}

/// Parameters that a measurement varies.
#[derive(Clone, Copy, Debug)]
pub struct Parameters {
    /// Maximum time for which a node remembers a refusal.
    pub max_refusal_time: Nanos,
    /// Maximum time for which a request waits for a token that the lease holder announced.
    pub max_wait: Nanos,
    /// Lifetime of a permit.
    pub permit_lifetime: Nanos,
}

pub const DEFAULTS: Parameters = Parameters {
    max_refusal_time: SECOND,
    max_wait: 0,
    permit_lifetime: 300 * MS,
};

/// Kills one random lease holder per `interval`; its shard is unavailable for `downtime`.
#[derive(Clone, Copy, Debug)]
pub struct Kills {
    pub interval: Nanos,
    pub downtime: Nanos,
}

/// Counts after the warm-up.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    pub seconds: f64,
    pub new_requests: u64,
    pub granted: u64,
    pub refused: u64,
    pub unavailable: u64,
    /// Calls from nodes to all lease holders.
    pub calls: u64,
    /// Calls from nodes to the lease holder that received the most.
    pub max_calls: u64,
}

struct Request {
    node: usize,
    asked: Vec<u16>,
    first_shard: usize,
    started_at: Nanos,
    retries: u32,
}

enum Event {
    NewRequests,
    Step(Request),
    /// A request for a permit arrives at the lease holder of a shard.
    PermitRequested(Request, u16),
    Answered(Request, u16, Answer),
    Kill,
}

#[derive(Clone, Copy)]
enum Answer {
    Granted,
    Refused(Nanos),
    Unavailable,
}

pub struct Fleet {
    rng: fastrand::Rng,
    now: Nanos,
    end_at: Nanos,
    events: BTreeMap<(Nanos, u64), Event>,
    next_event: u64,
    demand: Demand,
    parameters: Parameters,
    kills: Option<Kills>,
    division: Division,
    shards: Vec<u16>,
    holders: Vec<BucketTable>,
    unavailable_until: Vec<Nanos>,
    nodes: Vec<PermitTable>,
    calls: Vec<u64>,
    counts: Counts,
}

impl Fleet {
    pub fn new(
        seed: u64,
        limit: QuotaLimit,
        demand: Demand,
        parameters: Parameters,
        kills: Option<Kills>,
    ) -> Fleet {
        let settings = QuotaSettings {
            window: 5 * SECOND,
            permit_lifetime: parameters.permit_lifetime,
            shards: SHARDS,
        };
        let division = Division::of(limit, &settings);
        let mut fleet = Fleet {
            rng: fastrand::Rng::with_seed(seed),
            now: 0,
            end_at: 0,
            events: BTreeMap::new(),
            next_event: 0,
            demand,
            parameters,
            kills,
            division,
            shards: division.shards(TENANT, &settings),
            holders: Vec::new(),
            unavailable_until: vec![0; usize::from(SHARDS)],
            nodes: vec![PermitTable::default(); NODES],
            calls: vec![0; usize::from(SHARDS)],
            counts: Counts::default(),
        };
        fleet.holders = (0..SHARDS).map(|_| fleet.table(0)).collect();
        fleet
    }

    /// The buckets of a new lease holder.
    fn table(&self, active_from: Nanos) -> BucketTable {
        let mut table = BucketTable::new(1, active_from);
        let bucket = TenantBucket {
            tenant: TENANT.to_owned(),
            shape: self.division.shape,
        };
        table.set_limits(vec![bucket], active_from);
        table
    }

    /// Runs the simulation until `seconds` after the warm-up.
    pub fn run(mut self, seconds: u64) -> Counts {
        self.end_at = WARM_UP + seconds * SECOND;
        self.schedule(0, Event::NewRequests);
        if let Some(kills) = self.kills {
            self.schedule(kills.interval, Event::Kill);
        }
        while let Some(((at, _), event)) = self.events.pop_first() {
            if at >= self.end_at {
                break;
            }
            self.now = at;
            match event {
                Event::NewRequests => self.start_batch(),
                Event::Step(request) => self.step(request),
                Event::PermitRequested(request, shard) => self.ask(request, shard),
                Event::Answered(request, shard, answer) => self.answer(request, shard, answer),
                Event::Kill => self.kill(),
            }
        }
        self.counts.seconds = seconds as f64;
        self.counts.calls = self.calls.iter().sum();
        self.counts.max_calls = self.calls.iter().copied().max().unwrap_or(0);
        self.counts
    }

    fn schedule(&mut self, delay: Nanos, event: Event) {
        self.next_event += 1;
        self.events
            .insert((self.now + delay, self.next_event), event);
    }

    /// 1 after the warm-up, 0 before.
    fn after_warm_up(&self) -> u64 {
        u64::from(self.now >= WARM_UP)
    }

    fn start_batch(&mut self) {
        let batches_per_s = self.demand.rate_per_s / self.demand.batch_size;
        let gap = -(1.0 - self.rng.f64()).ln() / batches_per_s * 1e9;
        self.schedule(gap as Nanos, Event::NewRequests);
        loop {
            self.counts.new_requests += self.after_warm_up();
            let request = self.request(self.demand.retries);
            self.step(request);
            // Batch sizes are geometrically distributed.
            if self.rng.f64() >= 1.0 - 1.0 / self.demand.batch_size {
                return;
            }
        }
    }

    fn request(&mut self, retries: u32) -> Request {
        Request {
            node: self.rng.usize(..NODES),
            asked: Vec::new(),
            first_shard: self.rng.usize(..self.shards.len()),
            started_at: self.now,
            retries,
        }
    }

    fn step(&mut self, mut request: Request) {
        let mut shards = self.shards.clone();
        shards.rotate_left(request.first_shard);
        let waited = self.now - request.started_at;
        match self.nodes[request.node].next_step(TENANT, &shards, &request.asked, self.now) {
            NextStep::Ask(shard) => {
                request.asked.push(shard);
                self.schedule(ROUND_TRIP / 2, Event::PermitRequested(request, shard));
            }
            NextStep::LimitReached(after) if waited + after <= self.parameters.max_wait => {
                request.asked.clear();
                self.schedule(after, Event::Step(request));
            }
            NextStep::LimitReached(after) => {
                self.counts.refused += self.after_warm_up();
                self.schedule_retry(&request, after);
            }
            NextStep::Unavailable(_) if waited < MAX_UNAVAILABLE_WAIT => {
                request.asked.clear();
                self.schedule(RETRY_INTERVAL, Event::Step(request));
            }
            NextStep::Unavailable(after) => {
                self.counts.unavailable += self.after_warm_up();
                self.schedule_retry(&request, after.max(UNAVAILABLE_FOR));
            }
        }
    }

    fn schedule_retry(&mut self, request: &Request, after: Nanos) {
        if request.retries == 0 {
            return;
        }
        let spread = 1.0 + self.rng.f64() * RETRY_SPREAD;
        let after = (after.max(MIN_RETRY_AFTER) as f64 * spread) as Nanos;
        let mut next = self.request(request.retries - 1);
        next.started_at = self.now + after;
        self.schedule(after, Event::Step(next));
    }

    fn ask(&mut self, request: Request, shard: u16) {
        let index = usize::from(shard) - 1;
        self.calls[index] += self.after_warm_up();
        let answer = if self.now < self.unavailable_until[index] {
            Answer::Unavailable
        } else {
            match self.holders[index].take(TENANT, 1, self.now) {
                TakeOutcome::Granted(_) => Answer::Granted,
                TakeOutcome::Refused(after) => Answer::Refused(after.next_multiple_of(MS)),
                TakeOutcome::UnknownTenant => Answer::Unavailable,
            }
        };
        self.schedule(ROUND_TRIP / 2, Event::Answered(request, shard, answer));
    }

    fn answer(&mut self, request: Request, shard: u16, answer: Answer) {
        let node = &mut self.nodes[request.node];
        match answer {
            Answer::Granted => {
                node.record_answer(shard);
                self.counts.granted += self.after_warm_up();
                return;
            }
            Answer::Refused(after) => {
                node.record_answer(shard);
                node.record_refusal(
                    TENANT,
                    shard,
                    after.min(self.parameters.max_refusal_time),
                    self.now,
                );
            }
            Answer::Unavailable => node.record_unavailable(shard, UNAVAILABLE_FOR, self.now),
        }
        self.step(request);
    }

    /// Kills one of the lease holders; its successor starts with empty buckets once the shard is available again.
    fn kill(&mut self) {
        let Some(kills) = self.kills else { return };
        let index = self.rng.usize(..self.holders.len());
        let available_at = self.now + kills.downtime;
        self.unavailable_until[index] = available_at;
        self.holders[index] = self.table(available_at);
        self.schedule(kills.interval, Event::Kill);
    }
}
