//! Cuts of one core machine, in all the ways that links between it and the others can fail.
use super::World;
use crate::fabric::Cut;
use std::net::IpAddr;

/// Which links of a core machine fail. Links to clients, operators and servers stay up in all cases.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CutWay {
    /// To all machines of the fleet.
    All,
    /// To the other core machines.
    Core,
    /// To the other core machines and all machines of other zones.
    Near,
    /// From the other core machines to this one: what they send does not arrive here.
    Inward,
    /// From this one to the other core machines: what it sends does not arrive there.
    Outward,
}

impl CutWay {
    pub const ALL: [CutWay; 5] = [
        CutWay::All,
        CutWay::Core,
        CutWay::Near,
        CutWay::Inward,
        CutWay::Outward,
    ];
}

impl World {
    /// Cuts a core machine off in this way, or joins it again.
    pub fn cut_core(&self, name: &str, way: CutWay, cut: Option<Cut>) {
        self.judge.note(format!("{name} cut off {way:?}: {cut:?}"));
        let ip = self.ip(name);
        for other in self.names().iter().filter(|n| *n != name) {
            self.cut_link(name, ip, other, way, cut);
        }
        match cut {
            Some(_) => self.trouble(name),
            None => {
                self.judge.calm(Some(ip));
                self.judge.thawed(ip);
                self.shake(ip, true);
            }
        }
    }

    fn cut_link(&self, name: &str, ip: IpAddr, other: &str, way: CutWay, cut: Option<Cut>) {
        let is_core = self.core().iter().any(|n| n == other);
        let other_zone = self.zone_of(other) != self.zone_of(name);
        let far = self.ip(other);
        match way {
            CutWay::All => self.fabric.cut_both(ip, far, cut),
            CutWay::Core if is_core => self.fabric.cut_both(ip, far, cut),
            CutWay::Near if is_core || other_zone => self.fabric.cut_both(ip, far, cut),
            CutWay::Inward if is_core => self.fabric.cut(far, ip, cut),
            CutWay::Outward if is_core => self.fabric.cut(ip, far, cut),
            CutWay::Core | CutWay::Near | CutWay::Inward | CutWay::Outward => {}
        }
    }
}
