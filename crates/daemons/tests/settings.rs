//! Tests of settings files, the examples, the event catalogue and the operations page.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

use medlarstair::coordination::settings::{Settings, SettingsError};
use medlarstair::protocol::convert::parse_value;
use medlarstair_standins::Deployment;
use serde_json::Value;

const KEY: &str = "0a0a0a0a0a0a0a0a0a0a0a0a0a0a0a0a0a0a0a0a0a0a0a0a0a0a0a0a0a0a0a0a";
const TOKEN: &str = "5ecret5ecret5ecret";

/// A temporary directory with key and token files. It is removed on drop.
struct KeyDir(PathBuf);

impl KeyDir {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("medlarstair-{name}-{}", std::process::id()));
        fs::create_dir_all(&path).expect("the directory can be created");
        let files = [
            ("peer.key", KEY),
            ("operator.token", TOKEN),
            ("bad.key", "5ecret-but-malformed"),
            ("short.token", "5ecret"),
        ];
        for (file, text) in files {
            fs::write(path.join(file), text).expect("the file can be written");
        }
        Self(path)
    }
}

impl Drop for KeyDir {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn repository() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn read(path: impl AsRef<Path>) -> String {
    fs::read_to_string(&path).unwrap_or_else(|e| panic!("{}: {e}", path.as_ref().display()))
}

fn faults(text: &str, dir: &Path) -> Vec<String> {
    match Settings::parse(text, dir) {
        Ok(_) => Vec::new(),
        Err(SettingsError::Invalid(faults)) => faults.iter().map(ToString::to_string).collect(),
        Err(other) => vec![other.to_string()],
    }
}

/// Guards against checks that report only the first fault, unknown or repeated keys that are silently ignored, and
/// secrets in messages.
#[test]
fn all_faults_are_listed_with_section_and_key() {
    let key_dir = KeyDir::new("faults");
    let cases = read(Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data/settings_faults.txt"));
    for case in cases.split("\n== ").skip(1) {
        let (name, rest) = case.split_once('\n').expect("a case has a name");
        let (text, expected) = rest.split_once("--\n").expect("a case has faults");
        let expected = expected.lines().filter(|line| !line.is_empty()).collect::<Vec<_>>();
        let found = faults(text, &key_dir.0);
        assert_eq!(found, expected, "case {name}");
        let all = found.join("\n");
        assert!(!all.contains("5ecret") && !all.contains(KEY), "case {name} shows a secret");
    }
}

/// Guards against keys and tokens in the debug output of the settings, which may be logged.
#[test]
fn debug_output_shows_no_secret() {
    let key_dir = KeyDir::new("debug");
    let (name, plan) = ("n1", Deployment::consortium(11));
    let text = medlarstair_standins::settings::render(&plan, &plan.entries[0]);
    let settings = Settings::parse(&text, &key_dir.0).unwrap_or_else(|e| panic!("{name}: {e}"));
    let shown = format!("{settings:?}");
    assert!(!shown.contains(TOKEN) && !shown.contains(KEY) && !shown.contains("10, 10, 10"), "{shown}");
}

/// Returns the lines of a settings file without comments and empty lines.
fn strip_comments(text: &str) -> Vec<&str> {
    text.lines().filter(|line| !line.is_empty() && !line.starts_with(['#', ';'])).collect()
}

/// Guards against example settings and values that the code does not accept or that differ from those
/// generated for the full-size deployments.
#[test]
fn examples_are_valid_and_at_their_true_sizes() {
    let key_dir = KeyDir::new("examples");
    for plan in [Deployment::consortium(11), Deployment::authority(12)] {
        let dir = repository().join("examples").join(&plan.name);
        let text = read(dir.join("n1.ini"));
        assert_eq!(faults(&text, &key_dir.0), [""; 0], "{}", plan.name);
        let written = medlarstair_standins::settings::render(&plan, &plan.entries[0]);
        assert_eq!(strip_comments(&text), strip_comments(&written), "{}", plan.name);
        for (key, value) in medlarstair_standins::values::initial_entries(&plan) {
            let example = read(dir.join(format!("{key}.json")));
            assert!(matches!(parse_value(&key, &example), Ok(Some(_))), "{key}");
            let example = serde_json::from_str::<Value>(&example).expect("a value is JSON");
            assert_eq!(example, value, "{}: {key}", plan.name);
        }
    }
}

/// An event in the code or the documentation.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct EventRow {
    code: u32,
    name: String,
    fields: Vec<String>,
}

fn quoted(line: &str) -> Option<&str> {
    line.split('"').nth(1)
}

/// Returns the notices, parsed from the source of the enum.
fn notices() -> BTreeSet<EventRow> {
    let source = read(repository().join("crates/state/src/node/notice.rs"));
    let variant = |line: &str| {
        let name = line.trim().strip_prefix("Self::")?;
        Some(name.split([' ', '{']).next()?.to_owned())
    };
    let lines = source.lines().collect::<Vec<_>>();
    let mut rows = BTreeSet::new();
    for (i, line) in lines.iter().enumerate() {
        let code = line.split("=> ").nth(1).and_then(|c| c.trim_end_matches(',').parse::<u32>().ok());
        let (Some(code), Some(variant)) = (code, variant(line)) else {
            continue;
        };
        let named =
            lines[i + 1..].iter().find(|l| l.contains(&format!("Self::{variant} ")) && l.contains('"'));
        let name = named.and_then(|l| quoted(l)).expect("a notice has a name").to_owned();
        let starts = |l: &&str| l.trim().strip_prefix(&variant).is_some_and(|r| r.starts_with([' ', ',']));
        let at = lines.iter().position(starts).expect("a notice has a variant");
        let display = quoted(lines[at - 1]).expect("a notice has a display format");
        let fields =
            display.split_whitespace().filter_map(|f| Some(f.split_once('=')?.0.to_owned())).collect();
        rows.insert(EventRow { code, name, fields });
    }
    rows
}

/// Returns the numbers of events that are logged directly, not as notices.
fn logged_codes() -> BTreeSet<u32> {
    let mut codes = BTreeSet::new();
    for dir in ["crates/coordination/src", "crates/daemons/src/bin"] {
        for file in fs::read_dir(repository().join(dir)).expect("the directory can be read").flatten() {
            let source = read(file.path());
            for after in source.split("\"code\" => ").skip(1) {
                let digits = after.split(|c: char| !c.is_ascii_digit()).next().unwrap_or("");
                codes.extend(digits.parse::<u32>());
            }
        }
    }
    codes
}

/// Returns the rows of the table in docs/events.md: number, name, fields, meaning, operator action.
fn documented() -> BTreeSet<EventRow> {
    let page = read(repository().join("docs/events.md"));
    let mut rows = BTreeSet::new();
    for line in page.lines() {
        let cells = line.split('|').map(str::trim).collect::<Vec<_>>();
        let Some(code) = cells.get(1).and_then(|c| c.parse().ok()) else {
            continue;
        };
        assert_eq!(cells.len(), 7, "{line}");
        assert!(cells[4..6].iter().all(|cell| !cell.is_empty()), "{line}");
        let fields = cells[3].split(',').map(|f| f.trim().trim_matches('`').to_owned());
        let fields = fields.filter(|f| !f.is_empty() && f != "–").collect();
        rows.insert(EventRow { code, name: cells[2].trim_matches('`').to_owned(), fields });
    }
    rows
}

/// Guards against events that are missing from the catalogue, and against entries for events that no longer exist.
#[test]
fn catalogue_lists_exactly_the_events_of_the_code() {
    let (notices, documented) = (notices(), documented());
    assert!(notices.len() >= 12, "the source of the notices could not be read: {notices:?}");
    let notice_codes = notices.iter().map(|row| row.code).collect::<BTreeSet<_>>();
    let listed = documented.iter().filter(|row| notice_codes.contains(&row.code));
    assert_eq!(listed.collect::<Vec<_>>(), notices.iter().collect::<Vec<_>>());
    let codes = documented.iter().map(|row| row.code).collect::<BTreeSet<_>>();
    assert_eq!(codes, notice_codes.union(&logged_codes()).copied().collect());
}

/// Returns all texts between `before` and the next double quote in a source file.
fn names_after(source: &str, before: &str) -> BTreeSet<String> {
    source.split(before).skip(1).filter_map(|after| Some(after.split_once('"')?.0.to_owned())).collect()
}

/// Guards against settings, metrics and refusal reasons that are missing from the operations page.
#[test]
fn operations_page_lists_all_settings_metrics_and_reasons() {
    let page = read(repository().join("docs/OPERATIONS.md"));
    let sources = repository().join("crates/coordination/src");
    let metrics = names_after(&read(sources.join("metrics.rs")), "\"medlarstair_");
    assert!(metrics.len() >= 9, "{metrics:?}");
    for metric in metrics {
        assert!(page.contains(&format!("| `medlarstair_{metric}` |")), "{metric} is missing");
    }
    let settings = read(sources.join("settings.rs"));
    let mut keys = 0;
    for section in ["node", "listen", "platform", "peers", "security", "log"] {
        for key in names_after(&settings, &format!("(\"{section}\", \"")) {
            keys += 1;
            assert!(page.contains(&format!("| `{section}` | `{key}` |")), "[{section}] {key} is missing");
        }
    }
    assert_eq!(keys, 14, "the source of the settings could not be read in full");
    let effect = read(repository().join("crates/state/src/node/effect.rs"));
    let reasons = effect.split_once("pub enum Reason {").and_then(|(_, rest)| rest.split_once('}'));
    for name in reasons.expect("the reasons are in the source").0.lines() {
        let Some(name) = name.trim().strip_suffix(',').filter(|name| !name.starts_with("//")) else {
            continue;
        };
        let mut word = String::new();
        for c in name.chars() {
            if c.is_ascii_uppercase() && !word.is_empty() {
                word.push('-');
            }
            word.push(c.to_ascii_lowercase());
        }
        assert!(page.contains(&format!("`{word}`")), "the reason {word} is missing");
    }
}

/// Guards against commands that are missing from the operations page.
#[test]
fn operations_page_lists_all_commands() {
    let page = read(repository().join("docs/OPERATIONS.md"));
    let help = std::process::Command::new(env!("CARGO_BIN_EXE_medlarctl")).arg("--help").output();
    let help = String::from_utf8(help.expect("medlarctl can be started").stdout).expect("the help is text");
    let commands = help.split_once("Commands:\n").and_then(|(_, rest)| rest.split_once("\n\n"));
    for line in commands.expect("the help lists the commands").0.lines() {
        let Some(command) =
            line.strip_prefix("  ").and_then(|l| l.split(' ').next()).filter(|c| !c.is_empty())
        else {
            continue;
        };
        let listed =
            |row: &str| row.contains(&format!("`{command} ")) || row.contains(&format!("`{command}`"));
        assert!(page.lines().filter(|l| l.starts_with("| `")).any(listed), "{command} is missing");
    }
}
