//! The judge itself: each rule is broken on purpose, and must be found broken by its name.
use bytes::Bytes;
use sparrouter_simulation::judge::{Answer, Asked, Bounds, Judge, Made, Run};
use sparrouter_simulation::plan::{Kind, Route};
use sparrouter_simulation::scenario::play;
use sparrouter_simulation::server::{body_of, event_of};
use sparrouter_simulation::world::{HOST, KEY, first_plan};
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;
use tokio::time::{Instant, sleep};

const NODE: IpAddr = IpAddr::V4(std::net::Ipv4Addr::new(10, 0, 0, 20));

fn asked(kind: Kind, path: &str) -> Asked {
    Asked {
        method: "POST".into(),
        host: HOST.into(),
        path: path.into(),
        body: Bytes::from("body"),
        key: KEY.into(),
        kind,
        node: NODE,
        life: 0,
        until: Instant::now() + Duration::from_secs(6),
        kept: true,
    }
}

fn run(attempt: &str, path: &str) -> Run {
    Run {
        attempt: attempt.into(),
        service: "models".into(),
        instance: "i-1".into(),
        by: NODE,
        method: "POST".into(),
        path: path.into(),
        body: Bytes::from("body"),
        tenant: Some("kaje".into()),
        key: None,
        version: 1,
        made: vec![Made {
            version: 1,
            tenant: Some("kaje".into()),
        }],
        resumed: 0,
    }
}

fn success(run: u64, body: Vec<u8>, streams: bool) -> Answer {
    Answer {
        status: 200,
        seal: Some(format!("seal-{run}")),
        attempt: Some("a".into()),
        streams,
        body,
        whole: true,
        ..Answer::default()
    }
}

fn events(parts: &[(u64, u64)]) -> Vec<u8> {
    parts
        .iter()
        .map(|(run, event)| event_of(*run, *event))
        .collect::<String>()
        .into_bytes()
}

/// A judge who knows the first plan as acknowledged, and the time to settle over.
async fn judge() -> Judge {
    let judge = Judge::new(Bounds::default());
    let place = judge.config_sent(&first_plan(), 0, true);
    judge.config_acknowledged(place);
    sleep(Duration::from_secs(10)).await;
    judge
}

async fn once(kind: Kind, path: &str) -> Judge {
    let judge = judge().await;
    judge.asked("a", asked(kind, path));
    judge
}

fn broken(judge: &Judge, rule: &str) {
    let breaches = judge.breaches();
    assert!(
        breaches.iter().any(|b| b.starts_with(rule)),
        "{rule} was not found broken: {breaches:?}"
    );
}

fn kept(judge: &Judge) {
    assert!(judge.breaches().is_empty(), "{:?}", judge.breaches());
}

#[test]
fn given_proper_answers_then_no_rule_is_broken() {
    play(async {
        let judge = once(Kind::Idempotent, "/idem/b9").await;
        let run_of = judge.ran(run("a", "/idem/b9"));
        judge.answered(
            "a",
            &success(run_of, body_of(run_of, 9).into_bytes(), false),
        );
        kept(&judge);
        let judge = once(Kind::Resumable, "/resume/s3").await;
        let first = judge.ran(run("a", "/resume/s3"));
        let second = judge.ran(Run {
            resumed: 1,
            ..run("a", "/resume/s3")
        });
        let body = events(&[(first, 1), (second, 2), (second, 3)]);
        judge.answered("a", &success(first, body, true));
        kept(&judge);
    });
}

