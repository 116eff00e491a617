//! Settings of an entry host in YAML: read, check, explain.

mod error;
mod explain;
mod settings;

pub use error::ConfigError;
pub use explain::explain;
pub use settings::{
    HostSettings, LimitSettings, ListenSettings, LogFormat, LogSettings, PeerSettings, PlatformSettings,
    SecretSettings, Settings, ThreadSettings, TimeoutSettings,
};
