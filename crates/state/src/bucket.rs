//! Token buckets for rate limits.
