//! Global traffic steering for requests across regions.
//!
//! medlarstair routes requests of callers across regions to backend servers that can serve them. Its crates form
//! layers, and each layer can be used without those above it:
//!
//! - [`state`]: the decision logic, without I/O, clocks or threads. It contains shares and loans, which divide a limit
//!   among daemons without consensus, priority queues, backend selection, at-most-once operations, membership, and
//!   versioned configuration.
//! - [`protocol`]: messages between daemons and types of the external API.
//! - [`transport`]: sockets, the HTTP client for backend servers and the client for the key-value service.
//! - [`coordination`]: the actors of an entry daemon, built on the other layers.
//!
//! The decision logic handles events and emits effects:
//!
//! ```
//! use medlarstair::state::id::{Boot, Incarnation, NodeId};
//! use medlarstair::state::node::{Event, Node, NodeConfig};
//! use medlarstair::state::operation::Minute;
//! use medlarstair::state::time::Timestamp;
//!
//! let me = Incarnation { node: NodeId(1), boot: Boot(1) };
//! let (region, domain) = ("muscat".parse().unwrap(), "muscat-a".parse().unwrap());
//! let cfg = NodeConfig { me, region, domain, epoch: Minute(0), seed: 1 };
//! let mut node: Node = Node::new(cfg, Timestamp::ZERO);
//! let mut effects = Vec::new();
//! node.handle(Timestamp::from_millis(10), Event::Tick, &mut effects);
//! assert!(!effects.is_empty());
//! ```

pub use medlarstair_coordination as coordination;
pub use medlarstair_protocol as protocol;
pub use medlarstair_state as state;
pub use medlarstair_transport as transport;
