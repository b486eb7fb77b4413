//! Tests of `medlarctl` against running daemons.

mod common;

use std::fs;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Command, Output, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

use common::Cluster;
use medlarstair::protocol::border::TimelineEvent;
use medlarstair_daemons::ctl::replay::EffectLine;
use medlarstair_standins::{BackendFaults, KvFaults};
use serde_json::{Value, json};

/// The exit code and output of a command.
#[derive(Debug)]
struct CommandOutput {
    code: Option<i32>,
    out: String,
    err: String,
}

impl From<Output> for CommandOutput {
    fn from(output: Output) -> Self {
        let text = |bytes: Vec<u8>| String::from_utf8(bytes).expect("the output is text");
        Self { code: output.status.code(), out: text(output.stdout), err: text(output.stderr) }
    }
}

fn medlarctl(args: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_medlarctl"));
    command.args(args).stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::piped());
    command
}

fn run(mut command: Command) -> CommandOutput {
    command.output().expect("medlarctl can be started").into()
}

/// An operator in the first region, whose commands use daemon 1 and, if it does not respond, daemon 2.
struct Operator {
    options: Vec<String>,
    dir: PathBuf,
}

impl Operator {
    fn new(cluster: &Cluster) -> Self {
        let entries = [1, 2].map(|node| cluster.entry(node).http.front);
        Self::with_entries(cluster, &entries)
    }

    fn with_entries(cluster: &Cluster, entries: &[SocketAddr]) -> Self {
        let source = cluster.plan.client_ip(&cluster.plan.regions[0]).expect("the region exists");
        let token = cluster.dir.join("settings/operator.token");
        let mut options = vec!["--source".to_owned(), source.to_string()];
        options.extend(["--token-file".to_owned(), token.display().to_string()]);
        options.extend(entries.iter().flat_map(|at| ["--entry".to_owned(), at.to_string()]));
        Self { options, dir: cluster.dir.clone() }
    }

    fn command(&self, args: &str) -> Command {
        let mut command = medlarctl(&[]);
        command.args(&self.options).args(args.split_whitespace());
        command
    }

    fn run(&self, args: &str) -> CommandOutput {
        run(self.command(args))
    }

    /// Runs a command and asserts that it exits with `code`.
    fn expect(&self, code: i32, args: &str) -> CommandOutput {
        let output = self.run(args);
        assert_eq!(output.code, Some(code), "{args}: {output:?}");
        output
    }

    fn json(&self, args: &str) -> Value {
        let output = self.expect(0, &format!("--json {args}"));
        serde_json::from_str(&output.out).expect("the output is JSON")
    }

    fn file(&self, name: &str, value: &Value) -> String {
        let path = self.dir.join(name);
        fs::write(&path, value.to_string()).expect("the file can be written");
        path.display().to_string()
    }

    /// Writes a file with the current contract of the first customer in which the first service has the given rate.
    fn contract(&self, name: &str, rate: u32) -> String {
        let mut value = self.json("contract get muscat-wholesale");
        value["services"][0]["rate"] = json!(rate);
        self.file(name, &value)
    }

    fn rate(&self) -> Value {
        self.json("contract get muscat-wholesale")["services"][0]["rate"].clone()
    }
}

/// Starts a proxy that forwards connections to `to`, but drops the responses to `PUT` requests, whose
/// changes have then taken effect. Returns its address.
fn proxy_losing_put_responses(to: SocketAddr, source: std::net::IpAddr) -> SocketAddr {
    let listener = TcpListener::bind((source, 0)).expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    thread::spawn(move || {
        for client in listener.incoming().flatten() {
            let Ok(server) = TcpStream::connect(to) else { continue };
            let drop_responses = Arc::new(AtomicBool::new(false));
            let (from, mut into) = (client.try_clone().unwrap(), server.try_clone().unwrap());
            let put_seen = Arc::clone(&drop_responses);
            thread::spawn(move || {
                copy(from, &mut into, |bytes| {
                    if bytes.starts_with(b"PUT ") {
                        put_seen.store(true, Ordering::SeqCst);
                    }
                    true
                })
            });
            let mut into = client;
            thread::spawn(move || copy(server, &mut into, |_| !drop_responses.load(Ordering::SeqCst)));
        }
    });
    address
}

