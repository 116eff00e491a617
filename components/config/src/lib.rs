//! Settings of an entry host: parsing from YAML, validation, and a description of every field.

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
