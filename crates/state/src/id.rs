//! Newtypes for identifiers.
//!
//! Operators choose the names. Daemons, boots, revisions and requests are identified by numbers.

use std::fmt;
use std::str::FromStr;

use derive_more::{Display, Error, From, FromStr};
use serde::{Deserialize, Serialize};

/// Maximum length of a name in bytes. Names are part of keys in the key-value service and of metric labels.
pub const NAME_MAX_BYTES: usize = 64;

/// Parse error: the name is empty, too long or contains a character outside `[a-z0-9._-]`.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("invalid name {name:?}: use 1 to {NAME_MAX_BYTES} characters of a-z, 0-9, '.', '_' and '-'")]
pub struct NameError {
    name: Box<str>,
}

/// Returns the name if it has 1 to [`NAME_MAX_BYTES`] allowed characters.
fn check_name(s: &str) -> Result<Box<str>, NameError> {
    let valid = |b: u8| matches!(b, b'a'..=b'z' | b'0'..=b'9' | b'.' | b'_' | b'-');
    if s.is_empty() || s.len() > NAME_MAX_BYTES || !s.bytes().all(valid) {
        return Err(NameError { name: s.into() });
    }
    Ok(s.into())
}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        ///
        /// ```
        #[doc = concat!("use medlarstair_state::id::", stringify!($name), ";")]
        #[doc = concat!("let name: ", stringify!($name), " = \"muscat-1\".parse().unwrap();")]
        /// assert_eq!(name.to_string(), "muscat-1");
        #[doc = concat!("assert!(\"Has Space\".parse::<", stringify!($name), ">().is_err());")]
        /// ```
        #[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Display, Serialize, Deserialize)]
        #[serde(try_from = "Box<str>", into = "Box<str>")]
        pub struct $name(Box<str>);

        impl $name {
            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = NameError;

            fn from_str(s: &str) -> Result<Self, NameError> {
                check_name(s).map(Self)
            }
        }

        impl TryFrom<Box<str>> for $name {
            type Error = NameError;

            fn try_from(s: Box<str>) -> Result<Self, NameError> {
                s.parse()
            }
        }

        impl From<$name> for Box<str> {
            fn from(name: $name) -> Self {
                name.0
            }
        }
    };
}

name_type! {
    /// Name of a region, a set of failure domains near each other.
    Region
}
name_type! {
    /// Name of a failure domain inside a region.
    Domain
}
name_type! {
    /// Name of a customer. Each customer has one contract.
    Customer
}
name_type! {
    /// Name of a service, which backend servers provide.
    Service
}
name_type! {
    /// Name of a backend server.
    Backend
}

/// Number of a daemon, set in its settings file and bound to its listen address.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Display, From, FromStr, Serialize, Deserialize,
)]
pub struct NodeId(pub u32);

/// Number of one start of a daemon. It increases with every start.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Display, From, FromStr, Serialize, Deserialize,
)]
pub struct Boot(pub u64);

/// One run of a daemon, from start to exit.
///
/// ```
/// use medlarstair_state::id::{Boot, Incarnation, NodeId};
/// let inc = Incarnation { node: NodeId(3), boot: Boot(17) };
/// assert_eq!(inc.to_string(), "n3-17");
/// assert_eq!("n3-17".parse(), Ok(inc));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Incarnation {
    /// Node number of the daemon.
    pub node: NodeId,
    /// Boot number of this run.
    pub boot: Boot,
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "n{}-{}", self.node, self.boot)
    }
}

/// Parse error: the text is not of the form `n<node>-<boot>`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("an incarnation has the form n<node>-<boot>")]
pub struct IncarnationError;

impl FromStr for Incarnation {
    type Err = IncarnationError;

    fn from_str(s: &str) -> Result<Self, IncarnationError> {
        let (node, boot) = s.strip_prefix('n').and_then(|s| s.split_once('-')).ok_or(IncarnationError)?;
        Ok(Self {
            node: node.parse().map_err(|_| IncarnationError)?,
            boot: boot.parse().map_err(|_| IncarnationError)?,
        })
    }
}

/// Revision of the key-value service at which a key was last modified.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Display,
    From,
    FromStr,
    Serialize,
    Deserialize,
)]
pub struct Revision(pub u64);

/// Number of restorations of the key-value service from an older copy. Revisions are comparable only within an era.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Display,
    From,
    FromStr,
    Serialize,
    Deserialize,
)]
pub struct Era(pub u64);

/// Number that a daemon assigns to a request which it handles.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Display, Serialize, Deserialize)]
pub struct RequestId(pub u64);

/// Hash of customer, service, method, path and body of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fingerprint(pub u64);

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Priority class of a request. Variants that compare lower are served first.
///
/// ```
/// use medlarstair_state::id::Rank;
/// assert_eq!("bulk".parse(), Ok(Rank::Bulk));
/// assert!(Rank::Urgent < Rank::Bulk);
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Display, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
#[display(rename_all = "lowercase")]
pub enum Rank {
    /// Interactive work: a person is waiting for the response.
    Urgent,
    /// Work with a deadline for which nobody is waiting interactively.
    Standard,
    /// Background work that may be delayed.
    Bulk,
}

impl Rank {
    /// All ranks in the order in which they are served.
    pub const ALL: [Self; 3] = [Self::Urgent, Self::Standard, Self::Bulk];

    /// Position in [`Rank::ALL`].
    pub fn index(self) -> usize {
        self as usize
    }
}

/// Parse error: the text is not the name of a rank.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("a rank is one of urgent, standard, bulk")]
pub struct RankError;

impl FromStr for Rank {
    type Err = RankError;

    fn from_str(s: &str) -> Result<Self, RankError> {
        match s {
            "urgent" => Ok(Self::Urgent),
            "standard" => Ok(Self::Standard),
            "bulk" => Ok(Self::Bulk),
            _ => Err(RankError),
        }
    }
}
