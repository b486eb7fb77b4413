//! Limits, their keys and their units.

use derive_more::{Display, From, FromStr};
use serde::{Deserialize, Serialize};

use crate::id::{Backend, Customer, Domain, Region, Service};

/// Units of a limit: slots, requests/s or kbit/s, depending on the [`LimitKey`].
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Display,
    From,
    FromStr,
    Serialize,
    Deserialize,
)]
pub struct Units(pub u32);

impl Units {
    /// No units.
    pub const ZERO: Self = Self(0);

    /// Sum, at most `u32::MAX`.
    #[must_use]
    pub const fn saturating_add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }

    /// Difference, at least zero.
    #[must_use]
    pub const fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

/// Names one shared limit.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Display, Serialize, Deserialize)]
pub enum LimitKey {
    /// Requests that a backend server runs at a time.
    #[display("slots/{_0}")]
    Slots(Backend),
    /// Requests/s of a customer to a service.
    #[display("rate/{_0}/{_1}")]
    Rate(Customer, Service),
    /// Requests/s of a customer to a service that leave a region.
    #[display("shift/{_0}/{_1}/{_2}")]
    Shift(Customer, Service, Region),
    /// Bandwidth in kbit/s from one region to another.
    #[display("link/{_0}/{_1}")]
    Link(Region, Region),
}

/// Which daemons divide a limit among themselves.
///
/// The scope of a key must not change while the limit is in force: daemons that disagree about it could exceed the
/// limit together. A backend server that moves gets a new name.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Scope {
    /// A few daemons of the region, those of the failure domain first. Used for [`LimitKey::Slots`].
    Home {
        /// Region of the backend server.
        region: Region,
        /// Failure domain of the backend server.
        domain: Domain,
    },
    /// All daemons of the region that the traffic leaves. Used for [`LimitKey::Shift`].
    Region(Region),
    /// All daemons of two regions. Used for [`LimitKey::Link`]: daemons of one region send requests over the link,
    /// and answers to daemons of the other take the same direction.
    Regions(Region, Region),
    /// All daemons. Used for [`LimitKey::Rate`].
    Fleet,
}
