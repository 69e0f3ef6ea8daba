//! The operators' subcommands against scripted nodes, in virtual time, and the command line.
mod common;

use common::{ScriptedNet, replies};
use sparrouter_fleet::client::commands::{self, Output};
use sparrouter_fleet::client::{ClientError, Command, FleetCommand};
use sparrouter_fleet::settings::Role;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::LocalSet;

const A: &str = "10.0.0.1:80";
const B: &str = "10.0.0.2:80";
const CONFIG: &str = "{\"version\":7,\"routes\":[],\"services\":[]}";

fn addresses(of: &[&str]) -> Vec<SocketAddr> {
    of.iter().map(|a| a.parse().expect("an address")).collect()
}

/// Runs a subcommand; returns what it printed as its result and as diagnostics.
async fn run(net: ScriptedNet, command: FleetCommand) -> (Result<(), ClientError>, String, String) {
    let (mut result, mut diagnostics) = (Vec::new(), Vec::new());
    let local = LocalSet::new();
    let done = {
        let mut out = Output {
            result: &mut result,
            diagnostics: &mut diagnostics,
        };
        let asking = commands::run(
            &command,
            addresses(&[A]),
            Duration::from_secs(5),
            Rc::new(net),
            &mut out,
        );
        local.run_until(asking).await
    };
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).expect("text");
    (done, text(result), text(diagnostics))
}

struct Files(tempfile::TempDir);

impl Files {
    fn new() -> Files {
        Files(tempfile::tempdir().expect("a directory"))
    }
    fn with(&self, name: &str, text: &str) -> PathBuf {
        let path = self.0.path().join(name);
        std::fs::write(&path, text).expect("written");
        path
    }
}

#[tokio::test(start_paused = true)]
async fn given_no_if_match_when_put_then_the_version_in_force_is_read_and_printed() {
    let files = Files::new();
    let file = files.with("next.json", "{\"version\":9,\"routes\":[],\"services\":[]}");
    let net = ScriptedNet::default().node(A, &[replies(200, CONFIG), replies(200, "taken")]);
    let calls = net.calls.clone();
    let (done, result, diagnostics) = run(
        net,
        FleetCommand::Put {
            file,
            if_match: None,
        },
    )
    .await;
    done.expect("taken");
    assert_eq!(
        diagnostics,
        "sparrouter: builds on version 7, which is in force now\n"
    );
    assert_eq!(result, "taken (10.0.0.1:80, on top of version 7)\n");
    assert!(calls.borrow()[1].1.contains("If-Match: 7\r\n"));
}

#[tokio::test(start_paused = true)]
async fn given_no_configuration_yet_when_put_then_it_is_the_first() {
    let files = Files::new();
    let file = files.with("first.json", CONFIG);
    let behaviors = [
        replies(404, ""),
        replies(404, ""),
        replies(404, ""),
        replies(200, "taken"),
    ];
    let (done, _, diagnostics) = run(
        ScriptedNet::default().node(A, &behaviors),
        FleetCommand::Put {
            file,
            if_match: None,
        },
    )
    .await;
    done.expect("taken");
    assert_eq!(
        diagnostics,
        "sparrouter: no configuration is in force yet: this is the first\n"
    );
}

#[tokio::test(start_paused = true)]
async fn given_a_configuration_that_is_invalid_when_put_then_nothing_is_sent_and_the_code_is_2() {
    let files = Files::new();
    let file = files.with(
        "bad.json",
        "{\"version\":9,\"routes\":[{\"name\":\"r\"}],\"services\":[]}",
    );
    let net = ScriptedNet::default().node(A, &[replies(200, "taken")]);
    let calls = net.calls.clone();
    let (done, ..) = run(
        net,
        FleetCommand::Put {
            file,
            if_match: Some(7),
        },
    )
    .await;
    let error = done.expect_err("invalid");
    assert_eq!((error.exit_code(), calls.borrow().len()), (2, 0));
    assert!(
        error.to_string().contains("bad.json: routes[0] (`r`)"),
        "{error}"
    );
}

