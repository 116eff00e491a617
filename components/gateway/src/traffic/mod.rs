//! Request path: admission, placement, sending and answering. Runs on the traffic thread.

mod accept;
mod admit;
mod connect;
mod crashes;
mod exchange;
mod learn;
mod outgoing;
mod pipeline;
mod place;
mod pool;
mod refusal;
mod relay;
mod request;
mod state;
mod stream_events;

pub(crate) use crashes::{CrashReceivers, crash_channels};
pub use learn::Suspensions;
pub(crate) use pipeline::serve;
pub(crate) use state::Traffic;
pub use stream_events::{EventSplitter, Progress};
