//! Order in which nodes are changed, and sizes of the stages. The order is derived from a seeded hash of the node names,
//! so a plan always gives the same result.
use crate::plan::Plan;

/// Finalizer of splitmix64 (variant 13 of Stafford's mixers): each bit of the input affects the whole output.
fn mix(x: u64) -> u64 {
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Seeded and mixed FNV-1a hash of a name: small, with a fixed definition, and the same on every machine.
pub fn hash(seed: u64, name: &str) -> u64 {
    let start = 0xcbf2_9ce4_8422_2325 ^ mix(seed.wrapping_add(1));
    let fnv_1a = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3);
    mix(name.bytes().fold(start, fnv_1a))
}

/// Returns the indices of all nodes in the order in which they are changed. The nodes of each zone are spread evenly
/// over the order, so that every stage contains the same fraction of each zone.
pub fn order(plan: &Plan) -> Vec<usize> {
    let hash_of = |node: usize| hash(plan.seed, &plan.nodes[node].name);
    // Relative position of a node among the nodes of its zone, in (0, 1).
    let position = |node: usize| {
        let zone = &plan.nodes[node].zone;
        let mut preceding = 0;
        let mut in_zone = 0;
        for (candidate, settings) in plan.nodes.iter().enumerate() {
            if settings.zone == *zone {
                preceding += usize::from(hash_of(candidate) < hash_of(node));
                in_zone += 1;
            }
        }
        (preceding as f64 + 0.5) / in_zone as f64
    };
    let mut order: Vec<usize> = (0..plan.nodes.len()).collect();
    order.sort_by(|&a, &b| {
        let by_position = position(a).total_cmp(&position(b));
        by_position.then(hash_of(a).cmp(&hash_of(b)))
    });
    order
}

/// Returns the number of changed nodes at the end of each stage. Each stage adds at least one node, and the last one
/// includes all nodes.
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
