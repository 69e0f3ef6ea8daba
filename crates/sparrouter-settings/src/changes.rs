//! Other settings for a node at work: what of them it can take up, and where their operations and tenants stand. No I/O.
use crate::names::NameTable;
use crate::object::Settings;
use sparrouter_balancer::types::OperationMapping;

/// Where what is new stands among what was there.
#[derive(Debug, PartialEq)]
pub struct SettingsChange {
    /// By operation of the new settings.
    pub operations: Vec<OperationMapping>,
    /// By tenant of the new settings: which it was.
    pub tenants: Vec<Option<usize>>,
}

impl Settings {
    /// What differs in `new` and can't change while the node runs, in the operators' words.
    pub fn fixed(&self, new: &Settings) -> Vec<&'static str> {
        let origin = |s: &Settings| s.origin_kind().and_then(|k| s.kinds.get(k).cloned());
        let (a, b) = (&self.limits, &new.limits);
        [
            // How the list comes, and what it says of size, holds for the list in hand too.
            ("Discovery", self.discovery != new.discovery),
            ("Weights", self.weights != new.weights),
            (
                "FamilyInfo",
                self.family_info.mode != new.family_info.mode || origin(self) != origin(new),
            ),
            ("TickUs", self.tick_us != new.tick_us),
            // Sockets and links are made by these once.
            ("Limits.Peers", a.peers != b.peers),
            (
                "Limits.DialTimeoutUs",
                a.dial_timeout_us != b.dial_timeout_us,
            ),
            ("Limits.ConnIdleUs", a.conn_idle_us != b.conn_idle_us),
            ("Limits.SecondCopies", a.second_copies != b.second_copies),
            (
                "Safety.AskEveryUs",
                self.safety.ask_every_us != new.safety.ask_every_us,
            ),
            // What is gone already would have to be taken back.
            (
                "Safety.GoneIsAdvice",
                self.safety.gone_is_advice != new.safety.gone_is_advice,
            ),
        ]
        .into_iter()
        .filter(|(_, differs)| *differs)
        .map(|(name, _)| name)
        .collect()
    }

    /// Invocations of one operation come under the same rules before and after.
    fn same(&self, new: &Settings, old: usize, at: usize) -> bool {
        self.classes[old] == new.classes[at] && self.limits == new.limits
    }
}

