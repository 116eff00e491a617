//! Interfaces of the targets (model engines, plain services and store hosts) and their HTTP clients.

mod engine;
mod engine_http;
mod error;
mod order;
mod piece;
mod service;
mod service_http;
mod store;
mod store_http;

pub use engine::{
    CacheEvent, CacheEvents, CacheSnapshot, DraftChunk, DraftEnd, DraftEvent, DraftRequest, DraftStart,
    DraftStream, Engine, LoadReport,
};
pub use engine_http::HttpEngine;
pub use error::TargetError;
pub use metadata::BoxFuture;
pub use order::{Order, OrderKind, OrderReply};
pub use piece::{Manifest, PIECE_TOKENS, PieceId, TransferRequest};
pub use service::{CallOutcome, CallReply, CallRequest, Service};
pub use service_http::HttpService;
pub use store::{Catalogue, Store};
pub use store_http::HttpStore;
