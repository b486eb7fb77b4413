//! Bounded queues by rank with floors.