#[test]
fn given_answers_that_are_not_the_servers_then_mixed_is_broken() {
    play(async {
        for bad in 0..5 {
            let judge = once(Kind::Idempotent, "/idem/b9").await;
            let run_of = judge.ran(run("a", "/idem/b9"));
            let good = success(run_of, body_of(run_of, 9).into_bytes(), false);
            let answer = match bad {
                0 => Answer { seal: None, ..good },
                1 => Answer {
                    body: b"something".to_vec(),
                    ..good
                },
                2 => Answer {
                    attempt: Some("b".into()),
                    ..good
                },
                3 => Answer {
                    seal: Some("seal-7".into()),
                    ..good
                },
                _ => Answer {
                    bad: Some("no HTTP"),
                    ..good
                },
            };
            judge.answered("a", &answer);
            broken(&judge, "MIXED");
        }
    });
}

#[test]
fn given_streams_with_gaps_doubles_or_joined_runs_then_order_is_broken() {
    play(async {
        for pieces in [
            vec![(0, 1), (0, 3)],
            vec![(0, 1), (0, 1)],
            vec![(0, 1), (1, 2), (1, 3)],
            vec![(0, 1)],
        ] {
            let judge = once(Kind::Resumable, "/resume/s3").await;
            judge.ran(run("a", "/resume/s3"));
            judge.ran(run("a", "/resume/s3"));
            judge.answered("a", &success(0, events(&pieces), true));
            broken(&judge, "ORDER");
        }
    });
}

#[test]
fn given_runs_that_nobody_asked_for_then_unasked_or_route_is_broken() {
    play(async {
        let judge = once(Kind::Idempotent, "/idem/b9").await;
        judge.ran(run("b", "/idem/b9"));
        broken(&judge, "UNASKED");
        for bad in 0..4 {
            let judge = once(Kind::Idempotent, "/idem/b9").await;
            let good = run("a", "/idem/b9");
            judge.ran(match bad {
                0 => Run {
                    path: "/idem/b8".into(),
                    ..good
                },
                1 => Run {
                    body: Bytes::from("other"),
                    ..good
                },
                2 => Run {
                    tenant: Some("mela".into()),
                    ..good
                },
                _ => Run {
                    key: Some(KEY.into()),
                    ..good
                },
            });
            broken(&judge, "UNASKED");
        }
        let judge = once(Kind::Idempotent, "/idem/b9").await;
        judge.ran(Run {
            service: "others".into(),
            ..run("a", "/idem/b9")
        });
        broken(&judge, "ROUTE");
    });
}

#[test]
fn given_requests_that_may_not_repeat_then_twice_and_refused_are_found() {
    play(async {
        let judge = once(Kind::Streaming, "/stream/s3").await;
        judge.ran(run("a", "/stream/s3"));
        kept(&judge);
        judge.ran(run("a", "/stream/s3"));
        broken(&judge, "TWICE");
        for before in [true, false] {
            let judge = once(Kind::NonIdempotent, "/once/b3").await;
            if before {
                judge.ran(run("a", "/once/b3"));
            }
            judge.answered(
                "a",
                &Answer {
                    status: 503,
                    whole: true,
                    ..Answer::default()
                },
            );
            judge.ran(run("a", "/once/b3"));
            broken(&judge, "REFUSED");
        }
    });
}

#[test]
fn given_memory_or_weights_of_another_version_then_stale_and_version_are_broken() {
    play(async {
        let judge = once(Kind::Idempotent, "/idem/b9").await;
        judge.ran(Run {
            version: 2,
            ..run("a", "/idem/b9")
        });
        broken(&judge, "STALE");
        let judge = judge_named().await;
        judge.asked("a", asked(Kind::Idempotent, "/idem/b9"));
        judge.ran(run("a", "/idem/b9"));
        broken(&judge, "VERSION");
    });
}

async fn judge_named() -> Judge {
    let judge = judge().await;
    judge.named(2);
    sleep(Duration::from_secs(9)).await;
    judge
}

