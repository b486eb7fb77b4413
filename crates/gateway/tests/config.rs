//! Validation of the settings of a gateway daemon.

use std::time::Duration;

use medlarstair_gateway::Config;
use medlarstair_state::steering::quota::QuotaLimits;

const VALID: &str = "[node]\nname = n\nregion = seq\ndomain = seq-a\n[domains]\nseq-a = seq\n[listen]\n\
    callers = 127.0.0.1:1\nready = 127.0.0.1:2\n[platform]\nstore = 127.0.0.1:3\n[limits]\ngrace = 6s\n\
    max_shift = 0.15\nretry_ratio = 0.2\nretry_window = 10s\nretry_slack = 60\ncold_overrun = 1.5\ncold_slack = 5\n";

/// Guards against daemons that follow changes more slowly than the tightest limit allows.
#[test]
fn the_tightest_limit_decides_how_fast_changes_are_followed() {
    for (settings, expected) in [
        ("", Duration::from_secs(2)),
        ("config_apply = 3s\n", Duration::from_secs(3)),
        ("config_apply = 3s\ndrain = 2500ms\n", Duration::from_millis(2_500)),
    ] {
        let text = VALID.replace("[limits]\n", &format!("[limits]\n{settings}"));
        assert_eq!(Config::parse(&text).unwrap().max_change_delay, expected, "{settings}");
    }
}

/// Guards against a writer of settings that does not know a new optional placeholder and keeps daemons from starting, and against
/// a required setting that is accepted without a value.
#[test]
fn an_optional_placeholder_counts_as_absent() {
    let text = VALID.replace("[limits]\n", "[limits]\nquota_window = {{bounds.quota_window}}\n").replace(
        "ready = 127.0.0.1:2\n",
        "ready = 127.0.0.1:2\npeers = 127.0.0.1:{{internal_ports.1}}\n[vm]\nmemory_mb = {{limits.memory_mb}}\n",
    );
    let config = Config::parse(&text).unwrap();
    assert_eq!(config.quota_limits, QuotaLimits::default());
    assert_eq!(config.peer_address, None);
    let unfilled: Vec<&str> = config.unfilled.iter().map(|key| &**key).collect();
    assert_eq!(unfilled, ["listen.peers", "vm.memory_mb", "limits.quota_window"]);
    assert!(Config::parse(&VALID.replace("max_shift = 0.15", "max_shift = {{bounds.max_shift}}")).is_err());
}

/// Guards against a template without a value that makes the settings unusable, and against a wrong default.
#[test]
fn quota_settings_may_be_empty() {
    let empty = "[limits]\nquota_window =\nquota_overrun =\nquota_slack =\n";
    let given = "[limits]\nquota_window = 2s\nquota_overrun = 0.2\nquota_slack = 7\n";
    for (settings, expected) in [
        ("[limits]\n", QuotaLimits::default()),
        (empty, QuotaLimits::default()),
        (given, QuotaLimits { window: Duration::from_secs(2), overrun: 0.2, slack: 7.0 }),
    ] {
        assert_eq!(Config::parse(&VALID.replace("[limits]\n", settings)).unwrap().quota_limits, expected);
    }
    let peers = |value| VALID.replace("[listen]\n", &format!("[listen]\npeers = {value}\n"));
    for value in ["", "127.0.0.1:"] {
        assert_eq!(Config::parse(&peers(value)).unwrap().peer_address, None);
    }
    assert_eq!(Config::parse(&peers("127.0.0.1:9")).unwrap().peer_address, "127.0.0.1:9".parse().ok());
}

/// Guards against settings that are accepted although a value is missing, invalid, unknown or duplicated, and against errors
/// that do not name the key.
#[test]
fn errors_name_the_invalid_key() {
    assert!(Config::parse(VALID).is_ok());
    for (from, to, key) in [
        ("name = n\n", "", "[node] name"),
        ("grace = 6s", "grace = 6", "[limits] grace"),
        ("[limits]\n", "[limits]\nconfig_apply = soon\n", "[limits] config_apply"),
        ("[limits]\n", "[limits]\ndrain = 2\n", "[limits] drain"),
        // With a delay of zero, a daemon would call the key-value service without a pause.
        ("[limits]\n", "[limits]\ndrain = 0s\n", "[limits] drain"),
        ("[limits]\n", "[limits]\nquota_window = 0s\n", "[limits] quota_window"),
        ("[limits]\n", "[limits]\nquota_window = 5\n", "[limits] quota_window"),
        ("[limits]\n", "[limits]\nquota_overrun = -0.1\n", "[limits] quota_overrun"),
        ("[limits]\n", "[limits]\nquota_slack = inf\n", "[limits] quota_slack"),
        ("[listen]\n", "[listen]\npeers = somewhere\n", "[listen] peers"),
        ("store = 127.0.0.1:3", "store = store.example", "[platform] store"),
        ("max_shift = 0.15", "max_shift = much", "[limits] max_shift"),
        ("[node]\n", "[node]\ncolour = red\n", "[node] colour"),
        ("ready = 127.0.0.1:2\n", "ready = 127.0.0.1:2\nready = 127.0.0.1:4\n", "[listen] ready"),
        ("[platform]\n", "[vm]\ncpu_share = 0.5\n[platform]\n", "[vm] link_mbps"),
        ("[platform]\n", "[vm]\ncpu_share = 0\nlink_mbps = 10\n[platform]\n", "[vm] cpu_share"),
        ("[platform]\n", "[vm]\nlink_mbps = fast\n[platform]\n", "[vm] link_mbps"),
        ("[platform]\n", "[vm]\nmemory_mb = much\n[platform]\n", "[vm] memory_mb"),
        ("[platform]\n", "[vm]\nmemory_mb = 39\n[platform]\n", "[vm] memory_mb"),
        ("[platform]\n", "[vm]\nmax_fds = 100\n[platform]\n", "[vm] max_fds"),
        ("seq-a = seq", "Seq A = seq", "[domains] Seq A"),
    ] {
        let error = Config::parse(&VALID.replace(from, to)).expect_err(key).to_string();
        assert!(error.contains(key), "{key}: {error}");
    }
}

/// Guards against a daemon that does not start because a deployment gives no limit, and against limits that are ignored.
#[test]
fn limits_of_the_vm_have_defaults() {
    for (settings, memory_mb, max_fds) in [
        ("", 1_024, 16_384),
        ("[vm]\nmemory_mb =\nmax_fds =\n", 1_024, 16_384),
        ("[vm]\nmemory_mb = 112\nmax_fds = 2870\n", 112, 2_870),
        ("[vm]\nmemory_mb = 360.5\nmax_fds = 8192.0\n", 360, 8_192),
    ] {
        let vm = Config::parse(&format!("{VALID}{settings}")).unwrap().vm;
        assert_eq!((vm.memory.0, vm.max_fds), (memory_mb, max_fds), "{settings}");
    }
}
