//! Client accounts: key lookup, and the effect of faulty entries.

use std::rc::Rc;

use medlarstair_state::steering::accounts::{
    AccountFaultKind as Fault, AccountSpec, Accounts, Quota, RequestRate,
};
use medlarstair_state::steering::plan::Priority;

#[path = "steering_support/mod.rs"]
mod support;

fn spec(name: &str, keys: &[&str]) -> AccountSpec {
    AccountSpec {
        name: name.into(),
        keys: keys.iter().map(|key| key.parse().unwrap()).collect(),
        ..AccountSpec::default()
    }
}

fn name_of_key(accounts: &Accounts, key: &str) -> Option<String> {
    accounts.of_key(key.as_bytes()).map(|id| accounts.get(id).name.to_string())
}

fn kinds(accounts: &Accounts) -> Vec<Fault> {
    accounts.faults().iter().map(|fault| fault.kind).collect()
}

/// Guards against a faulty account that takes over a key or a name of another one, and against a fault that is not reported.
#[test]
fn faulty_accounts_get_no_access() {
    let accounts = Accounts::new(vec![
        spec("one", &["a", "shared", "a"]),
        spec("two", &["b", "shared"]),
        spec("three", &["shared"]),
        spec("one", &["c"]),
        spec("", &["d"]),
        spec("four", &[]),
    ]);
    for (key, expected) in [
        ("a", Some("one")),
        ("b", Some("two")),
        ("shared", None),
        ("c", None),
        ("d", None),
        ("", None),
        (&*"k".repeat(64 << 10), None),
    ] {
        assert_eq!(name_of_key(&accounts, key).as_deref(), expected);
    }
    let expected =
        [Fault::SharedKey, Fault::SharedKey, Fault::DuplicateName, Fault::InvalidName, Fault::NoKeys];
    assert_eq!(kinds(&accounts), expected);
    assert!(!format!("{accounts:?}").contains("shared\""), "keys must not be shown");
}

/// Guards against a configuration whose accounts are all faulty and that is then served without keys.
#[test]
fn faulty_accounts_still_require_keys() {
    assert!(Accounts::new(vec![spec("", &[])]).is_configured());
    assert!(!Accounts::new(Vec::new()).is_configured());
}

/// Guards against quotas and priorities out of range that overflow, panic or cut off an account.
#[test]
fn numbers_out_of_range_have_a_defined_effect() {
    let quota = |rate, burst| {
        let accounts = Accounts::new(vec![AccountSpec { quota_rate: rate, burst, ..spec("one", &["a"]) }]);
        (accounts.get(accounts.of_key(b"a").unwrap()).quota, kinds(&accounts))
    };
    let some = |rate, burst| Some(Quota { rate: RequestRate(rate), burst });
    let faulty = vec![Fault::InvalidQuota];
    assert_eq!(quota(0.0, 5.0), (None, Vec::new()));
    assert_eq!(quota(10.0, 5.0), (some(10.0, 5.0), Vec::new()));
    for rate in [-1.0, 1e300, f64::NAN, f64::INFINITY] {
        assert_eq!(quota(rate, 5.0), (None, faulty.clone()), "{rate}");
    }
    for (burst, expected) in [(-1.0, 0.0), (1e300, 1e9), (f64::NAN, 0.0)] {
        assert_eq!(quota(10.0, burst), (some(10.0, expected), faulty.clone()), "{burst}");
    }
    for (number, expected) in [(3.0, 3), (-1.0, 0), (1e300, 255), (1.4, 1), (f64::NAN, 0)] {
        let accounts = Accounts::new(vec![AccountSpec { priority: Some(number), ..spec("one", &["a"]) }]);
        let account = Rc::clone(accounts.get(accounts.of_key(b"a").unwrap()));
        assert_eq!(account.priority, Some(Priority(expected)), "{number}");
        assert_eq!(kinds(&accounts).is_empty(), number == 3.0, "{number}");
    }
}

/// Guards against a request that runs in a region that its account or its route excludes.
#[test]
fn home_regions_of_account_and_route_both_apply() {
    for (route_regions, account_regions, expected) in [
        (vec![], vec![], Some(vec![])),
        (vec!["near"], vec![], Some(vec!["near"])),
        (vec![], vec!["far"], Some(vec!["far"])),
        (vec!["near", "far"], vec!["far", "farther"], Some(vec!["far"])),
        (vec!["near"], vec!["far"], None),
    ] {
        let parse = |names: &[&str]| names.iter().map(|n| n.parse().unwrap()).collect::<Vec<_>>();
        let mut route = support::route("r", "/r/");
        route.home_regions = parse(&route_regions);
        let account =
            AccountSpec { priority: Some(0.0), home_regions: parse(&account_regions), ..spec("one", &["a"]) };
        let accounts = Accounts::new(vec![account]);
        let combined = route.for_account(accounts.get(accounts.of_key(b"a").unwrap()));
        assert_eq!(combined.as_ref().map(|r| r.home_regions.clone()), expected.map(|e| parse(&e)));
        assert!(combined.is_none_or(|r| r.priority == Priority(0)));
    }
}
