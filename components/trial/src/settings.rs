use std::net::SocketAddr;

use config::{
    HostSettings, LimitSettings, ListenSettings, LogSettings, PeerSettings, PlatformSettings, SecretSettings,
    Settings, ThreadSettings, TimeoutSettings,
};

/// Time between two reads of the host list or of the head of the notes, in milliseconds.
const POLL_MS: u64 = 100;
/// Longest time without progress of a stream, in milliseconds.
const PROGRESS_MS: u64 = 1_000;
/// Time from a drain's start to the end of accepting, in milliseconds.
const DRAIN_NOTICE_MS: u64 = 500;

/// Where an entry host of the trial stands.
pub(crate) struct Place {
    /// Its name.
    pub(crate) id: &'static str,
    /// Its region.
    pub(crate) region: &'static str,
    /// Its failure domain.
    pub(crate) failure_domain: &'static str,
}

/// Settings of an entry host on loopback.
pub(crate) fn settings(place: &Place, platform: SocketAddr) -> Settings {
    Settings {
        host: HostSettings {
            id: place.id.into(),
            region: place.region.into(),
            failure_domain: place.failure_domain.into(),
        },
        listen: ListenSettings {
            callers: loopback(),
            operators: loopback(),
            peers: loopback(),
        },
        platform: PlatformSettings {
            list_interval_ms: POLL_MS,
            head_interval_ms: POLL_MS,
            ..PlatformSettings::new(platform)
        },
        peers: PeerSettings::default(),
        tls: None,
        secrets: SecretSettings {
            resume: utils::digest(b"trial: resume tokens"),
            pieces: utils::digest(b"trial: names of pieces"),
        },
        threads: ThreadSettings::default(),
        limits: LimitSettings::default(),
        timeouts: TimeoutSettings {
            progress_ms: PROGRESS_MS,
            drain_notice_ms: DRAIN_NOTICE_MS,
            ..TimeoutSettings::default()
        },
        log: LogSettings::default(),
    }
}

/// A free port on the loopback address.
pub(crate) fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}
