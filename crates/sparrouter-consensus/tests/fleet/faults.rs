//! Faults by seed: losses of power and disks, cuts, freezes, disks in trouble, machines replaced.
use super::copies::synced_vote;
use super::{CONTACT, Event, Fleet, MILLISECOND, Nanos};

/// A machine that lost its disk still counts as lost for so long.
const CATCH_UP: Nanos = 4 * CONTACT;

/// Between two looks of a leaving machine whether it may go.
const LEAVES: Nanos = CONTACT / 4;

/// How the net is at the moment, in parts of 256.
#[derive(Clone, Copy, Debug, Default)]
pub struct Net {
    pub loss: u8,
    pub repeat: u8,
    /// Copies that wander for a second or two.
    pub stray: u8,
    /// Longest delay.
    pub delay: Nanos,
}

impl Net {
    pub fn calm() -> Net {
        Net {
            loss: 0,
            repeat: 0,
            stray: 0,
            delay: 4 * MILLISECOND,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disk {
    Well,
    Slow,
    Stalls,
    Fails,
    Full,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    Kill,
    Power,
    /// Power of all at once.
    Site,
    Wipe,
    Replace,
    Leave,
    /// One machine fails again and again, each time back before its last messages have arrived.
    Flap,
    Cut,
    Split,
    Freeze,
    Disk,
    Net,
}

/// Which faults a storm is made of: all, or few and many of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Weather {
    #[default]
    Mixed,
    Flaps,
    Leaves,
    Wipes,
    /// Members leave while disks stall.
    Joins,
}

impl Weather {
    fn weights(self) -> &'static [(Fault, u16)] {
        match self {
            Weather::Mixed => &[
                (Fault::Kill, 3),
                (Fault::Power, 2),
                (Fault::Site, 1),
                (Fault::Wipe, 2),
                (Fault::Replace, 1),
                (Fault::Leave, 1),
                (Fault::Flap, 1),
                (Fault::Cut, 2),
                (Fault::Split, 1),
                (Fault::Freeze, 2),
                (Fault::Disk, 3),
                (Fault::Net, 2),
            ],
            Weather::Flaps => &[(Fault::Flap, 4), (Fault::Net, 1)],
            Weather::Leaves => &[(Fault::Leave, 4), (Fault::Split, 2), (Fault::Net, 1)],
            Weather::Joins => &[(Fault::Leave, 4), (Fault::Disk, 4), (Fault::Replace, 1)],
            Weather::Wipes => &[
                (Fault::Wipe, 3),
                (Fault::Cut, 2),
                (Fault::Disk, 2),
                (Fault::Net, 1),
            ],
        }
    }
}

impl Fleet {
    /// One fault, and the time of the next.
    pub fn fault(&mut self) {
        if self.now >= self.storm_ends {
            return;
        }
        let pause = self.rng.u64(20..500) * MILLISECOND;
        self.at(pause, Event::Fault);
        let present: Vec<usize> = (0..self.nodes.len())
            .filter(|&n| !self.nodes[n].gone)
            .collect();
        let node = present[self.rng.usize(..present.len())];
        let span = self.rng.u64(20..1_500) * MILLISECOND;
        let weights = self.weather.weights();
        let sum: u16 = weights.iter().map(|w| w.1).sum();
        let mut drawn = self.rng.u16(..sum);
        let kind = weights.iter().find(|w| {
            let hit = drawn < w.1;
            drawn = drawn.saturating_sub(w.1);
            hit
        });
        let Some(&(kind, _)) = kind else { return };
        // Now and then it is back before its last messages have arrived.
        let back = if span.is_multiple_of(2) {
            span / 100
        } else {
            span / 4
        };
        match kind {
            Fault::Kill => self.kill(node, back),
            Fault::Power => self.lose_power(node, back),
            Fault::Site => {
                for node in present {
                    let back = self.rng.u64(..1_000) * MILLISECOND;
                    self.lose_power(node, back);
                }
            }
            Fault::Wipe if self.may_lose_disk() => self.wipe(node, span / 4),
            Fault::Replace if self.may_lose_disk() => self.replace(node),
            Fault::Wipe | Fault::Replace => {}
            Fault::Leave => self.leave(node),
            Fault::Flap => {
                for _ in 0..8 {
                    let after = self.rng.u64(..800) * MILLISECOND;
                    self.at(after, Event::Flap { node });
                }
            }
            Fault::Cut => {
                let other = present[self.rng.usize(..present.len())];
                let both = self.rng.bool();
                self.log(|| {
                    format!(
                        "cut {node} to {other}, both ways {both}, {} ms",
                        span / MILLISECOND
                    )
                });
                self.cuts.push((node, other, self.now + span));
                if both {
                    self.cuts.push((other, node, self.now + span));
                }
            }
            Fault::Split => {
                let side: Vec<bool> = (0..self.nodes.len()).map(|_| self.rng.bool()).collect();
                self.log(|| format!("cut in two: {side:?}, {} ms", span / MILLISECOND));
                for a in 0..side.len() {
                    for b in (0..side.len()).filter(|&b| side[a] != side[b]) {
                        self.cuts.push((a, b, self.now + span));
                    }
                }
            }
            Fault::Freeze => {
                self.log(|| format!("freeze {node}, {} ms", span / MILLISECOND));
                self.nodes[node].frozen_until = self.now + span;
            }
            Fault::Disk => {
                let trouble =
                    [Disk::Slow, Disk::Stalls, Disk::Fails, Disk::Full][self.rng.usize(..4)];
                self.log(|| format!("disk of {node} {trouble:?}, {} ms", span / MILLISECOND));
                self.nodes[node].disk = (trouble, self.now + span);
            }
            Fault::Net => {
                let net = Net {
                    loss: self.rng.u8(..90),
                    repeat: self.rng.u8(..60),
                    stray: self.rng.u8(..40),
                    delay: self.rng.u64(1..120) * MILLISECOND,
                };
                self.log(|| format!("{net:?}"));
                self.net = net;
            }
        }
    }

