//! Start-up phase in which the data directory is opened: answers callers with 503 and handles signals.
use super::endpoints::FirstListeners;
use super::run::ProcessSignal;
use crate::api::endpoint::{self, Matcher};
use crate::platform::defects::rules;
use crate::platform::http::Response;
use crate::platform::log_buffer::LogBuffer;
use crate::platform::memory::{MemoryPool, RequestMemory};
use crate::platform::net::Listener;
use crate::settings::ProcessSettings;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;

/// Body of the 503 responses, and the log line that is written after [`REPORT_AFTER`].
const STILL_OPENING: &str =
    "the data directory is still being opened: if this lasts, check the disk of this machine";
/// Retry-After of the 503 responses.
const RETRY_AFTER: Duration = Duration::from_millis(500);
/// Time after which the opening is reported as slow.
const REPORT_AFTER: Duration = Duration::from_secs(5);

/// Answers callers with 503 until `opening` completes, and returns its output; `None` if the process gets the signal to
/// shut down first. Until then the node serves no requests, casts no votes and acknowledges nothing, since all of these
/// need the contents of the disk.
pub(super) async fn answer_until_open<T>(
    opening: impl Future<Output = T>,
    listeners: &FirstListeners,
    signals: &mut mpsc::UnboundedReceiver<ProcessSignal>,
    log_buffer: &LogBuffer,
    settings: &mut ProcessSettings,
) -> Option<T> {
    let memory_mb = settings.memory_mb;
    // The fixed order makes runs with the same seed identical. The opening is polled first, so that one that completes
    // at once has no other effect.
    tokio::select! {
        biased;
        opened = opening => Some(opened),
        () = wait_for_shutdown_signal(signals, settings) => None,
        () = refuse_callers(listeners, memory_mb) => None,
        () = report_delay(log_buffer) => None,
    }
}

/// Applies changes of the seeds until the process gets the signal to shut down.
async fn wait_for_shutdown_signal(
    signals: &mut mpsc::UnboundedReceiver<ProcessSignal>,
    settings: &mut ProcessSettings,
) {
    while let Some(ProcessSignal::Seeds(seeds)) = signals.recv().await {
        if rules::seeds_follow_settings() {
            settings.seeds = seeds;
        }
    }
}

/// Answers all calls with 503; never returns.
async fn refuse_callers(listeners: &FirstListeners, memory_mb: u64) {
    let response = Response {
        retry_after: Some(RETRY_AFTER),
        ..Response::plain(503, STILL_OPENING)
    };
    let tree = Rc::new(Matcher::always(response));
    let memory = RequestMemory::for_machine(memory_mb).control;
    tokio::join!(
        refuse_on(listeners.control.as_deref(), &tree, &memory),
        refuse_on(listeners.readiness.as_deref(), &tree, &memory)
    );
}

async fn refuse_on(listener: Option<&dyn Listener>, tree: &Rc<Matcher>, memory: &Rc<MemoryPool>) {
    match listener {
        Some(listener) => {
            endpoint::listen_meanwhile(listener, tree.clone(), memory.clone()).await;
        }
        None => std::future::pending().await,
    }
}

/// Reports once that opening the data directory takes long; never returns.
async fn report_delay(log_buffer: &LogBuffer) {
    tokio::time::sleep(REPORT_AFTER).await;
    log_buffer.report_violation(STILL_OPENING);
    std::future::pending().await
}
