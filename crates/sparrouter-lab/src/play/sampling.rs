//! Samples the fleet while a run goes on, and notices nodes that crash.
use super::starvation::StarvationWatch;
use super::{Environment, Sample};
use crate::ledger::Record;
use crate::stand_ins::node::Node;
use crate::stand_ins::server::Server;
use crate::{SECOND, nanos};
use std::path::PathBuf;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::time::Duration;

/// Cache servers in a sample, at the most.
const MAX_SAMPLED_CACHES: usize = 64;
/// Samples of a run, unless that makes them closer than [`MIN_INTERVAL_S`].
const SAMPLES: f64 = 240.0;
const MIN_INTERVAL_S: f64 = 0.25;
const POLL_INTERVAL: Duration = Duration::from_millis(20);

impl Environment {
    /// Samples at even intervals until the run is over, and once more then.
    pub(super) fn sample_until(&self, over: &AtomicBool) -> Vec<Sample> {
        let interval = nanos((self.lab.scenario.length_s / SAMPLES).max(MIN_INTERVAL_S));
        let (mut samples, mut next) = (Vec::new(), 0);
        let mut starvation = StarvationWatch::default();
        while !over.load(Relaxed) {
            std::thread::sleep(POLL_INTERVAL);
            self.detect_crashes();
            for node in 0..self.front.nodes.len() {
                starvation.look(&self.lab, node, self.scheduler_account(node));
            }
            if self.lab.now() >= next {
                next += interval;
                samples.push(self.sample());
            }
        }
        samples.push(self.sample());
        samples
    }

    /// The system's account of when a node ran and waited: of its process, or of the thread that it has in the lab.
    fn scheduler_account(&self, node: usize) -> Option<PathBuf> {
        let Some(process) = self.nodes.get(node) else {
            let thread = self.bad_node_threads.get(node)?;
            return Some(format!("/proc/self/task/{thread}/schedstat").into());
        };
        let process = process.lock().expect("not poisoned").process()?;
        Some(format!("/proc/{process}/schedstat").into())
    }

    fn detect_crashes(&self) {
        for (n, node) in self.nodes.iter().enumerate() {
            let stopped = || self.stopped_nodes[n].load(Relaxed);
            let exited = !stopped() && node.lock().expect("not poisoned").take_exited();
            // A node that was told to stop in the meantime did not crash.
            if exited && !stopped() {
                self.lab.record(Record::NodeCrashed {
                    at: self.lab.now(),
                    node: n as u16,
                });
                self.front.set(n, false);
            }
        }
    }

    fn sample(&self) -> Sample {
        let caches = self.fleet.caches.iter().take(MAX_SAMPLED_CACHES);
        Sample {
            at_s: self.lab.now() as f64 / SECOND as f64,
            nodes: self.nodes.iter().map(node_usage).collect(),
            caches: caches.map(|cache| cache_state(cache)).collect(),
        }
    }
}

/// Seconds of CPU, memory in MB, descriptors.
fn node_usage(node: &Mutex<Node>) -> (f64, f64, usize) {
    let usage = node.lock().expect("not poisoned").usage();
    (usage.cpu_s, usage.memory_mb, usage.descriptors)
}

/// 0 down, 1 up and cold, 2 up, 3 draining; pending forwards; open connections.
fn cache_state(cache: &Server) -> (u8, usize, usize) {
    let state = match (cache.up(), cache.draining(), cache.warmth() < 1.0) {
        (false, ..) => 0,
        (true, true, _) => 3,
        (true, false, true) => 1,
        (true, false, false) => 2,
    };
    (state, cache.pending_count(), cache.open.load(Relaxed))
}
