//! Hop-by-hop HTTP headers, which apply to a single connection.

/// Names of the hop-by-hop headers in lower case. `Content-Length` is included, since the client sets it for each
/// connection.
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "content-length",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Returns whether a header, named in lower case, must not be forwarded.
///
/// ```
/// use medlarstair_transport::hop::is_hop_by_hop;
/// assert!(is_hop_by_hop("keep-alive"));
/// assert!(!is_hop_by_hop("content-type"));
/// ```
pub fn is_hop_by_hop(name: &str) -> bool {
    HOP_BY_HOP.contains(&name)
}
