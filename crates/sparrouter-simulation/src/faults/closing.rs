//! The final fault, and what must hold once it is over.
use super::{Closing, Sky};
use std::time::Duration;
use tokio::time::sleep;

impl Sky {
    /// The final fault, and what must hold once it is over.
    pub(super) async fn close(&self, closing: Closing) {
        let w = &self.world;
        w.judge.note(format!("-- closing: {closing:?}"));
        if closing != Closing::None {
            let plan = self.plan.lock().await.clone();
            let next = self.another(&plan);
            w.operator.put(&next, plan.version).await;
            let names = w.names();
            let wiped = (closing == Closing::WipeOneOthersLosePower)
                .then(|| self.any(&w.core()))
                .flatten();
            for name in &names {
                if closing == Closing::KillAll {
                    w.kill(name)
                } else {
                    w.power_off(name)
                }
            }
            wiped.iter().for_each(|n| w.wipe(n));
            sleep(Duration::from_millis(1_300)).await;
            for name in &names {
                if closing == Closing::KillAll {
                    w.start(name, false)
                } else {
                    w.power_on(name)
                }
            }
            sleep(w.terms.bounds.recovery).await;
        } else {
            sleep(w.terms.bounds.contact * 2).await;
        }
        self.tally.count_anew();
        sleep(Duration::from_secs(3)).await;
        self.tally.stop().await;
        self.probes_end().await;
        w.judge.day_ends();
        let (sent, served) = self.tally.late.get();
        // Nothing is wrong by now: more than the page asks for.
        if f64::from(served) < 0.9 * f64::from(sent) {
            w.judge.breach(
                "RECOVER",
                format!("{served} of {sent} are served once all is calm"),
            );
        }
        let out: Vec<String> = w
            .names()
            .into_iter()
            .filter(|n| !w.platform.is_in(n))
            .collect();
        if !out.is_empty() {
            w.judge
                .breach("DUTY", format!("{out:?} are not ready once all is calm"));
        }
        let newest = *self.weights.lock().await;
        let old: Vec<String> = self
            .servers()
            .into_iter()
            .filter(|id| w.server(id).version() < newest)
            .collect();
        if !old.is_empty() {
            sleep(w.terms.bounds.version).await;
            let old: Vec<&String> = old
                .iter()
                .filter(|id| w.server_runs(id) && w.server(id).version() < newest)
                .collect();
            if !old.is_empty() {
                w.judge
                    .breach("VERSION", format!("{old:?} never come to weights {newest}"));
            }
        }
        w.operator.read_back().await;
    }
}