#[test]
fn given_changes_that_are_late_or_go_back_then_config_is_broken() {
    play(async {
        let gone = || first_plan().next(1, |p| p.routes.retain(|r| r.name != "idem"));
        // Long after the route is gone it still runs.
        let judge = judge().await;
        let place = judge.config_sent(&gone(), 1, true);
        judge.config_acknowledged(place);
        sleep(Duration::from_secs(3)).await;
        judge.asked("a", asked(Kind::Idempotent, "/idem/b9"));
        judge.ran(run("a", "/idem/b9"));
        broken(&judge, "CONFIG");
        // Its effect was seen, then not any more.
        let judge = self::judge().await;
        judge.config_sent(&gone(), 1, true);
        judge.asked("a", asked(Kind::Idempotent, "/idem/b9"));
        judge.answered(
            "a",
            &Answer {
                status: 404,
                whole: true,
                ..Answer::default()
            },
        );
        kept(&judge);
        sleep(Duration::from_millis(300)).await;
        judge.asked("b", asked(Kind::Idempotent, "/idem/b9"));
        judge.ran(run("b", "/idem/b9"));
        broken(&judge, "CONFIG");
        // What was refused is in force.
        let judge = self::judge().await;
        let place = judge.config_sent(&gone(), 1, true);
        judge.config_refused(place, 412);
        judge.asked("a", asked(Kind::Idempotent, "/idem/b9"));
        judge.answered(
            "a",
            &Answer {
                status: 404,
                whole: true,
                ..Answer::default()
            },
        );
        broken(&judge, "CONFIG");
        // Both of a race.
        let judge = self::judge().await;
        for step in [1, 2] {
            let place = judge.config_sent(&first_plan().next(step, |_| ()), 1, true);
            judge.config_acknowledged(place);
        }
        broken(&judge, "CONFIG");
        let judge = self::judge().await;
        judge.read_back(200, "{\"version\":0}");
        broken(&judge, "LOST");
    });
}

#[test]
fn given_draining_repeats_orders_and_ends_then_their_rules_are_found_broken() {
    play(async {
        let judge = once(Kind::Idempotent, "/idem/b9").await;
        judge.draining("i-1", SocketAddr::new(NODE, 1));
        sleep(Duration::from_millis(1_900)).await;
        judge.arrived("models", "a", "i-1", NODE);
        kept(&judge);
        sleep(Duration::from_millis(200)).await;
        judge.arrived("models", "a", "i-1", NODE);
        broken(&judge, "DRAIN");
        let judge = once(Kind::Idempotent, "/idem/b9").await;
        for _ in 0..66 {
            judge.arrived("models", "a", "i-1", NODE);
        }
        broken(&judge, "BUDGET");
        let judge = self::judge().await;
        judge.ordered("i-1", "x", 4, NODE);
        judge.ordered("i-1", "y", 4, NODE);
        broken(&judge, "ONE");
        let judge = self::judge().await;
        for (holder, fence) in [("x", 4), ("y", 5), ("x", 6)] {
            judge.ordered("i-1", holder, fence, NODE);
        }
        broken(&judge, "ONE");
        let judge = once(Kind::Streaming, "/stream/s3").await;
        judge.told_to_end(NODE);
        judge.ran(run("a", "/stream/s3"));
        judge.answered(
            "a",
            &Answer {
                status: 200,
                seal: Some("seal-0".into()),
                streams: true,
                ..Answer::default()
            },
        );
        broken(&judge, "LOST");
    });
}

#[test]
fn given_memory_of_another_tenant_then_wall_is_broken_only_where_one_of_the_two_is_isolated() {
    play(async {
        let made = |tenant: Option<&str>| {
            vec![Made {
                version: 1,
                tenant: tenant.map(str::to_owned),
            }]
        };
        // Mela is isolated, kaje is not, and who has no tenant is nobody's.
        for (maker, is_broken) in [(Some("kaje"), false), (None, false), (Some("mela"), true)] {
            let judge = once(Kind::Idempotent, "/idem/b9").await;
            judge.ran(Run {
                made: made(maker),
                ..run("a", "/idem/b9")
            });
            if is_broken {
                broken(&judge, "WALL")
            } else {
                kept(&judge)
            }
        }
        for (maker, is_broken) in [(Some("mela"), false), (Some("kaje"), true), (None, true)] {
            let judge = judge().await;
            judge.asked(
                "a",
                Asked {
                    key: "key-of-mela".into(),
                    ..asked(Kind::Idempotent, "/idem/b9")
                },
            );
            let tenant = Some("mela".to_owned());
            judge.ran(Run {
                made: made(maker),
                tenant,
                ..run("a", "/idem/b9")
            });
            if is_broken {
                broken(&judge, "WALL")
            } else {
                kept(&judge)
            }
        }
    });
}

