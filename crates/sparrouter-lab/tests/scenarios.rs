//! Reading scenarios: what is wrong is named by file, line and field, and nothing starts.
use sparrouter_lab::scenario::arrivals::{Arrival, Arrivals};
use sparrouter_lab::scenario::{Scenario, schedule};
use std::process::Command;

fn wrong(text: &str) -> String {
    Scenario::parse("x.toml", text)
        .expect_err("it can't be played")
        .to_string()
}

const GOOD: &str = "name = \"x\"\nseed = 1\nlength_s = 10\n[load]\nrate_per_s = 100\n";

#[test]
fn an_unknown_field_a_wrong_range_and_an_unknown_kind_are_named_with_their_line() {
    let unknown = wrong(&format!("{GOOD}rate = 3\n"));
    assert!(
        unknown.starts_with("x.toml:6: rate: ") && unknown.contains("unknown field"),
        "{unknown}"
    );
    let kind = wrong(&format!("{GOOD}[[fault]]\nkind = \"quake\"\nat_s = 1\n"));
    assert!(
        kind.starts_with("x.toml:7: kind: ") && kind.contains("quake") && kind.contains("crash"),
        "{kind}"
    );
    let range = wrong(&format!(
        "{GOOD}[[fault]]\nkind = \"hang\"\nat_s = 1\nlength_s = 1\npart = 0.1\n\n[[fault]]\nkind = \"crash\"\n\
         at_s = 11\nlength_s = 1\npart = 1.5\n"
    ));
    assert!(
        range.contains("x.toml:14: fault[1].at_s: 11 is not allowed; 0 to 10 is"),
        "{range}"
    );
    assert!(
        range.contains("x.toml:16: fault[1].part: 1.5 is not allowed; 0 to 1 is"),
        "{range}"
    );
}

#[test]
fn what_contradicts_itself_is_refused() {
    let op = "[[operation]]\nname = \"w\"\neffect = \"deduplicated\"\nobjective_ms = 100\nclient_timeout_ms = 50\n";
    let all = wrong(&format!("{GOOD}{op}"));
    for what in ["objective_ms", "write = true", "window_ms"] {
        assert!(all.contains(what), "{what}: {all}");
    }
    let link = "[[fault]]\nkind = \"links\"\nat_s = 1\nlength_s = 1\nbefore = \"caches\"\npart = 0.5\nhow = \"reset\"\n";
    assert!(wrong(&format!("{GOOD}{link}")).contains("no [[link]] stands before caches"));
}

#[test]
fn the_program_exits_with_2_and_starts_nothing() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("bad.toml");
    std::fs::write(&path, format!("{GOOD}[caches]\ncount = 0\n")).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_sparrouter-lab"));
    let out = command
        .arg("play")
        .arg(&path)
        .current_dir(folder.path())
        .output()
        .unwrap();
    let text = String::from_utf8(out.stderr).unwrap();
    assert_eq!(out.status.code(), Some(2));
    assert!(
        text.contains("bad.toml:7: caches.count: 0 is not allowed; 1 to 4000 is"),
        "{text}"
    );
    assert!(out.stdout.is_empty() && !folder.path().join("runs").exists());
}

/// How many scenarios this program ships at least.
const SHIPPED: usize = 25;

fn shipped() -> Vec<Scenario> {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/../../scenarios");
    let mut paths: Vec<_> = std::fs::read_dir(folder)
        .unwrap()
        .map(|f| f.unwrap().path())
        // Days for the fleet's bench have a folder of their own.
        .filter(|path| path.is_file())
        .collect();
    assert!(paths.len() >= SHIPPED, "{} scenarios", paths.len());
    paths.sort();
    paths
        .iter()
        .map(|p| {
            Scenario::read(p)
                .unwrap_or_else(|e| panic!("{e}"))
                .with_defaults()
        })
        .collect()
}