/// Copies until the end of the stream, or until `should_continue` returns false for a chunk; then closes both streams.
fn copy(mut from: TcpStream, into: &mut TcpStream, should_continue: impl Fn(&[u8]) -> bool) {
    let mut buf = [0; 16_384];
    while let Ok(n) = from.read(&mut buf) {
        if n == 0 || !should_continue(&buf[..n]) || into.write_all(&buf[..n]).is_err() {
            break;
        }
    }
    let _ = (from.shutdown(Shutdown::Both), into.shutdown(Shutdown::Both));
}

/// Guards against changed exit codes, on which scripts rely, and against errors that do not say what to do next.
#[test]
fn usage_and_input_have_their_exit_codes() {
    let unreachable = ["--entry", "127.0.0.1:1", "contract", "list"];
    let cases: [(i32, &[&str]); 8] = [
        (2, &["no-such-command"]),
        (2, &["contract", "list"]),
        (2, &["--entry", "not-an-address", "status"]),
        (2, &["--entry", "127.0.0.1:1", "--token-file", "/nonexistent", "status"]),
        (2, &["check"]),
        (2, &["check", "/nonexistent.ini", "--value", "colour/blue=/dev/null"]),
        (2, &["replay", "/dev/null"]),
        (4, &unreachable),
    ];
    let mut shown = String::new();
    for (code, args) in cases {
        let output = run(medlarctl(args));
        assert_eq!(output.code, Some(code), "{args:?}: {output:?}");
        shown += &format!("$ medlarctl {}\n{}{}", args.join(" "), output.out, output.err);
    }
    insta::assert_snapshot!("usage", shown);
    let help = run(medlarctl(&["--help"]));
    assert_eq!(help.code, Some(0));
    let codes = help.out.split_once("Error codes:").expect("the help lists the exit codes").1;
    assert!((1..=5).all(|code| codes.contains(&format!("\n  {code} "))), "{codes}");
}

