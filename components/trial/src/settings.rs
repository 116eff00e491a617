use std::net::SocketAddr;

use config::{
    HostSettings, LimitSettings, ListenSettings, LogSettings, PeerSettings, PlatformSettings, SecretSettings,
    Settings, ThreadSettings, TimeoutSettings,
};

/// Interval at which an entry host reads the host list and the head of the notes, in milliseconds.
const POLL_INTERVAL_MS: u64 = 100;
/// Timeout for the next event of a stream, in milliseconds.
const PROGRESS_TIMEOUT_MS: u64 = 1_000;
/// Time from the start of a drain until a host stops accepting requests, in milliseconds.
const DRAIN_NOTICE_MS: u64 = 500;

/// Name and location of a host of the trial.
pub(crate) struct HostSpec {
    /// Name of the host.
    pub(crate) id: &'static str,
    /// Region of the host.
    pub(crate) region: &'static str,
    /// Failure domain of the host.
    pub(crate) failure_domain: &'static str,
}

/// Returns the settings of an entry host whose listeners are on the loopback address.
pub(crate) fn settings(spec: &HostSpec, platform: SocketAddr) -> Settings {
    Settings {
        host: HostSettings {
            id: spec.id.into(),
            region: spec.region.into(),
            failure_domain: spec.failure_domain.into(),
        },
        listen: ListenSettings {
            callers: loopback(),
            operators: loopback(),
            peers: loopback(),
        },
        platform: PlatformSettings {
            list_interval_ms: POLL_INTERVAL_MS,
            head_interval_ms: POLL_INTERVAL_MS,
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
            progress_ms: PROGRESS_TIMEOUT_MS,
            drain_notice_ms: DRAIN_NOTICE_MS,
            ..TimeoutSettings::default()
        },
        log: LogSettings::default(),
    }
}

/// Returns the loopback address with port 0, for which the system chooses a free port.
pub(crate) fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}
