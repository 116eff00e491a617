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

/// Requests of a caller on one connection, at most.
const KEPT_FOR: u32 = 12;

/// A request and what became of it.
#[derive(Debug, Clone)]
pub(crate) struct Attempt {
    pub id: String,
    /// Index of the host.
    pub host: usize,
    /// Starts of the host's process when the request was sent and when it ended.
    pub starts: (u64, u64),
    pub path: String,
    pub workspace: &'static str,
    /// The declaration that alone allows it; none if all do.
    pub only_in: Option<u64>,
    pub sent_at: Instant,
    pub ended_at: Instant,
    pub reply: Reply,
}

/// What callers share.
pub(crate) struct Ask<'a> {
    pub hosts: &'a [Host],
    /// The newest declaration.
    pub declared: &'a AtomicU64,
    pub stop: &'a AtomicBool,
}

/// Sends requests until told to stop, mostly on kept connections.
pub(crate) fn call(ask: &Ask<'_>, seed: u64, number: usize) -> Vec<Attempt> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ (number as u64 + 1) << 32);
    let mut kept: HashMap<usize, (Caller, u32)> = HashMap::new();
    let mut attempts = Vec::new();
    while !ask.stop.load(Ordering::SeqCst) {
        let host = rng.random_range(0..ask.hosts.len());
        let address = ask.hosts[host].file.callers;
        let found = kept
            .remove(&host)
            .or_else(|| Some((Caller::try_connect(address)?, 0)));
        let Some((mut caller, used)) = found else {
            std::thread::sleep(std::time::Duration::from_millis(10));
            continue;
        };
        let attempt = one(
            ask,
            &mut rng,
            &mut caller,
            host,
            format!("{number}-{}", attempts.len()),
        );
        let is_closing = attempt.reply.header("connection") == Some("close");
        if attempt.reply.is_complete && !is_closing && used < KEPT_FOR {
            kept.insert(host, (caller, used + 1));
        }
        attempts.push(attempt);
    }
    attempts
}

fn one(ask: &Ask<'_>, rng: &mut ChaCha8Rng, caller: &mut Caller, host: usize, id: String) -> Attempt {
    let newest = ask.declared.load(Ordering::SeqCst);
    let (mut workspace, key, _) = WORKSPACES[rng.random_range(0..WORKSPACES.len())];
    let mut key = key.to_owned();
    let version = newest.saturating_sub(rng.random_range(0..3)).max(1);
    let mut only_in = None;
    let path = match rng.random_range(0..12) {
        0..=2 => "/once/x".to_owned(),
        3..=4 => "/safe/x".to_owned(),
        5..=6 => "/chat/x".to_owned(),
        7..=9 => "/talk/x".to_owned(),
        10 => {
            only_in = Some(version);
            format!("{}x", versioned_path(version))
        }
        _ => {
            only_in = Some(version);
            (workspace, key) = (GUEST, guest_key(version));
            "/safe/x".to_owned()
        }
    };
    let has_prompt = path.starts_with("/chat/") || path.starts_with("/talk/");
    let headers = match has_prompt {
        true => prompt_headers(&key, rng.random_range(0..20)),
        false => plain_headers(&key),
    };
    let starts = || ask.hosts[host].starts.load(Ordering::SeqCst);
    let (sent_at, started) = (Instant::now(), starts());
    let reply = caller.request("POST", &path, &id, &headers, "body");
    Attempt {
        id,
        host,
        starts: (started, starts()),
        path,
        workspace,
        only_in,
        sent_at,
        ended_at: Instant::now(),
        reply,
    }
}