#[test]
fn one_seed_gives_the_same_arrivals_and_faults_and_another_gives_others() {
    let drawn = |s: &Scenario| {
        let arrivals: Vec<Arrival> = Arrivals::new(s).take(5000).collect();
        (format!("{arrivals:?}"), format!("{:?}", schedule::draw(s)))
    };
    for s in shipped() {
        assert_eq!(drawn(&s), drawn(&s), "{}", s.name);
        let other = Scenario {
            seed: s.seed + 1,
            ..s.clone()
        };
        assert_ne!(drawn(&s).0, drawn(&other).0, "{}", s.name);
    }
}

/// What a node answers, or its program, is no part of what is drawn: bursts and ramps come as written.
#[test]
fn rates_follow_bursts_and_ramps() {
    let count = |text: &str, from: f64, to: f64| {
        let s = Scenario::parse("x", &format!("{GOOD}{text}"))
            .unwrap()
            .with_defaults();
        let inside = |a: &Arrival| (from..to).contains(&(a.at as f64 / 1e9));
        Arrivals::new(&s).filter(inside).count()
    };
    let burst = "[[fault]]\nkind = \"burst\"\nat_s = 4\nlength_s = 2\ntimes = 5\n";
    assert!(
        (850..1150).contains(&count(burst, 4.0, 6.0)),
        "{}",
        count(burst, 4.0, 6.0)
    );
    assert!((320..480).contains(&count(burst, 0.0, 4.0)));
    let ramp = "ramp_to = 4\n";
    assert!(count(ramp, 8.0, 10.0) > 2 * count(ramp, 0.0, 2.0));
    let hot = "[[fault]]\nkind = \"hot_key\"\nat_s = 0\nlength_s = 10\npart = 0.5\nkeys = 1\n";
    let s = Scenario::parse("x", &format!("{GOOD}{hot}"))
        .unwrap()
        .with_defaults();
    let all: Vec<u64> = Arrivals::new(&s).map(|a| a.key).collect();
    let mut counts = std::collections::HashMap::new();
    all.iter().for_each(|k| *counts.entry(k).or_insert(0) += 1);
    let most = *counts.values().max().unwrap() as f64 / all.len() as f64;
    assert!((0.4..0.6).contains(&most), "{most}");
}

/// Each fault finds the fleet that the ones before have left; nobody who is gone crashes.
#[test]
fn faults_follow_each_other_on_one_fleet() {
    use sparrouter_lab::scenario::schedule::Action;
    let text = "[[fault]]\nkind = \"shrink\"\nat_s = 1\nlength_s = 1\npart = 0.5\ndrain_s = 0.5\n\
                [[fault]]\nkind = \"crash\"\nat_s = 6\nlength_s = 1\npart = 1\n\
                [[fault]]\nkind = \"grow\"\nat_s = 8\ntimes = 3\n";
    let s = Scenario::parse("x", &format!("{GOOD}{text}"))
        .unwrap()
        .with_defaults();
    let drawn = schedule::draw(&s);
    let of = |from: f64, to: f64, pick: fn(&Action) -> Option<usize>| -> Vec<usize> {
        let inside = |at: u64| (from..to).contains(&(at as f64 / 1e9));
        let mut all: Vec<usize> = drawn
            .steps
            .iter()
            .filter(|s| inside(s.at))
            .filter_map(|s| pick(&s.act))
            .collect();
        all.sort_unstable();
        all
    };
    let drained = of(0.0, 6.0, |a| {
        if let Action::Drain(n) = a {
            Some(*n)
        } else {
            None
        }
    });
    let crashed = of(6.0, 7.0, |a| {
        if let Action::Die(n) = a {
            Some(*n)
        } else {
            None
        }
    });
    assert_eq!((drained.len(), crashed.len()), (4, 4));
    assert!(crashed.iter().all(|c| !drained.contains(c)));
    assert_eq!(drawn.caches, 8 + 8);
}