    /// Only as many disks as the first group can spare may be lost at one time, spares' too. Until every disk that is
    /// left has a group without the lost ones, they still count: this is what `catch_up_s` is for.
    fn may_lose_disk(&self) -> bool {
        self.lost_disks().len() < self.tolerated()
    }

    /// Disks that count as lost at the moment.
    pub fn lost_disks(&self) -> Vec<u64> {
        let (newest, members) = self
            .judge
            .newest_state()
            .map(|s| (s.slot, s.members.clone()))
            .unwrap_or_default();
        let votes = self
            .nodes
            .iter()
            .filter(|n| !n.gone)
            .filter_map(synced_vote);
        let under_way = votes
            .filter(|v| v.state.slot >= newest)
            .flat_map(|v| v.electorate());
        let mut dead: Vec<u64> = members
            .into_iter()
            .chain(under_way)
            .map(|m| m.disk_id)
            .collect();
        dead.retain(|&disk| {
            !self
                .nodes
                .iter()
                .any(|n| !n.gone && n.member.disk_id == disk)
        });
        dead.extend(
            self.lost
                .iter()
                .filter(|l| l.1 + CATCH_UP > self.now)
                .map(|l| l.0),
        );
        dead.sort_unstable();
        dead.dedup();
        dead
    }

    pub fn kill(&mut self, node: usize, back: Nanos) {
        if self.nodes[node].register.take().is_none() {
            return;
        }
        self.log(|| format!("kill {node}"));
        self.die_in_a_save(node);
        self.nodes[node].files.clear_failure();
        self.at(back, Event::Start { node });
    }

    pub fn lose_power(&mut self, node: usize, back: Nanos) {
        let ran = self.nodes[node].register.take().is_some();
        self.log(|| format!("power of {node} lost"));
        if ran {
            self.die_in_a_save(node);
            self.at(back, Event::Start { node });
        }
        self.nodes[node].files.lose_power();
    }

    pub fn wipe(&mut self, node: usize, back: Nanos) {
        self.log(|| format!("wipe {node}"));
        let ran = self.nodes[node].register.take().is_some();
        self.nodes[node].files.wipe();
        self.nodes[node].store = None;
        self.lost.push((self.nodes[node].member.disk_id, self.now));
        self.copies_changed = true;
        // From now on nobody has this disk any more, also while its machine is down.
        if !self.defects.wiped_keeps_id {
            self.nodes[node].member.disk_id = 0;
        }
        if ran {
            self.at(back, Event::Start { node });
        }
    }

    fn replace(&mut self, node: usize) {
        self.nodes[node].register = None;
        self.nodes[node].gone = true;
        self.copies_changed = true;
        self.lost.push((self.nodes[node].member.disk_id, self.now));
        if self.nodes[node].leaving {
            // Its successor came when it began to leave.
            return self.log(|| format!("{node} is lost while it leaves"));
        }
        let new = self.add_machine();
        self.log(|| format!("replace {node} by {new}"));
        self.at(100 * MILLISECOND, Event::Start { node: new });
    }

    /// It tells that it leaves, another one comes; it goes when it is in no group any more.
    fn leave(&mut self, node: usize) {
        if self.nodes[node].leaving || self.nodes.iter().any(|n| n.leaving && !n.gone) {
            return;
        }
        let new = self.add_machine();
        self.log(|| format!("{node} leaves, {new} comes"));
        self.nodes[node].leaving = true;
        self.at(0, Event::Start { node: new });
        self.at(LEAVES, Event::Leave { node });
    }

    pub fn left(&mut self, node: usize) {
        if self.nodes[node].gone {
            return;
        }
        if !self.nodes[node]
            .register
            .as_ref()
            .is_some_and(|r| r.may_leave())
        {
            return self.at(LEAVES, Event::Leave { node });
        }
        self.copies_changed = true;
        self.log(|| format!("{node} is gone"));
        self.nodes[node].register = None;
        self.nodes[node].gone = true;
    }

    pub fn mend_all(&mut self) {
        self.log(|| "all faults end".to_owned());
        self.net = Net::calm();
        self.cuts.clear();
        for node in &mut self.nodes {
            node.frozen_until = 0;
            node.disk = (Disk::Well, 0);
        }
    }
}