/// Guards against lost updates, changes that are applied twice, and changes that are reported as in force too early.
#[actix_rt::test]
async fn changes_are_compare_and_swap() {
    let mut cluster = Cluster::start("consortium", |_| {}).await;
    let operator = Operator::new(&cluster);
    let listed = operator.expect(0, "contract list").out;
    assert_eq!(listed.lines().count(), 3, "{listed}");

    // A change that is in force everywhere.
    let changed = operator.contract("a.json", 111);
    let put = operator.expect(0, &format!("contract put muscat-wholesale {changed} --wait --limit-ms 30000"));
    assert!(put.out.ends_with("in force on 7 of 7\n"), "{put:?}");
    assert_eq!(operator.rate(), 111);

    // Of two concurrent changes one succeeds; the error of the other contains the winning revision.
    let files = [operator.contract("b.json", 222), operator.contract("c.json", 333)];
    let start = |file: &String| {
        operator.command(&format!("contract put muscat-wholesale {file}")).spawn().expect("it starts")
    };
    let children = files.each_ref().map(start);
    let outputs = children.map(|child| CommandOutput::from(child.wait_with_output().expect("it ends")));
    let winner = outputs.iter().position(|r| r.code == Some(0)).expect("one wins");
    let loser = &outputs[1 - winner];
    let won = operator.json("contract get muscat-wholesale");
    assert_eq!(loser.code, Some(3), "{outputs:?}");
    assert!(loser.err.contains(&format!("has revision {}", won["revision"])), "{loser:?}");
    assert!(loser.err.contains("get it, apply your change to it and try again"), "{loser:?}");
    assert_eq!(won["services"][0]["rate"], json!([222, 333][winner]));

    // A response that is lost between operator and daemon, and one that is lost by the key-value service.
    let source = cluster.plan.client_ip(&cluster.plan.regions[0]).expect("the region exists");
    let lossy_proxy = proxy_losing_put_responses(cluster.entry(1).http.real, source);
    let (lossy_operator, file) =
        (Operator::with_entries(&cluster, &[lossy_proxy]), operator.contract("d.json", 444));
    let puts = cluster.platform.kv.calls().put;
    lossy_operator.expect(0, &format!("contract put muscat-wholesale {file}"));
    assert_eq!((operator.rate(), cluster.platform.kv.calls().put), (json!(444), puts + 1));
    cluster.platform.kv.set_faults(KvFaults { lose_answers: 1, ..KvFaults::default() });
    let file = operator.contract("e.json", 555);
    operator.expect(0, &format!("contract put muscat-wholesale {file}"));
    assert_eq!(operator.rate(), 555);

    // Refusals.
    let mut value = operator.json("contract get muscat-wholesale");
    value["services"][0]["max_deadline_ms"] = json!(0);
    let invalid = operator.file("invalid.json", &value);
    let output = operator.expect(2, &format!("contract put muscat-wholesale {invalid}"));
    assert!(output.err.contains("max_deadline_ms: must be 1 to 10000"), "{output:?}");
    operator.expect(1, "contract get nobody");
    let mut unauthorized = Operator::new(&cluster);
    unauthorized.options[3] = operator.file("wrong.token", &json!("wrong"));
    let output = unauthorized.expect(1, "contract list");
    assert!(output.err.contains("--token-file"), "{output:?}");
    cluster.platform.kv.set_faults(KvFaults { down: true, ..KvFaults::default() });
    operator.expect(4, "contract list");
    for args in ["status", "in-force", "report", "timeline"] {
        operator.expect(0, args);
    }
    cluster.platform.kv.set_faults(KvFaults::default());

    // A change that is accepted, but does not reach the daemons in time because reads are stale.
    common::wait_for("the service answers", async || {
        (operator.run("contract list").code == Some(0)).then_some(())
    })
    .await;
    let file = operator.contract("f.json", 666);
    cluster.platform.kv.set_faults(KvFaults { stale_reads: true, ..KvFaults::default() });
    let args = format!("contract put muscat-wholesale {file} --wait --limit-ms 500");
    let output = operator.expect(5, &args);
    assert!(output.out.contains("in force on 0 of 7; not yet on: n1, n2, n3, n4, n5, n6, n7"), "{output:?}");
    cluster.platform.kv.set_faults(KvFaults::default());
    operator.expect(0, "in-force --wait --limit-ms 30000 --key contract/muscat-wholesale");

    // A killed daemon is reported as unreachable and does not delay the command.
    cluster.kill(7);
    let output = operator.expect(0, "contract delete sohar-wholesale --wait --limit-ms 30000");
    assert_eq!(output.out, "contract/sohar-wholesale is deleted\nin force on 6 of 7; unreachable: n7\n");
    operator.expect(1, "contract get sohar-wholesale");
}

/// Guards against drains that overload the remaining servers, and against a fleet change that is completed while loans
/// granted under the previous shares may last.
#[actix_rt::test]
async fn drains_and_fleet_changes_are_checked() {
    let mut cluster = Cluster::start("consortium", |_| {}).await;
    let operator = Operator::new(&cluster);
    let set_load = |in_use: Option<u32>| {
        for backend in cluster.platform.backends.values() {
            backend.set_faults(BackendFaults { fixed_in_use: in_use, ..BackendFaults::default() });
        }
    };
    set_load(Some(2));
    let refused = operator.expect(1, "drain add region muscat").err;
    let unknown = operator.expect(1, "drain add backend no-such-server").err;
    insta::assert_snapshot!("drain_refused", format!("{refused}{unknown}"));
    operator.expect(0, "drain add region muscat --force --wait --limit-ms 30000");
    set_load(None);
    operator.expect(0, "drain add backend catalogue-2");
    let names =
        |listed: Value| listed.as_array().unwrap().iter().map(|l| l["name"].clone()).collect::<Vec<_>>();
    assert_eq!(names(operator.json("drain list")), ["backend/catalogue-2", "region/muscat"]);
    operator.expect(0, "drain remove region muscat --wait --limit-ms 30000");
    operator.expect(1, "drain remove region muscat");
    assert_eq!(names(operator.json("drain list")), ["backend/catalogue-2"]);

    cluster.kill(7);
    let started = std::time::Instant::now();
    operator.expect(0, "fleet remove --node 7 --wait --limit-ms 30000");
    let shown = operator.expect(0, "fleet show").out;
    assert!(shown.contains("change under way; members before it: n1, n2, n3, n4, n5, n6, n7"), "{shown}");
    let second = operator.expect(1, "fleet remove --node 6").err;
    assert!(second.contains("another fleet change is under way"), "{second}");
    let early = operator.expect(5, "fleet finish").err;
    assert!(early.contains("n1 needs ") && early.contains("n7 does not respond"), "{early}");
    operator.expect(5, "fleet finish --wait --limit-ms 2000");
    operator.expect(0, "fleet finish --wait --gone 7 --limit-ms 60000");
    // A loan lasts 11 s; the margin for clock drift is 5 % plus 50 ms.
    assert!(started.elapsed().as_millis() >= 11_600, "completed after {:?}", started.elapsed());
    let fleet = operator.json("fleet show");
    assert_eq!(fleet["fleet"]["members"].as_array().map(Vec::len), Some(6));
    assert_eq!(fleet["fleet"]["previous"], json!([]));
}

