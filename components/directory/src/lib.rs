//! Where each piece of a prompt is kept: names of pieces, copies on targets and stores, shards over entry hosts.

mod copies;
mod feed;
mod holders;
mod piece;
mod segment;
mod shard;

pub use copies::{Directory, DirectoryView, Footprint};
pub use feed::Reread;
pub use piece::{BYTES_PER_TOKEN, Chain, PIECE_BYTES, PieceScope, WorkspaceKey, count_tokens};
pub use shard::{Sharding, owners, shard_of};
