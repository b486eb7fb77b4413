//! Client accounts of a configuration: API keys, priorities, home regions and quotas.
//!
//! A fault in one account never makes a configuration unusable. It is recorded as an [`AccountFault`], and the doc comment of
//! its [`AccountFaultKind`] states the effect. No key of a faulty account or entry gives access to another account.

use std::collections::{HashMap, HashSet};
use std::fmt;
use std::rc::Rc;
use std::str::FromStr;

use derive_more::{Display, Error};

use crate::id::Region;
use crate::steering::plan::Priority;

/// Maximum length of an account name in bytes. The name is sent to servers in a header.
const MAX_NAME_BYTES: usize = 128;

/// Maximum length of an API key in bytes. A longer one would not fit into a request head together with other headers.
const MAX_KEY_BYTES: usize = 4 << 10;

/// Maximum rate and burst of a quota. No fleet serves more, and sums of them stay exact.
const MAX_QUOTA: f64 = 1e9;

/// Index of an account in one configuration version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Display)]
pub struct AccountId(pub u32);

/// The text is not a valid account name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("an account name must have 1 to {MAX_NAME_BYTES} visible ASCII characters")]
pub struct ParseAccountNameError;

/// Name of an account, unique in a configuration.
///
/// ```
/// use medlarstair_state::steering::accounts::AccountName;
/// let name: AccountName = "kaje80".parse().unwrap();
/// assert_eq!(name.to_string(), "kaje80");
/// assert!("".parse::<AccountName>().is_err());
/// assert!("two words".parse::<AccountName>().is_err());
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Display)]
pub struct AccountName(Box<str>);

impl AccountName {
    /// The name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl FromStr for AccountName {
    type Err = ParseAccountNameError;

    fn from_str(s: &str) -> Result<Self, ParseAccountNameError> {
        let is_valid = (1..=MAX_NAME_BYTES).contains(&s.len()) && s.bytes().all(|b| b.is_ascii_graphic());
        if is_valid { Ok(Self(s.into())) } else { Err(ParseAccountNameError) }
    }
}

/// The text is not a valid API key. The text is not part of the error.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("an API key must have 1 to {MAX_KEY_BYTES} visible ASCII characters")]
pub struct ParseApiKeyError;

/// Secret by which a client authenticates. It has no `Display`, and `Debug` does not show it.
#[derive(Clone, PartialEq, Eq, Hash)]
pub struct ApiKey(Box<[u8]>);

impl fmt::Debug for ApiKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ApiKey(..)")
    }
}

impl FromStr for ApiKey {
    type Err = ParseApiKeyError;

    fn from_str(s: &str) -> Result<Self, ParseApiKeyError> {
        let is_valid = (1..=MAX_KEY_BYTES).contains(&s.len()) && s.bytes().all(|b| b.is_ascii_graphic());
        if is_valid { Ok(Self(s.as_bytes().into())) } else { Err(ParseApiKeyError) }
    }
}

/// The key table looks keys up by the bytes of a header.
impl std::borrow::Borrow<[u8]> for ApiKey {
    fn borrow(&self) -> &[u8] {
        &self.0
    }
}

/// Number of requests per second.
#[derive(Debug, Clone, Copy, Default, PartialEq, PartialOrd, Display)]
#[display("{_0}/s")]
pub struct RequestRate(pub f64);

/// Limit on the requests of an account over all daemons.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Quota {
    /// Sustained rate, greater than zero.
    pub rate: RequestRate,
    /// Number of requests in excess of the rate.
    pub burst: f64,
}

/// A client account.
#[derive(Debug, Clone, PartialEq)]
pub struct Account {
    /// Name, as servers receive it.
    pub name: AccountName,
    /// Priority of the account's requests. `None` if that of the route applies.
    pub priority: Option<Priority>,
    /// Quota. `None` if there is no limit.
    pub quota: Option<Quota>,
    /// Regions in which the account's requests may run. Empty if all are allowed.
    pub home_regions: Vec<Region>,
}

/// An account as the operator wrote it, not yet checked.
#[derive(Debug, Clone, Default)]
pub struct AccountSpec {
    /// Name.
    pub name: Box<str>,
    /// API keys.
    pub keys: Vec<ApiKey>,
    /// Number of keys that are not valid, and are not in `keys`.
    pub invalid_keys: usize,
    /// Priority. `None` if not given.
    pub priority: Option<f64>,
    /// Rate of the quota. Zero means none.
    pub quota_rate: f64,
    /// Burst of the quota.
    pub burst: f64,
    /// Home regions.
    pub home_regions: Vec<Region>,
}

/// Kind of a fault in the accounts of a configuration. Each states its effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display)]
pub enum AccountFaultKind {
    /// The name is invalid. The account is ignored, so its keys are unknown.
    #[display("invalid-name")]
    InvalidName,
    /// An earlier account has the same name. This one is ignored, so its keys are unknown.
    #[display("duplicate-name")]
    DuplicateName,
    /// The account has no valid key. No request can use it.
    #[display("no-keys")]
    NoKeys,
    /// A key is empty, too long or has characters that a header cannot carry. The key is ignored.
    #[display("invalid-key")]
    InvalidKey,
    /// Another account has the same key. The key is unknown for all of them.
    #[display("shared-key")]
    SharedKey,
    /// The rate is negative, not finite or greater than any fleet serves, so the account has no quota; or the burst is, and
    /// is then zero or the greatest possible one.
    #[display("invalid-quota")]
    InvalidQuota,
    /// The priority is not a whole number from 0 to 255. The nearest one applies.
    #[display("invalid-priority")]
    InvalidPriority,
}