#[tokio::test(start_paused = true)]
async fn given_a_patch_of_a_version_that_is_not_above_when_sent_then_it_is_refused_here() {
    let files = Files::new();
    let file = files.with("patch.json", "{\"version\":7,\"upsert_items\":{}}");
    let net = ScriptedNet::default().node(A, &[replies(200, CONFIG)]);
    let (done, ..) = run(
        net,
        FleetCommand::Patch {
            file,
            if_match: None,
        },
    )
    .await;
    assert!(
        done.expect_err("refused")
            .to_string()
            .contains("`version` 7 is not above 7")
    );
}

#[tokio::test(start_paused = true)]
async fn given_a_version_when_named_then_model_and_version_are_sent() {
    let net = ScriptedNet::default().node(A, &[replies(200, "named")]);
    let calls = net.calls.clone();
    let (done, ..) = run(
        net,
        FleetCommand::NameVersion {
            model: "m \"1\"".into(),
            version: 2,
        },
    )
    .await;
    done.expect("named");
    assert!(
        calls.borrow()[0]
            .1
            .ends_with("{\"model\":\"m \\\"1\\\"\",\"version\":2}")
    );
    let (done, ..) = run(
        ScriptedNet::default(),
        FleetCommand::NameVersion {
            model: "m".into(),
            version: 0,
        },
    )
    .await;
    assert_eq!(done.expect_err("bad input").exit_code(), 2);
}

const STATUS: &str = "{\"node\":\"core-0\",\"ready\":true,\"config_version\":7,\"member\":true,\"in_touch\":true,\
    \"heard_ms_ago\":12,\"open_requests\":3,\"group\":[\"core-0\",\"core-1\"],\"models\":[{\"name\":\"m\",\"version\":2}],\"nodes\":[{\"name\":\"core-0\",\
    \"internal\":\"10.0.0.1:90\",\"control\":\"10.0.0.1:80\",\"zone\":\"z1\",\"counted\":true,\"leaving\":false,\
    \"silent\":false},{\"name\":\"core-1\",\"internal\":\"10.0.0.2:90\",\"control\":\"10.0.0.2:80\",\"zone\":\"z2\",\
    \"counted\":true,\"leaving\":false,\"silent\":true}],\"servers\":[{\"id\":\"i-1\",\"service\":\"models\",\
    \"address\":\"10.0.1.1:80\",\"zone\":\"z1\",\"standing\":\"ready\",\"silent\":false,\"suspected\":true,\
    \"loading\":false,\"in_flight\":2,\"models\":[{\"name\":\"m\",\"version\":1}]}]}";

