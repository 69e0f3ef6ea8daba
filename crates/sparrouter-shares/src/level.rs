//! Max-min fairness among the borrowers of one lender: each borrower gets a common level, or its demand if that is less
//! (Bertsekas and Gallager, "Data Networks", 2nd edition, 1992, section 6.5.2).

/// Returns the max-min fair level at which `pool` is divided among `demands`; infinite if the pool covers all demands.
///
/// Each borrower gets the minimum of its demand and the level.
pub fn level(pool: f64, demands: impl Iterator<Item = f64>) -> f64 {
    let mut ascending: Vec<f64> = demands.collect();
    ascending.sort_by(f64::total_cmp);
    let mut remaining = pool;
    let mut unfilled = ascending.len() as f64;
    for demand in ascending {
        let equal_share = remaining / unfilled;
        if demand > equal_share {
            return equal_share;
        }
        remaining -= demand;
        unfilled -= 1.0;
    }
    f64::INFINITY
}

#[cfg(test)]
mod tests {
    use super::level;
    use proptest::prelude::{ProptestConfig, prop, prop_assert, proptest};

    #[test]
    fn given_three_demands_when_the_pool_is_scarce_then_the_smallest_is_filled_and_the_others_share_equally()
     {
        let demands = [10.0, 10.0, 1.0];
        let level_of_7 = level(7.0, demands.into_iter());
        assert_eq!(demands.map(|d: f64| d.min(level_of_7)), [3.0, 3.0, 1.0]);
        assert!(level(100.0, demands.into_iter()).is_infinite());
    }

    proptest! {
        #![proptest_config(ProptestConfig { cases: 400, ..ProptestConfig::default() })]
        #[test]
        fn given_any_pool_and_demands_when_divided_then_the_pool_is_used_up_or_all_demands_are_filled(
            pool in 0.0..50.0f64, demands in prop::collection::vec(0.0..9.0f64, 1..12),
        ) {
            let level = level(pool, demands.iter().copied());
            let filled: f64 = demands.iter().map(|d| d.min(level)).sum();
            let demanded: f64 = demands.iter().sum();
            prop_assert!((filled - pool.min(demanded)).abs() < 1e-6, "filled {}, pool {}, demanded {}", filled, pool, demanded);
        }
    }
}
