//! Direct questions to each node that takes clients, as the platform asks them: on routes and with keys that are in
//! force, were, or never came to be. What the node answers shows which configuration it goes by.
use super::Sky;
use crate::client::Wish;
use crate::plan::{Kind, Plan};
use crate::world::wish;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Of so many of the last configurations, and so long a question may take.
const LAST: usize = 5;
const PATIENCE: Duration = Duration::from_secs(2);

impl Sky {
    pub(super) async fn probe(self: Rc<Self>) {
        let w = &self.world;
        while !self.over.get() {
            sleep(self.span(30..150)).await;
            let in_service: Vec<String> = w
                .names()
                .into_iter()
                .filter(|n| w.runs(n) && w.platform.is_in(n))
                .collect();
            let Some(name) = self.any(&in_service) else {
                continue;
            };
            let Some(wish) = self.question() else {
                continue;
            };
            let (front, sky) = (w.front_of(&name), self.clone());
            let life = w.platform.life(front.ip());
            sky.asking.set(sky.asking.get() + 1);
            spawn_local(async move {
                sky.world.client(false).get_at(&wish, front, life).await;
                sky.asking.set(sky.asking.get() - 1);
            });
        }
    }

    fn question(&self) -> Option<Wish> {
        let last = self.world.judge.last_sent(LAST);
        let routes = self.any(&last)?.routes;
        // The last that was added, as often as any.
        let newest = self.rng.borrow_mut().bool();
        let route = if newest {
            routes.last().cloned()
        } else {
            self.any(&routes)
        }?;
        let keys = |p: &Plan| {
            p.tenants
                .iter()
                .flat_map(|t| t.keys.clone())
                .collect::<Vec<_>>()
        };
        let key = self.any(&last.iter().flat_map(keys).collect::<Vec<_>>())?;
        let unknown = self.rng.borrow_mut().u8(..12) == 0;
        let prefix = if unknown {
            "/never/".to_owned()
        } else {
            route.prefix
        };
        let word = if route.kind.streams() { "s4" } else { "b10" };
        let asked = wish(Kind::Idempotent, word);
        Some(Wish {
            path: format!("{prefix}{word}"),
            kind: route.kind,
            key,
            deadline: PATIENCE,
            retries: 0,
            ..asked
        })
    }

    /// No more of them, and the last has its answer.
    pub(super) async fn probes_end(&self) {
        self.over.set(true);
        while self.asking.get() > 0 {
            sleep(Duration::from_millis(20)).await;
        }
    }
}