#[tokio::test(start_paused = true)]
async fn given_a_status_when_shown_then_it_is_a_table() {
    let net = ScriptedNet::default().node(A, &[replies(200, STATUS)]);
    let (done, result, diagnostics) = run(
        net,
        FleetCommand::Status {
            all: false,
            json: false,
        },
    )
    .await;
    done.expect("answered");
    assert_eq!(diagnostics, "");
    insta::assert_snapshot!(result, @r"
    ASKED   AT           CONFIG  IS                     HEARD_MS_AGO  OPEN  NAMED  GROUP
    core-0  10.0.0.1:80  7       ready member in-touch  12            3     m:2    core-0,core-1

    NODE    INTERNAL     ZONE  IS
    core-0  10.0.0.1:90  z1    counted
    core-1  10.0.0.2:90  z2    counted silent

    SERVER  SERVICE  ADDRESS      ZONE  IS               IN_FLIGHT  RUNS
    i-1     models   10.0.1.1:80  z1    ready suspected  2          m:1
    ");
}

#[tokio::test(start_paused = true)]
async fn given_a_node_that_is_down_when_all_are_asked_then_it_is_reported() {
    let net = ScriptedNet::default().node(A, &[replies(200, STATUS)]);
    let (done, result, diagnostics) = run(
        net,
        FleetCommand::Status {
            all: true,
            json: true,
        },
    )
    .await;
    done.expect("answered");
    assert_eq!(result, format!("{STATUS}\n"));
    assert!(
        diagnostics.starts_with("sparrouter: core-1: no node could be reached"),
        "{diagnostics}"
    );
}

#[test]
fn given_files_when_checked_then_verdict_and_remedy_are_printed() {
    let files = Files::new();
    let complete = files.with("whole.json", CONFIG);
    let patch = files.with(
        "patch.json",
        "{\"version\":9,\"remove_names\":{\"routes\":[\"gone\"]}}",
    );
    let broken = files.with("broken.json", "{\"version\":9");
    let check = |file: &PathBuf, against: Option<&PathBuf>| {
        let (mut result, mut diagnostics) = (Vec::new(), Vec::new());
        let mut out = Output {
            result: &mut result,
            diagnostics: &mut diagnostics,
        };
        let done = commands::check(file, against.map(PathBuf::as_path), &mut out);
        let folder = file.parent().expect("a folder").display().to_string() + "/";
        let printed = String::from_utf8(result).expect("text");
        done.map_or_else(|e| format!("{}: {e}", e.exit_code()), |()| printed)
            .replace(&folder, "")
    };
    let all = [
        check(&complete, None),
        check(&patch, Some(&complete)),
        check(&patch, None),
        check(&complete, Some(&complete)),
        check(&broken, None),
        check(&files.0.path().join("none.json"), None),
    ];
    insta::assert_snapshot!(all.join("\n"), @r"
    whole.json: may be sent; version 7, 0 routes, 0 services, 0 tenants, 39 bytes

    patch.json: may be sent; version 9, 0 routes, 0 services, 0 tenants, 39 bytes

    2: patch.json is a patch: give --against FILE with what it changes, as `sparrouter config get` prints it
    2: whole.json: `version` 7 is not above 7, which is in force: choose a higher one
    2: broken.json: the JSON ends at byte 12 before it is whole: send it again in whole
    2: none.json: cannot be read (No such file or directory (os error 2)): check the path and that you may read it
    ");
}

#[test]
fn given_command_lines_when_parsed_then_they_are_commands_or_errors() {
    use sparrouter_fleet::client::{Command, command};
    let read = |line: &str| {
        let arguments: Vec<&str> = line.split_whitespace().collect();
        command()
            .run_inner(arguments.as_slice())
            .map_err(|e| e.unwrap_stderr())
    };
    let addresses = addresses(&[A, B]);
    assert_eq!(
        read("config put --at 10.0.0.1:80,10.0.0.2:80 --patience 3 --if-match 4 f.json")
            .expect("read"),
        Command::Fleet {
            command: FleetCommand::Put {
                file: "f.json".into(),
                if_match: Some(4)
            },
            addresses,
            patience_s: 3
        }
    );
    assert_eq!(
        read("status --all").expect("read"),
        Command::Fleet {
            command: FleetCommand::Status {
                all: true,
                json: false
            },
            addresses: vec![],
            patience_s: 10
        }
    );
    for wrong in [
        "",
        "status --at ten",
        "status --patience 0",
        "config put",
        "config put --if-match x f",
        "version-put m two",
    ] {
        read(wrong).expect_err(wrong);
    }
}

#[test]
fn given_a_port_for_metrics_when_a_process_is_started_then_it_is_used_and_an_invalid_one_refused() {
    let parsed = |arguments: &[&str]| sparrouter_fleet::client::command().run_inner(arguments);
    let run = |role, metrics_port| Command::Run { role, metrics_port };
    assert_eq!(
        parsed(&["proxy", "--metrics-port", "9464"]).expect("a command"),
        run(Role::Proxy, Some(9464))
    );
    assert_eq!(
        parsed(&["control"]).expect("a command"),
        run(Role::Control, None)
    );
    assert!(parsed(&["proxy", "--metrics-port", "99999"]).is_err());
    assert!(parsed(&["proxy", "--metrics-port"]).is_err());
}