/// Guards against traces that cannot be replayed, timelines out of order and graceful stops that do not finish.
#[actix_rt::test]
async fn stopped_daemon_leaves_a_trace_that_replays() {
    let mut cluster = Cluster::start_platform("consortium", |_| {});
    let settings = cluster.settings_file(1);
    let text = common::read(&settings) + "trace_file = n1.trace\n";
    fs::write(&settings, text).expect("the settings can be written");
    for node in 1..=7 {
        cluster.spawn(node);
    }
    cluster.wait_ready().await;
    let operator = Operator::new(&cluster);
    for args in ["--rank urgent", "--rank bulk", "--once"] {
        let called =
            operator.json(&format!("call muscat-wholesale trade-counter /stock {args} --body hello"));
        assert_eq!(
            (&called["status"], &called["outcome"], &called["body"]),
            (&json!(200), &json!("ran"), &json!("hello"))
        );
        assert_eq!(called["entry"], 1);
    }
    let output = operator.expect(1, "call nobody trade-counter /stock");
    assert!(output.out.contains("outcome=not-run reason=no-contract"), "{output:?}");
    let reports = operator.json("report --node 1");
    assert!(reports["reports"][0]["limits"].as_array().is_some_and(|l| !l.is_empty()), "{reports}");

    let timeline = operator.json("timeline");
    let events = serde_json::from_value::<Vec<TimelineEvent>>(timeline["events"].clone()).expect("events");
    assert!(events.is_sorted_by_key(|e| (e.wall_ms, e.logical)));
    assert!((1..=7).all(|node| events.iter().any(|e| e.node == node && e.code == 100)));

    operator.expect(0, "stop --node 1 --wait");
    assert!(cluster.wait_exit(1).await.success());
    let trace = cluster.dir.join("settings/n1.trace").display().to_string();
    let replayed = run(medlarctl(&["replay", &trace]));
    assert_eq!(replayed.code, Some(0), "{}", replayed.err);
    let effects =
        replayed.out.lines().map(|line| serde_json::from_str::<EffectLine>(line).expect("an effect"));
    let dispatches = effects.filter(|line| format!("{:?}", line.effect).starts_with("Dispatch")).count();
    assert_eq!(dispatches, 3);
    assert!(replayed.out.ends_with("\"Exit\"}\n"));

    // A killed daemon may leave an incomplete last line.
    let recorded = common::read(trace.as_ref());
    fs::write(&trace, recorded + "{\"at\":12").expect("the file can be written");
    let expected = cluster.dir.join("expected.jsonl");
    fs::write(&expected, &replayed.out).expect("the file can be written");
    let same = run(medlarctl(&["replay", &trace, "--expect", &expected.display().to_string()]));
    assert_eq!(same.code, Some(0), "{same:?}");
    let shorter = replayed.out.lines().skip(1).map(|line| format!("{line}\n")).collect::<String>();
    fs::write(&expected, shorter).expect("the file can be written");
    let differing = run(medlarctl(&["replay", &trace, "--expect", &expected.display().to_string()]));
    assert_eq!(differing.code, Some(1), "{differing:?}");
    assert!(differing.err.contains("effect 1 differs"), "{differing:?}");
}
