//! What the operator changes: configurations, one or many, in a race, bad ones, keys; and new weights.
use super::Trouble::*;
use super::{Sky, Trouble};
use crate::operator::How;
use crate::plan::{Kind, Plan, Route};

impl Sky {
    /// The next configuration: a route added or taken away, or moved to another time-out.
    pub(super) fn another(&self, plan: &Plan) -> Plan {
        let mut rng = self.rng.borrow_mut();
        // Two on top of the same version differ by their routes too.
        let (step, name) = (
            rng.u64(1..4),
            format!("r{}x{:x}", plan.version, rng.u16(..)),
        );
        let what = rng.u8(..5);
        plan.next(step, |p| match what {
            0 => p.routes[0].timeout_ms = rng.u64(5_000..9_000),
            1 if p.routes.len() > 4 => drop(p.routes.remove(4)),
            2 if p.routes.len() > 4 => p.routes[4].service = "others".to_owned(),
            _ => p.routes.push(Route::new(&name, Kind::Idempotent, "models")),
        })
    }

    pub(super) async fn configure(&self, trouble: Trouble) {
        let w = &self.world;
        let mut plan = self.plan.lock().await;
        match trouble {
            ConfigRace => {
                let (left, right) = (self.another(&plan), self.another(&plan));
                // Two operators may pick the same number for different changes.
                let right = Plan {
                    version: left.version + left.version % 2,
                    ..right
                };
                let (l, r) = tokio::join!(
                    w.operator.put(&left, plan.version),
                    w.operator.put(&right, plan.version)
                );
                match (l, r) {
                    (200, _) => *plan = left,
                    (_, 200) => *plan = right,
                    // Neither is known: what is in force has to be read.
                    _ => self.reread(&mut plan, &[left, right]).await,
                }
            }
            BadConfig => {
                let next = self.another(&plan);
                let body = next
                    .json()
                    .replace("\"service\":\"models\"", "\"service\":\"nobody\"");
                w.operator
                    .change(&next, plan.version, How::Body(body), false)
                    .await;
            }
            ConfigAgain => {
                let step = self.rng.borrow_mut().u64(1..4);
                let next = plan.next(step, |_| ());
                if w.operator.put(&next, plan.version).await != 200 {
                    return self.reread(&mut plan, &[next]).await;
                }
                let later = self.another(&next);
                match w.operator.put(&later, next.version).await {
                    200 => *plan = later,
                    _ => self.reread(&mut plan, &[next.clone(), later]).await,
                }
                w.operator.put(&next, next.version - step).await;
            }
            Revoke => {
                let key = format!("key-{}", self.rng.borrow_mut().u32(..));
                let next = plan.next(2, |p| p.tenants[1].keys = vec![key]);
                if w.operator.patch(&next, &plan).await == 200 {
                    *plan = next;
                }
            }
            _ => {
                for _ in 0..if trouble == ConfigStorm { 8 } else { 1 } {
                    let next = self.another(&plan);
                    let whole = self.rng.borrow_mut().bool();
                    let sent = if whole {
                        w.operator.put(&next, plan.version).await
                    } else {
                        w.operator.patch(&next, &plan).await
                    };
                    match sent {
                        200 => *plan = next,
                        // Taken after all, or not: the newest is read.
                        _ => self.reread(&mut plan, &[next]).await,
                    }
                }
            }
        }
    }

    pub(super) async fn reread(&self, plan: &mut Plan, sent: &[Plan]) {
        for name in self.world.names() {
            let Some(reply) = self
                .world
                .operator
                .get_from(self.world.control_of(&name))
                .await
            else {
                continue;
            };
            let is = |p: &&Plan| reply.text() == p.json();
            if let Some(found) = sent.iter().find(is) {
                return *plan = found.clone();
            }
        }
    }

    pub(super) async fn bump(&self) {
        let mut weights = self.weights.lock().await;
        *weights += 1;
        self.world.newest_weights.set(*weights);
        if !self.world.operator.name_version(*weights).await {
            self.world.judge.breach(
                "ACKS",
                format!("weights {} were never acknowledged", *weights),
            );
        }
    }
}
