//! The order in which nodes are changed and the sizes of the stages, drawn by hash: a plan always gives the same ones.
use crate::plan::Plan;

/// Finalizer of MurmurHash3, which spreads each bit of the input over the whole output.
fn mix(x: u64) -> u64 {
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// FNV-1a of the name, seeded and mixed: small, fixed, and the same on every machine.
pub fn hash(seed: u64, name: &str) -> u64 {
    let start = 0xcbf2_9ce4_8422_2325 ^ mix(seed.wrapping_add(1));
    let fnv_1a = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3);
    mix(name.bytes().fold(start, fnv_1a))
}

/// Indices of all nodes in the order in which they are changed. The nodes of each zone are spread over it evenly, so
/// that every stage holds the same fraction of each zone.
pub fn order(plan: &Plan) -> Vec<usize> {
    let draw = |node: usize| hash(plan.seed, &plan.nodes[node].name);
    // Position of a node among those of its zone, as a fraction.
    let position = |node: usize| {
        let zone = &plan.nodes[node].zone;
        let mut earlier = 0;
        let mut all = 0;
        for (other, settings) in plan.nodes.iter().enumerate() {
            if settings.zone == *zone {
                earlier += usize::from(draw(other) < draw(node));
                all += 1;
            }
        }
        (earlier as f64 + 0.5) / all as f64
    };
    let mut order: Vec<usize> = (0..plan.nodes.len()).collect();
    order.sort_by(|&a, &b| {
        let by_position = position(a).total_cmp(&position(b));
        by_position.then(draw(a).cmp(&draw(b)))
    });
    order
}

/// How many nodes are changed at the end of each stage: at least one more each time, all at the last.
pub fn sizes(fractions: &[f64], nodes: usize) -> Vec<usize> {
    let mut sizes: Vec<usize> = Vec::new();
    for fraction in fractions {
        let min = sizes.last().map_or(1, |size| size + 1);
        let size = ((fraction * nodes as f64).ceil() as usize)
            .max(min)
            .min(nodes);
        if sizes.last() != Some(&size) {
            sizes.push(size);
        }
    }
    sizes
}