/// So many requests, each answered so.
fn answered_all(judge: &Judge, count: u32, asked: &Asked, answer: &Answer) {
    for n in 0..count {
        let id = format!("{}-{}-{n}", asked.path, answer.status);
        judge.asked(&id, asked.clone());
        judge.answered(
            &id,
            &Answer {
                attempt: None,
                whole: true,
                ..answer.clone()
            },
        );
    }
}

#[test]
fn given_proper_requests_that_are_refused_then_denied_is_broken_beyond_five_and_one_in_five_hundred()
 {
    play(async {
        let proper = asked(Kind::Idempotent, "/idem/b9");
        let of = |status| Answer {
            status,
            ..Answer::default()
        };
        let sealed = Answer {
            seal: Some("seal-1".into()),
            ..of(400)
        };
        let unknown = Asked {
            key: "nobody's".into(),
            ..proper.clone()
        };
        let cases: [(u32, &Asked, Answer, bool); 6] = [
            (5, &proper, of(400), false),
            (6, &proper, of(400), true),
            (6, &proper, of(302), true),
            // Promises to be tried again, a server's own word, and one that may be refused.
            (50, &proper, of(429), false),
            (50, &proper, sealed, false),
            (50, &unknown, of(401), false),
        ];
        for (count, asked, answer, is_broken) in cases {
            let judge = judge().await;
            let asked = Asked {
                until: Instant::now() + Duration::from_secs(6),
                ..asked.clone()
            };
            answered_all(&judge, count, &asked, &answer);
            judge.day_ends();
            if is_broken {
                broken(&judge, "DENIED")
            } else {
                kept(&judge)
            }
        }
        let judge = judge().await;
        answered_all(&judge, 494, &proper, &of(503));
        answered_all(&judge, 6, &proper, &of(400));
        judge.day_ends();
        kept(&judge);
        // A machine in trouble, and a configuration that may not be in force yet.
        let judge = self::judge().await;
        judge.trouble(Some(NODE));
        answered_all(&judge, 50, &proper, &of(400));
        judge.day_ends();
        kept(&judge);
        let judge = self::judge().await;
        judge.config_sent(
            &first_plan().next(1, |p| p.routes.retain(|r| r.name != "idem")),
            1,
            true,
        );
        answered_all(&judge, 50, &proper, &of(400));
        judge.day_ends();
        kept(&judge);
    });
}

#[test]
fn given_routes_that_were_added_when_they_are_hardly_served_in_calm_times_then_config_is_broken() {
    play(async {
        for (count, served, calm, is_broken) in [
            (20, 0, true, true),
            (20, 10, true, false),
            (19, 0, true, false),
            (20, 0, false, false),
        ] {
            let judge = judge().await;
            let added = first_plan().next(1, |p| {
                p.routes.push(Route::new("new", Kind::Idempotent, "models"))
            });
            let place = judge.config_sent(&added, 1, true);
            judge.config_acknowledged(place);
            sleep(Duration::from_secs(3)).await;
            if !calm {
                judge.shaken(None);
            }
            for (path, count, served) in [("/idem/b9", 20, 20), ("/new/b9", count, served)] {
                for n in 0..count {
                    let id = format!("{path}{n}");
                    judge.asked(&id, asked(Kind::Idempotent, path));
                    let run = judge.ran(run(&id, path));
                    let good = success(run, body_of(run, 9).into_bytes(), false);
                    let refused = Answer {
                        status: 503,
                        whole: true,
                        ..Answer::default()
                    };
                    judge.answered(
                        &id,
                        &Answer {
                            attempt: None,
                            ..if n < served { good } else { refused }
                        },
                    );
                }
            }
            judge.day_ends();
            if is_broken {
                broken(&judge, "CONFIG")
            } else {
                kept(&judge)
            }
        }
    });
}

