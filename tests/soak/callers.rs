use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Instant;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::common::deployment::{
    GUEST, WORKSPACES, guest_key, plain_headers, prompt_headers, versioned_path,
};
use crate::common::{Caller, Reply};
use crate::process::Host;

/// Maximum number of times that a caller reuses a connection.
const MAX_REUSES: u32 = 12;

/// A caller's request and its reply.
#[derive(Debug, Clone)]
pub(crate) struct SentRequest {
    pub id: String,
    /// Index of the host that received it.
    pub host: usize,
    /// Start count of the host when the request was sent and when it ended.
    pub start_counts: (u64, u64),
    pub path: String,
    pub workspace: &'static str,
    /// Version of the only declaration that allows the request; `None` if every declaration allows it.
    pub required_version: Option<u64>,
    pub sent_at: Instant,
    pub ended_at: Instant,
    pub reply: Reply,
}

/// State that all callers share.
pub(crate) struct CallerContext<'a> {
    /// Hosts that receive the requests.
    pub hosts: &'a [Host],
    /// Version of the newest declaration.
    pub declared_version: &'a AtomicU64,
    /// Whether callers stop after their current request.
    pub stop: &'a AtomicBool,
}

/// Sends requests until the stop flag is set, mostly on reused connections.
pub(crate) fn run_caller(context: &CallerContext<'_>, seed: u64, index: usize) -> Vec<SentRequest> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ (index as u64 + 1) << 32);
    let mut idle: HashMap<usize, (Caller, u32)> = HashMap::new();
    let mut requests = Vec::new();
    while !context.stop.load(Ordering::SeqCst) {
        let host = rng.random_range(0..context.hosts.len());
        let address = context.hosts[host].file.callers;
        let connection = idle
            .remove(&host)
            .or_else(|| Some((Caller::try_connect(address)?, 0)));
        let Some((mut caller, used)) = connection else {
            std::thread::sleep(std::time::Duration::from_millis(10));
            continue;
        };
        let request = send(
            context,
            &mut rng,
            &mut caller,
            host,
            format!("{index}-{}", requests.len()),
        );
        let closes = request.reply.header("connection") == Some("close");
        if request.reply.is_complete && !closes && used < MAX_REUSES {
            idle.insert(host, (caller, used + 1));
        }
        requests.push(request);
    }
    requests
}

fn send(
    context: &CallerContext<'_>,
    rng: &mut ChaCha8Rng,
    caller: &mut Caller,
    host: usize,
    id: String,
) -> SentRequest {
    let newest = context.declared_version.load(Ordering::SeqCst);
    let (mut workspace, key, _) = WORKSPACES[rng.random_range(0..WORKSPACES.len())];
    let mut key = key.to_owned();
    let version = newest.saturating_sub(rng.random_range(0..3)).max(1);
    let mut required_version = None;
    let path = match rng.random_range(0..12) {
        0..=2 => "/once/x".to_owned(),
        3..=4 => "/safe/x".to_owned(),
        5..=6 => "/chat/x".to_owned(),
        7..=9 => "/talk/x".to_owned(),
        10 => {
            required_version = Some(version);
            format!("{}x", versioned_path(version))
        }
        _ => {
            required_version = Some(version);
            (workspace, key) = (GUEST, guest_key(version));
            "/safe/x".to_owned()
        }
    };
    let has_prompt = path.starts_with("/chat/") || path.starts_with("/talk/");
    let headers = match has_prompt {
        true => prompt_headers(&key, rng.random_range(0..20)),
        false => plain_headers(&key),
    };
    let start_count = || context.hosts[host].start_count.load(Ordering::SeqCst);
    let (sent_at, starts_before) = (Instant::now(), start_count());
    let reply = caller.request("POST", &path, &id, &headers, "body");
    SentRequest {
        id,
        host,
        start_counts: (starts_before, start_count()),
        path,
        workspace,
        required_version,
        sent_at,
        ended_at: Instant::now(),
        reply,
    }
}
