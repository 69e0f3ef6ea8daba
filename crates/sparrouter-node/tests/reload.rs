//! SIGHUP: changed files are applied completely or not at all.
mod harness;

use harness::*;
use sparrouter_lab::scripted::{Act, Discovery, Server, listen, target, until};
use std::io::BufRead;
use std::net::SocketAddr;
use std::process::{Command, Stdio};
use std::thread::sleep;
use std::time::Instant;

/// Guards against a node that exits at SIGHUP, and against a node that keeps the old discovery address.
#[test]
fn sighup_changes_the_discovery_address_without_interrupting_service() {
    let (cache, origin) = (Server::always(Act::Hit), Server::always(Act::Late(600)));
    let mut w = start_node(&[&cache], origin.at, 256);
    until("the subscription", || w.discovery.calls() == 1);
    let mut slow = w.client();
    send_request(&mut slow, "PUT", "/api/k", "slow", "pay", "new");
    // A malformed file changes nothing.
    for bad in ["{", &w.config.replace("\"name\"", "\"nom\"")] {
        w.reload(bad);
        sleep(50 * MS);
        assert_eq!(w.get("a"), 200);
    }
    assert_eq!(w.discovery.calls(), 1);
    // A discovery that accepts the call and never answers must not block the next call.
    let (hanging, unresponsive) = listen();
    let config = |address: SocketAddr| {
        w.config
            .replace(&w.discovery.at.to_string(), &address.to_string())
    };
    w.reload(&config(unresponsive));
    let _connection = hanging.accept().unwrap();
    let (new, start) = (Discovery::start(), Instant::now());
    w.reload(&config(new.at));
    until("a subscription at the new discovery", || new.calls() == 1);
    assert!(start.elapsed() < 1000 * MS);
    // The new discovery may number its versions from the start.
    assert!(new.calls.lock().unwrap()[0].contains("watch=1&after=0"));
    assert_eq!(read_answer(&mut slow).unwrap().0, 200);
    let list = format!(
        r#"{{"rev":2,"all":true,"targets":[{}]}}"#,
        target("c0", cache.at, "box", "terminating")
    );
    new.say(&list);
    sleep(100 * MS);
    let before = cache.seen().len();
    assert!(w.get("b") != 200 && cache.seen().len() == before);
    assert!(w.node.try_wait().unwrap().is_none());
}

/// All changes are applied together; an invocation keeps the rules under which it was received. The writes wait at a
/// slow origin: one was received with a timeout of 900 ms, the other with 250 ms.
#[test]
fn sighup_applies_settings_to_later_invocations() {
    let (cache, origin) = (Server::always(Act::Hit), Server::always(Act::Late(450)));
    let mut w = start_node(&[&cache], origin.at, 256);
    let (mut before, mut after) = (w.client(), w.client());
    send_request(&mut before, "PUT", "/api/k1", "before", "pay", "new");
    until("the write at the origin", || origin.seen().len() == 1);
    let shorter = w
        .config
        .replace(
            r#"{"Name":"pay","DeadlineUs":900000,"ObjectiveUs":400000"#,
            r#"{"Name":"pay","DeadlineUs":250000,"ObjectiveUs":200000"#,
        )
        .replace(
            r#"{"Name":"get""#,
            r#"{"Name":"scan","DeadlineUs":900000,"ObjectiveUs":400000,"Effect":"read_like"},{"Name":"get""#,
        )
        .replace(r#""Balancers":2"#, r#""Balancers":3"#);
    assert!(shorter != w.config);
    w.reload(&shorter);
    until("the new operation", || {
        w.call("GET", "/api/s", "s", "scan").0 == 200
    });
    let start = Instant::now();
    send_request(&mut after, "PUT", "/api/k2", "after", "pay", "new");
    assert_eq!(read_answer(&mut after).unwrap().0, 502);
    assert!(start.elapsed() < 300 * MS, "{:?}", start.elapsed());
    assert_eq!(read_answer(&mut before).unwrap().0, 200);
    assert_eq!(w.get("a"), 200);
    // A removed operation is rejected as unknown.
    w.reload(&shorter.replace("\"scan\"", "\"skim\""));
    until("the other operation", || {
        w.call("GET", "/api/t", "t", "skim").0 == 200
    });
    assert_eq!(w.call("GET", "/api/u", "u", "scan").0, 400);
    assert!(w.node.try_wait().unwrap().is_none());
}

/// Only the operator's file changes: the generation changes, and a new report file does not reset the counts.
#[test]
fn sighup_applies_the_operators_file() {
    let cache = Server::always(Act::Hit);
    let mut w = start_node(&[&cache], unused_address(), 256);
    let folder = w.folder.path().to_path_buf();
    let operator = |generation: &str, report: &str| {
        let report = folder.join(report);
        let text = format!(
            "[identity]\ngeneration = {generation:?}\n[report]\npath = {report:?}\nevery_ms = 100\n"
        );
        std::fs::write(folder.join("operator.toml"), text).unwrap();
    };
    let last = |report: &str| -> Option<sparrouter_report::Report> {
        let text = std::fs::read_to_string(folder.join(report)).unwrap_or_default();
        text.lines()
            .rev()
            .find_map(|l| serde_json::from_str(l).ok())
    };
    operator("one", "a.jsonl");
    let _ = w.node.kill();
    let _ = w.node.wait();
    let mut command = Command::new(env!("CARGO_BIN_EXE_sparrouter-node"));
    command.env("PROXY_CONFIG", folder.join("config.json"));
    command
        .env("SPARROUTER_CONFIG", folder.join("operator.toml"))
        .stderr(Stdio::null());
    w.node = command.spawn().unwrap();
    until("a report", || {
        last("a.jsonl").is_some_and(|r| r.generation == "one" && r.uptime_ms > 200)
    });
    operator("two", "b.jsonl");
    w.signal("-HUP");
    until("the other file", || {
        last("b.jsonl").is_some_and(|r| r.generation == "two")
    });
    let (a, b) = (last("a.jsonl").unwrap(), last("b.jsonl").unwrap());
    assert!(
        b.uptime_ms >= a.uptime_ms && a.settings == b.settings && !a.settings.is_empty(),
        "{a:?} {b:?}"
    );
    // An invalid file changes nothing.
    std::fs::write(folder.join("operator.toml"), "[report]\n").unwrap();
    w.signal("-HUP");
    let before = b.uptime_ms;
    until("more lines", || {
        last("b.jsonl").is_some_and(|r| r.uptime_ms > before + 300)
    });
    assert_eq!(last("b.jsonl").unwrap().generation, "two");
}

/// If one field can't change in a running node, no change is applied; the log names the field.
#[test]
fn sighup_with_a_field_that_needs_a_restart_applies_nothing_and_logs_its_name() {
    let cache = Server::always(Act::Hit);
    let mut w = start_node(&[&cache], unused_address(), 256);
    let log = w.node.stderr.take().unwrap();
    let reader = std::thread::spawn(move || {
        let lines = std::io::BufReader::new(log).lines().map_while(Result::ok);
        lines
            .filter(|l| l.contains("not taken up"))
            .take(1)
            .collect::<Vec<_>>()
    });
    let other = w
        .config
        .replace(r#""Name":"get""#, r#""Name":"scan""#)
        .replace(r#""TickUs":5000"#, r#""TickUs":9000"#);
    w.reload(&other);
    let logged = reader.join().unwrap();
    assert!(
        logged[0].contains("settings.TickUs can't change"),
        "{logged:?}"
    );
    assert_eq!(
        (w.get("a"), w.call("GET", "/api/s", "s", "scan").0),
        (200, 400)
    );
}
