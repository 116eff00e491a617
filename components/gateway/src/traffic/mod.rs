//! Request path: admission, placement, sending and answering. Runs on the traffic thread.

mod accept;
mod admit;
mod capacity;
mod cold;
mod connect;
mod crashes;
mod exchange;
mod exclusion;
mod limits;
mod list_checks;
mod open;
mod origin_record;
mod origins;
mod other_hosts;
mod outgoing;
mod pipeline;
mod place;
mod pool;
mod refusal;
mod relay;
mod request;
mod resumption;
mod state;
mod stream_events;
mod whole_body;

pub(crate) use crashes::{CrashReceivers, crash_channels};
pub use exclusion::{Exclusion, PlacementRules};
pub(crate) use origins::{FindQuery, FindResult, Origins};
pub(crate) use pipeline::serve;
pub(crate) use place::Placed;
pub(crate) use refusal::Refusal;
pub(crate) use request::Call;
pub(crate) use resumption::OriginBasis;
pub(crate) use state::Traffic;
pub use stream_events::{EventSplitter, Progress};
