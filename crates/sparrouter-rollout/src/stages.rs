//! Who comes when: nested stages, spread over zones, drawn by hash, so that the same plan draws the same.
use crate::plan::Plan;

fn mix(x: u64) -> u64 {
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// FNV-1a over seed and name: small, fixed, and the same on every machine.
pub fn hash(seed: u64, name: &str) -> u64 {
    let start = 0xcbf2_9ce4_8422_2325 ^ mix(seed.wrapping_add(1));
    mix(name.bytes().fold(start, |h, b| {
        (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3)
    }))
}

/// All nodes in the order in which they are changed. Each zone's nodes stand in it evenly, so that every stage has
/// of each zone about its part.
pub fn order(plan: &Plan) -> Vec<usize> {
    let draw = |n: usize| hash(plan.seed, &plan.nodes[n].name);
    let place = |n: usize| {
        let zone = &plan.nodes[n].zone;
        let of_zone = plan
            .nodes
            .iter()
            .enumerate()
            .filter(|(_, other)| other.zone == *zone);
        let (before, all) = of_zone.fold((0, 0), |(before, all), (o, _)| {
            (before + usize::from(draw(o) < draw(n)), all + 1)
        });
        (before as f64 + 0.5) / all as f64
    };
    let mut order: Vec<usize> = (0..plan.nodes.len()).collect();
    order.sort_by(|&a, &b| place(a).total_cmp(&place(b)).then(draw(a).cmp(&draw(b))));
    order
}

/// How many nodes are changed at the end of each stage: at least one more each time, all at the last.
pub fn sizes(parts: &[f64], nodes: usize) -> Vec<usize> {
    let mut sizes: Vec<usize> = Vec::new();
    for part in parts {
        let least = sizes.last().map_or(1, |s| s + 1);
        let size = ((part * nodes as f64).ceil() as usize)
            .max(least)
            .min(nodes);
        if sizes.last() != Some(&size) {
            sizes.push(size);
        }
    }
    sizes
}
