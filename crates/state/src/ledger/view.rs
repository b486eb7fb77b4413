//! Read access to the limits of a ledger.

use super::{Ledger, LimitKey};

impl Ledger {
    /// Keys of the limits in force, in ascending order. Removed limits that still have units in use are left out.
    pub fn keys(&self) -> impl Iterator<Item = &LimitKey> {
        self.limits.values().filter(|state| !state.is_removed).map(|state| &*state.key)
    }
}
