//! Settings of an entry host in YAML: read, check, explain.

mod error;
mod settings;

pub use error::ConfigError;
pub use settings::{
    HostSettings, LimitSettings, ListenSettings, LogFormat, LogSettings, PeerSettings, PlatformSettings,
    SecretSettings, Settings, ThreadSettings, TimeoutSettings,
};