#[test]
fn given_what_was_taken_when_it_is_refused_or_read_back_otherwise_then_config_is_broken() {
    play(async {
        let next = first_plan().next(2, |_| ());
        for (second, is_broken) in [(next.clone(), true), (first_plan().next(3, |_| ()), false)] {
            let judge = judge().await;
            let place = judge.config_sent(&next, 1, true);
            judge.config_acknowledged(place);
            let place = judge.config_sent(&second, 1, true);
            judge.config_refused(place, 412);
            if is_broken {
                broken(&judge, "CONFIG")
            } else {
                kept(&judge)
            }
        }
        let judge = judge().await;
        judge.read_back(200, &first_plan().json());
        kept(&judge);
        judge.read_back(200, &first_plan().json().replace("8000", "9000"));
        broken(&judge, "CONFIG");
        let judge = self::judge().await;
        judge.read_back(503, "");
        broken(&judge, "LOST");
    });
}

#[test]
fn given_a_lower_token_after_a_higher_then_one_is_broken_where_servers_do_not_check_it() {
    play(async {
        for fencing in [true, false] {
            let judge = Judge::new(Bounds {
                fencing,
                ..Bounds::default()
            });
            judge.ordered("i-1", "x", 5, NODE);
            judge.ordered("i-1", "y", 4, NODE);
            if fencing {
                kept(&judge)
            } else {
                broken(&judge, "ONE")
            }
        }
    });
}

#[test]
fn given_two_troubles_of_a_machine_when_one_ends_then_it_is_not_in_touch() {
    play(async {
        let judge = judge().await;
        judge.down(NODE);
        judge.trouble(Some(NODE));
        judge.trouble(Some(NODE));
        for end in 0..3 {
            if end == 0 {
                judge.up(NODE)
            } else {
                judge.calm(Some(NODE))
            }
            sleep(Duration::from_secs(4)).await;
            let now = Instant::now();
            assert_eq!(judge.in_touch(NODE, now, now), end == 2);
        }
    });
}

#[test]
fn given_kept_connections_closed_without_an_answer_then_lost_is_broken_beyond_three() {
    play(async {
        for (count, kept_open, faulty, is_broken) in [
            (3, true, false, false),
            (4, true, false, true),
            (50, false, false, false),
            (50, true, true, false),
        ] {
            let judge = judge().await;
            for n in 0..count {
                let id = format!("a{n}");
                let asked = Asked {
                    kept: kept_open,
                    ..asked(Kind::Idempotent, "/idem/b9")
                };
                judge.asked(&id, asked);
                let number = judge.ran(run(&id, "/idem/b9"));
                if faulty {
                    judge.faulty(number);
                }
                judge.answered(&id, &Answer::default());
            }
            judge.day_ends();
            if is_broken {
                broken(&judge, "LOST")
            } else {
                kept(&judge)
            }
        }
    });
}

#[test]
fn given_draining_acknowledged_by_a_machine_out_of_touch_then_it_binds_all_the_same() {
    play(async {
        let judge = judge().await;
        let other = SocketAddr::new(IpAddr::from([10, 0, 0, 21]), 80);
        judge.trouble(Some(other.ip()));
        judge.draining("i-1", other);
        sleep(Duration::from_millis(2_500)).await;
        judge.asked("a", asked(Kind::Idempotent, "/idem/b9"));
        judge.arrived("models", "a", "i-1", NODE);
        broken(&judge, "DRAIN");
    });
}
