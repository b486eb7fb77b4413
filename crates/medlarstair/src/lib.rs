//! Global traffic steering: a library of coordination parts.
//!
//! medlarstair steers requests of callers across regions to the backend servers that can serve them. Its parts are
//! layered, and each layer can be used without those above it:
//!
//! - [`state`]: the decision logic, free of I/O, clocks and threads. Shares and loans that divide a limit among daemons
//!   without agreement, queues by rank, the choice of a backend server, operations that run at most once,
//!   membership, configuration by revision.
//! - [`protocol`]: the messages between daemons and the types of the external API.
//! - [`transport`]: sockets, the HTTP client for backend servers, the client of the key-value service.
//! - [`coordination`]: the actors that make a daemon of these.
//!
//! The decision logic takes events and returns effects:
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