/// A fault in the accounts of a configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AccountFault {
    /// Position of the account in the configuration.
    pub account: AccountId,
    /// Kind of the fault.
    pub kind: AccountFaultKind,
}

/// All accounts of one configuration version.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Accounts {
    is_configured: bool,
    accounts: Vec<Rc<Account>>,
    keys: HashMap<ApiKey, AccountId>,
    faults: Vec<AccountFault>,
}

impl Accounts {
    /// Checks the accounts of a configuration.
    ///
    /// ```
    /// use medlarstair_state::steering::accounts::{AccountSpec, Accounts};
    /// let spec = AccountSpec {
    ///     name: "kaje80".into(),
    ///     keys: vec!["secret".parse().unwrap()],
    ///     ..AccountSpec::default()
    /// };
    /// let accounts = Accounts::new(vec![spec]);
    /// let id = accounts.of_key(b"secret").unwrap();
    /// assert_eq!(accounts.get(id).name.as_str(), "kaje80");
    /// assert_eq!(accounts.of_key(b"other"), None);
    /// ```
    pub fn new(specs: Vec<AccountSpec>) -> Self {
        let mut accounts = Self { is_configured: !specs.is_empty(), ..Self::default() };
        let mut names = HashSet::new();
        let mut shared_keys = HashSet::new();
        for (n, spec) in specs.into_iter().enumerate() {
            let position = AccountId(n as u32);
            let Ok(name) = spec.name.parse::<AccountName>() else {
                accounts.add_fault(position, AccountFaultKind::InvalidName);
                continue;
            };
            if !names.insert(name.clone()) {
                accounts.add_fault(position, AccountFaultKind::DuplicateName);
                continue;
            }
            accounts.add(position, name, spec, &mut shared_keys);
        }
        accounts.keys.retain(|key, _| !shared_keys.contains(key));
        accounts
    }

    /// Adds an account with a valid and unique name.
    fn add(
        &mut self,
        position: AccountId,
        name: AccountName,
        spec: AccountSpec,
        shared_keys: &mut HashSet<ApiKey>,
    ) {
        let id = AccountId(self.accounts.len() as u32);
        for _ in 0..spec.invalid_keys {
            self.add_fault(position, AccountFaultKind::InvalidKey);
        }
        if spec.keys.is_empty() {
            self.add_fault(position, AccountFaultKind::NoKeys);
        }
        for key in spec.keys {
            if self.keys.get(&key).is_some_and(|other| *other != id) {
                self.add_fault(position, AccountFaultKind::SharedKey);
                shared_keys.insert(key);
                continue;
            }
            self.keys.insert(key, id);
        }
        let priority = spec.priority.map(|number| self.check_priority(position, number));
        let quota = self.check_quota(position, spec.quota_rate, spec.burst);
        let account = Account { name, priority, quota, home_regions: spec.home_regions };
        self.accounts.push(Rc::new(account));
    }

    fn check_priority(&mut self, position: AccountId, number: f64) -> Priority {
        // The conversion saturates.
        let priority = number.round() as u8;
        if f64::from(priority) != number {
            self.add_fault(position, AccountFaultKind::InvalidPriority);
        }
        Priority(priority)
    }

    fn check_quota(&mut self, position: AccountId, rate: f64, burst: f64) -> Option<Quota> {
        if rate == 0.0 {
            return None;
        }
        if !(0.0..=MAX_QUOTA).contains(&rate) {
            self.add_fault(position, AccountFaultKind::InvalidQuota);
            return None;
        }
        if (0.0..=MAX_QUOTA).contains(&burst) {
            return Some(Quota { rate: RequestRate(rate), burst });
        }
        self.add_fault(position, AccountFaultKind::InvalidQuota);
        let burst = if burst > MAX_QUOTA { MAX_QUOTA } else { 0.0 };
        Some(Quota { rate: RequestRate(rate), burst })
    }

    fn add_fault(&mut self, account: AccountId, kind: AccountFaultKind) {
        self.faults.push(AccountFault { account, kind });
    }

    /// Whether the configuration lists accounts, so that requests need a key. Also true if all of them are faulty.
    pub fn is_configured(&self) -> bool {
        self.is_configured
    }

    /// The account of a key. Does not allocate.
    pub fn of_key(&self, key: &[u8]) -> Option<AccountId> {
        self.keys.get(key).copied()
    }

    /// An account by its index.
    ///
    /// # Panics
    ///
    /// If the index is of another configuration version that has more accounts.
    pub fn get(&self, id: AccountId) -> &Rc<Account> {
        &self.accounts[id.0 as usize]
    }

    /// All usable accounts in the order of the configuration.
    pub fn iter(&self) -> impl Iterator<Item = &Rc<Account>> {
        self.accounts.iter()
    }

    /// The faults in the accounts of the configuration.
    pub fn faults(&self) -> &[AccountFault] {
        &self.faults
    }
}
