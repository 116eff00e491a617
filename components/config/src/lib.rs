//! Settings of an entry host in YAML: read, check, explain.

mod check;
mod error;
mod fields;
mod settings;

pub use error::ConfigError;
pub use fields::explain;
pub use settings::{
    HostSettings, LimitSettings, ListenSettings, LogFormat, LogSettings, PeerSettings, PlatformSettings,
    SecretSettings, Settings, ThreadSettings, TimeoutSettings, TlsSettings,
};