impl NameTable {
    /// Takes up operations and tenants of other settings. An operation that changes moves to a place of its own,
    /// `busy` ones are another's as long as anything that came under them is in hand.
    pub fn apply_settings(
        &mut self,
        old: &Settings,
        new: &Settings,
        busy: impl Fn(usize) -> bool,
    ) -> SettingsChange {
        let was = |name: &str| old.classes.iter().position(|c| c.name == name);
        let mut operations = Vec::with_capacity(new.classes.len());
        let mut used: Vec<usize> = Vec::new();
        for (n, class) in new.classes.iter().enumerate() {
            let from = self.operation(class.name.as_bytes());
            let stays = from.filter(|_| was(&class.name).is_some_and(|o| old.same(new, o, n)));
            operations.push(OperationMapping {
                new_index: stays.unwrap_or(usize::MAX),
                old_index: from,
            });
            used.extend(stays);
        }
        // Places in use before are learnt from, and not given away in the same step.
        let before: Vec<usize> = self.operation_indices().collect();
        for taken in operations.iter_mut().filter(|t| t.new_index == usize::MAX) {
            let free = |p: &usize| !used.contains(p) && !before.contains(p) && !busy(*p);
            taken.new_index = (0..).find(free).unwrap_or(usize::MAX);
            used.push(taken.new_index);
        }
        let tenants = new
            .tenants
            .iter()
            .map(|t| self.tenant(t.name.as_bytes()))
            .collect();
        self.rename(
            new.classes
                .iter()
                .zip(&operations)
                .map(|(c, t)| (c.name.clone().into_bytes(), t.new_index))
                .collect(),
            new.tenants
                .iter()
                .enumerate()
                .map(|(n, t)| (t.name.clone().into_bytes(), n))
                .collect(),
        );
        SettingsChange {
            operations,
            tenants,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn settings(operations: &[(&str, i64)], tenants: &[&str], forwards: usize) -> Settings {
        let classes: Vec<String> = operations
            .iter()
            .map(|(n, us)| {
                format!(r#"{{"Name":"{n}","ObjectiveUs":{us},"DeadlineUs":900000,"Effect":"read_like"}}"#)
            })
            .collect();
        let tenants: Vec<String> = tenants
            .iter()
            .map(|t| format!(r#"{{"Name":"{t}","QuotaPerS":5,"Share":1}}"#))
            .collect();
        let text = format!(
            r#"{{"Areas":[],"Classes":[{}],"Tenants":[{}],"Limits":{{"MaxAttempts":{forwards}}},
             "Safety":{{"AnswerSlackUs":0,"StartCapacity":0.2,"ColdUs":1,"FallMultiple":3,"FallUs":1}}}}"#,
            classes.join(","),
            tenants.join(",")
        );
        serde_json::from_str(&text).unwrap()
    }
    fn taken(at: usize, from: Option<usize>) -> OperationMapping {
        OperationMapping {
            new_index: at,
            old_index: from,
        }
    }

    #[test]
    fn what_changes_moves_and_what_is_in_hand_keeps_its_place() {
        let old = settings(&[("get", 100), ("put", 200)], &["a", "b"], 3);
        let mut names = NameTable::new(&old);
        // One operation's objective changes, one goes, one comes; a tenant comes before the others.
        let new = settings(&[("scan", 50), ("get", 300)], &["c", "b"], 3);
        let up = names.apply_settings(&old, &new, |p| p == 1);
        assert_eq!(up.operations, [taken(2, None), taken(3, Some(0))]);
        assert_eq!(up.tenants, [None, Some(1)]);
        assert_eq!(
            (names.operation(b"put"), names.operation(b"get")),
            (None, Some(3))
        );
        assert_eq!((names.tenant(b"a"), names.tenant(b"c")), (None, Some(0)));
        // Nothing under the first two any more: their places are others'.
        let later = settings(&[("scan", 50), ("get", 400)], &["c", "b"], 3);
        let up = names.apply_settings(&new, &later, |_| false);
        assert_eq!(up.operations, [taken(2, Some(2)), taken(0, Some(3))]);
        // Other limits move all.
        let limited = settings(&[("scan", 50), ("get", 400)], &["c", "b"], 2);
        let up = names.apply_settings(&later, &limited, |p| p == 1);
        assert_eq!(up.operations, [taken(3, Some(2)), taken(4, Some(0))]);
    }

    /// Whatever is reloaded and whatever is still in hand, no place in use is another's.
    #[test]
    fn places_never_mix_and_stay_few() {
        let mut rng = fastrand::Rng::with_seed(5);
        let mut now = settings(&[("a", 1), ("b", 1)], &[], 3);
        let mut names = NameTable::new(&now);
        let mut open: Vec<(usize, String)> = Vec::new();
        let mut most = 0;
        for _ in 0..2000 {
            let all = ["a", "b", "c", "d"];
            let drawn: Vec<(&str, i64)> = all
                .iter()
                .map(|n| (*n, rng.i64(-2..4)))
                .filter(|(_, us)| *us > 0)
                .collect();
            let new = settings(&drawn, &[], rng.usize(2..4));
            open.retain(|_| rng.f64() < 0.6);
            let busy: Vec<usize> = open.iter().map(|o| o.0).collect();
            let up = names.apply_settings(&now, &new, |p| busy.contains(&p));
            let mut at: Vec<usize> = up.operations.iter().map(|t| t.new_index).collect();
            most = at.iter().copied().chain([most]).max().unwrap();
            for ((name, us), t) in drawn.iter().zip(&up.operations) {
                let under = format!("{name} {us} {}", new.limits.max_attempts);
                for (_, rules) in open.iter().filter(|o| o.0 == t.new_index) {
                    assert_eq!(*rules, under, "a place in hand became another's");
                }
                open.push((t.new_index, under));
            }
            at.sort_unstable();
            at.dedup();
            assert_eq!(at.len(), drawn.len());
            now = new;
        }
        assert!(most < 30, "{most}");
    }

    #[test]
    fn what_cannot_change_is_named() {
        let (old, mut new) = (
            settings(&[("a", 1)], &[], 3),
            settings(&[("a", 2)], &["t"], 2),
        );
        assert!(old.fixed(&new).is_empty());
        (new.tick_us, new.limits.second_copies) = (7, true);
        assert_eq!(old.fixed(&new), ["TickUs", "Limits.SecondCopies"]);
    }
}
