//! Read access to all limits.

use super::{Ledger, LimitKey};

impl Ledger {
    /// The limits in force, in order.
    pub fn keys(&self) -> impl Iterator<Item = &LimitKey> {
        self.limits.values().filter(|state| !state.is_removed).map(|state| &*state.key)
    }
}
