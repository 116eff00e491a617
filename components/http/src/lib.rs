//! HTTP/1.1 over `hyper` on `smol`: a client with a connection pool and a server that joins its connections
//! on shutdown.

mod account;
mod account_metrics;
mod body;
mod client;
mod connection_limits;
mod connections;
mod error;
mod held;
mod metered;
mod outgoing;
mod pool;
mod progress;
mod server;
mod sse;
mod tls;

pub use account::{Charge, MemoryAccount, MemoryHolder, OutOfMemory, Shortage};
pub use body::{
    Body, BodySender, channel_body, empty_body, full_body, json_body, read_json, read_limited, stream_body,
};
pub use client::{Client, ClientConfig, PooledBody, is_final, is_unframed};
pub use connection_limits::ConnectionLimits;
pub use error::HttpError;
pub use held::{HeldBody, read_answer, read_held, read_request};
pub use outgoing::OutgoingConnection;
pub use progress::AnswerProgress;
pub use server::{
    Handler, HandlerFuture, Server, ServerConfig, Shutdown, serve_connection, shutdown_channel,
};
pub use sse::{SseEvent, SseReader};
pub use tls::{TlsError, load_acceptor, load_certificates, load_key};

/// Executor that one thread runs; clones share it.
pub type Executor = std::sync::Arc<smol::Executor<'static>>;
