//! Traffic between entry hosts over QUIC connections with mutual TLS: heartbeats as datagrams, queries as
//! streams.

mod error;
mod keys;
mod link;
mod name;
mod runtime;
mod tls;
mod transport;

pub use error::PeerError;
pub use keys::{HostKeys, generate_keys, write_keys};
pub use tls::PeerTls;
pub use transport::{Executor, InboundMessage, MAX_STREAM_BYTES, Transport, TransportOptions};
