//! Keys, scopes and units of limits.

use derive_more::{Display, From, FromStr};
use serde::{Deserialize, Serialize};

use crate::id::{Backend, Customer, Domain, Region, Service};

/// A number of units of a limit: concurrent requests, requests/s or kbit/s, depending on the [`LimitKey`].
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
    /// Zero units.
    pub const ZERO: Self = Self(0);

    /// Adds, saturating at `u32::MAX`.
    #[must_use]
    pub const fn saturating_add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }

    /// Subtracts, saturating at zero.
    #[must_use]
    pub const fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

/// Identifies a limit that daemons share.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Display, Serialize, Deserialize)]
pub enum LimitKey {
    /// Concurrent requests on a backend server.
    #[display("slots/{_0}")]
    Slots(Backend),
    /// Requests/s of a customer to a service.
    #[display("rate/{_0}/{_1}")]
    Rate(Customer, Service),
    /// Requests/s of a customer to a service that are sent from a region to other regions.
    #[display("shift/{_0}/{_1}/{_2}")]
    Shift(Customer, Service, Region),
    /// Bandwidth in kbit/s from the first region to the second.
    #[display("link/{_0}/{_1}")]
    Link(Region, Region),
}

/// The daemons among which a limit is divided.
///
/// The scope of a key must not change while the limit is in force, because daemons with different scopes for it could
/// exceed the limit together. A backend server that moves to another domain or region gets a new name.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Scope {
    /// Up to [`HOME_SET_MAX`](super::HOME_SET_MAX) daemons of the region, preferably of the failure domain. Used for
    /// [`LimitKey::Slots`].
    Home {
        /// Region of the backend server.
        region: Region,
        /// Failure domain of the backend server.
        domain: Domain,
    },
    /// All daemons of the region from which the requests are sent. Used for [`LimitKey::Shift`].
    Region(Region),
    /// All daemons of two regions. Used for [`LimitKey::Link`]: the requests of one region's daemons and the responses
    /// to the other region's daemons use the link in the same direction.
    Regions(Region, Region),
    /// All daemons of the fleet. Used for [`LimitKey::Rate`].
    Fleet,
}
