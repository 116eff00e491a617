//! Directory of the locations of prompt pieces (blocks of the KV cache): names of pieces, their copies on
//! targets and stores, and the sharding of the directory over entry hosts.

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
