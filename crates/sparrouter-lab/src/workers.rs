//! Threads that each run many small tasks. A stand-in's work is dealt out to them connection by
//! connection, so that no single thread of the lab limits what a node is shown to do.
use nix::unistd::Pid;
use std::cell::Cell;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use tokio::runtime::Builder;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::LocalSet;

type Job = Box<dyn FnOnce() -> Pin<Box<dyn Future<Output = ()>>> + Send>;

/// A pool of threads, each with a runtime of its own.
#[derive(Clone)]
pub struct Workers(Arc<WorkerPool>);

struct WorkerPool {
    inboxes: Vec<mpsc::UnboundedSender<Job>>,
    next: AtomicUsize,
    stop: watch::Sender<bool>,
    threads: std::sync::Mutex<Vec<JoinHandle<()>>>,
}

impl Workers {
    /// Starts at least one thread; `name` is the prefix of their names.
    ///
    /// # Panics
    ///
    /// If a thread cannot be started.
    pub fn start(name: &str, count: usize) -> Workers {
        let (stop, stopped) = watch::channel(false);
        let (mut inboxes, mut threads) = (Vec::new(), Vec::new());
        for n in 0..count.max(1) {
            let (inbox, jobs) = mpsc::unbounded_channel();
            let stopped = stopped.clone();
            let thread = std::thread::Builder::new().name(format!("{name}-{n}"));
            threads.push(
                thread
                    .spawn(move || work(jobs, stopped))
                    .expect("a thread starts"),
            );
            inboxes.push(inbox);
        }
        let threads = std::sync::Mutex::new(threads);
        Workers(Arc::new(WorkerPool {
            inboxes,
            next: AtomicUsize::new(0),
            stop,
            threads,
        }))
    }

    /// Number of threads.
    pub fn count(&self) -> usize {
        self.0.inboxes.len()
    }

    /// On the next worker in turn.
    pub fn run<F: Future<Output = ()> + 'static>(&self, job: impl FnOnce() -> F + Send + 'static) {
        let next = self.0.next.fetch_add(1, Relaxed);
        self.run_on(next, job);
    }
    /// On this worker, counted round.
    pub fn run_on<F: Future<Output = ()> + 'static>(
        &self,
        worker: usize,
        job: impl FnOnce() -> F + Send + 'static,
    ) {
        let inbox = &self.0.inboxes[worker % self.count()];
        // After the end nothing is carried out any more.
        let _ = inbox.send(Box::new(move || Box::pin(job())));
    }

    /// The system's id of the thread of this worker, counted round. From an ordinary thread.
    ///
    /// # Panics
    ///
    /// If the workers were stopped.
    pub fn thread_id(&self, worker: usize) -> Pid {
        let (give, take) = oneshot::channel();
        self.run_on(worker, move || async move {
            let _ = give.send(nix::unistd::gettid());
        });
        take.blocking_recv().expect("the worker runs")
    }

    /// Runs something on a worker and waits for what it gives, from an ordinary thread.
    ///
    /// # Panics
    ///
    /// If the workers were stopped.
    pub fn run_blocking<T: Send + 'static, F: Future<Output = T> + 'static>(
        &self,
        job: impl FnOnce() -> F + Send + 'static,
    ) -> T {
        let (give, take) = oneshot::channel();
        self.run(move || async move {
            let _ = give.send(job().await);
        });
        take.blocking_recv().expect("the worker runs")
    }

    /// Ends all tasks; returns once the threads are done.
    ///
    /// # Panics
    ///
    /// If a thread panicked with the lock.
    pub fn stop(&self) {
        self.0.stop.send_replace(true);
        for thread in self.0.threads.lock().expect("no panic holds it").drain(..) {
            let _ = thread.join();
        }
    }
}

/// How often a worker notes that it still looks at what comes.
const TURN_INTERVAL: Duration = Duration::from_millis(2);

thread_local! {
    static LAST_TURN: Cell<Option<Instant>> = const { Cell::new(None) };
    /// Since when it last stood still, and until when that counts.
    static LAST_STALL: Cell<Option<(Instant, Instant)>> = const { Cell::new(None) };
}

/// Since when the worker that asks has not looked: what it sees now may have happened at any moment since.
/// Guards against blaming a node for what a starved lab saw late; with cores to spare it stays about 2 ms.
pub fn observation_lag() -> Duration {
    let now = Instant::now();
    // Work that piled up during a stall takes about as long again, so the stall counts beyond the first turn.
    let stood = LAST_STALL.get().filter(|s| now < s.1).map(|s| s.0);
    stood
        .or(LAST_TURN.get())
        .map_or(Duration::ZERO, |looked| now - looked)
}

async fn record_turns() {
    loop {
        let now = Instant::now();
        if let Some(before) = LAST_TURN
            .replace(Some(now))
            .filter(|b| now - *b > 4 * TURN_INTERVAL)
        {
            LAST_STALL.set(Some((before, now + (now - before))));
        }
        tokio::time::sleep(TURN_INTERVAL).await;
    }
}

fn work(mut jobs: mpsc::UnboundedReceiver<Job>, mut stopped: watch::Receiver<bool>) {
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime starts");
    LocalSet::new().block_on(&runtime, async {
        tokio::task::spawn_local(record_turns());
        loop {
            tokio::select! {
                biased;
                _ = stopped.wait_for(|s| *s) => return,
                job = jobs.recv() => match job {
                    Some(job) => drop(tokio::task::spawn_local(job())),
                    None => return,
                }
            }
        }
    });
}
