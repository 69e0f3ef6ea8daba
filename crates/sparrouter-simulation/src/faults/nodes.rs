//! Troubles of nodes that keep no control state, of all at once, and planned rounds over all.
use super::Trouble::*;
use super::{CATCH_UP, Sky, Trouble};
use crate::fabric::Cut;
use std::time::Duration;
use tokio::time::sleep;

impl Sky {
    pub(super) async fn strike_node(&self, trouble: Trouble) {
        let w = &self.world;
        let Some(name) = self.any(&self.edges()) else {
            return;
        };
        let lasting = self.span(300..4_000);
        match trouble {
            NodeKill => {
                w.kill(&name);
                sleep(lasting).await;
                w.start(&name, false);
            }
            NodePower => {
                w.power_off(&name);
                sleep(lasting).await;
                w.power_on(&name);
            }
            NodeFreeze => {
                w.freeze(&name, true);
                sleep(lasting).await;
                w.freeze(&name, false);
            }
            NodeSlow => {
                w.slow(&name, Duration::from_millis(40));
                sleep(lasting).await;
                w.slow(&name, Duration::ZERO);
            }
            NodeCut => {
                w.cut_off(&[&name], Some(Cut::Silent));
                sleep(lasting).await;
                w.cut_off(&[&name], None);
            }
            _ => {
                w.judge.shaken(Some(w.ip(&name)));
                w.fabric.reset(w.ip(&name));
            }
        }
    }

    pub(super) async fn herd(&self) {
        let _lost = self.core.lock().await;
        let running: Vec<String> = self
            .world
            .names()
            .into_iter()
            .filter(|n| self.world.runs(n))
            .collect();
        running.iter().for_each(|n| self.world.kill(n));
        sleep(self.span(200..1_000)).await;
        for name in running {
            // Another trouble may have started it meanwhile.
            if !self.world.runs(&name) {
                self.world.start(&name, false);
            }
        }
        sleep(CATCH_UP).await;
    }

    pub(super) async fn roll(&self) {
        let _lost = self.core.lock().await;
        for name in self.world.names() {
            if !self.world.runs(&name) || self.rng.borrow_mut().bool() {
                continue;
            }
            self.world.term(&name).await;
            sleep(self.span(300..1_000)).await;
            if !self.world.runs(&name) {
                self.world.start(&name, false);
            }
            sleep(CATCH_UP).await;
        }
    }
}
