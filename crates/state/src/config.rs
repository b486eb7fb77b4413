//! Configuration entries by revision.
