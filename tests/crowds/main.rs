//! Starts the system's own process with low limits and a crowd of callers or targets that hold on to its memory or
//! its descriptors. Checks that the process lives, stays under the bounds of its settings, and answers an ordinary
//! request afterwards. The crowds and bounds do not depend on the speed of the machine.

#[path = "../../platform/tests/common/mod.rs"]
mod common;
mod crowd;
mod host;

use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

use common::{Action, Backend, ReceivedRequest, answer_ok};
use crowd::{Member, connect, drive, head, post};
use host::{Host, Limits};

/// Largest legal body in these tests, in bytes.
const MAX_BODY: usize = 1 << 20;
/// Largest legal head, in bytes.
const MAX_HEAD: usize = 16_384;
/// Size of a large answer of a target, in bytes.
const LARGE_ANSWER: usize = 4 << 20;
/// Memory of the small machine, in MB. The crowds hold more than this if nothing bounds what they hold.
const SMALL: Limits = Limits {
    memory_mb: 48,
    file_descriptors: 4_000,
    max_body: MAX_BODY,
};
/// Bytes by which a member of a crowd stops short of its end.
const SHORT_OF_END: usize = 10;
/// Members of a crowd of large bodies. One in [`COMPLETE_SHARE`] of them sends its end.
const MEMBERS: usize = 60;
/// Faulty stores of kept cache beside a host.
const STORES: usize = 12;
/// Interval between checks whether all stores have been called.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// One member in this many completes its request.
const COMPLETE_SHARE: usize = 10;

/// Sends the crowd, then checks the host and sends an ordinary request while the crowd is still connected.
fn check(name: &str, limits: Limits, members: Vec<Member>) {
    let host = Host::start(limits);
    let open = drive(host.address(), members);
    host.check(name, open);
}

/// Sends `body` in chunks of `size` bytes.
fn chunked(size: usize, body: usize) -> Vec<u8> {
    let data = vec![b'x'; size];
    let mut chunk = format!("{size:x}\r\n").into_bytes();
    chunk.extend_from_slice(&data);
    chunk.extend_from_slice(b"\r\n");
    let mut bytes = chunk.repeat(body / size);
    bytes.extend_from_slice(b"0\r\n\r\n");
    bytes
}

fn members(count: usize, head: &str, body: &[u8], piece: usize) -> Vec<Member> {
    let member = |i: usize| {
        let mut bytes = head.as_bytes().to_vec();
        bytes.extend_from_slice(body);
        if !i.is_multiple_of(COMPLETE_SHARE) {
            bytes.truncate(bytes.len() - SHORT_OF_END);
        }
        Member { bytes, piece }
    };
    (0..count).map(member).collect()
}

/// Guards against bodies with a length that are buffered without a common bound.
#[test]
fn stalled_bodies_with_a_length_stay_within_the_memory() {
    let body = vec![b'x'; MAX_BODY];
    let head = post(&format!("Content-Length: {MAX_BODY}"));
    let mut crowd = members(MEMBERS, &head, &body, usize::MAX);
    // Half of the members send piece by piece.
    for member in crowd.iter_mut().skip(1).step_by(2) {
        member.piece = 20_000;
    }
    check("bodies with a length", SMALL, crowd);
}

/// Guards against bodies in large chunks that are buffered without a common bound.
#[test]
fn stalled_bodies_in_large_chunks_stay_within_the_memory() {
    let body = chunked(64 << 10, MAX_BODY);
    let crowd = members(MEMBERS, &post("Transfer-Encoding: chunked"), &body, usize::MAX);
    check("64 KiB chunks", SMALL, crowd);
}

/// Guards against small chunks that each keep a read buffer or an entry of a list alive.
#[test]
fn stalled_bodies_in_tiny_chunks_stay_within_the_memory() {
    let body = chunked(1, 600_000);
    let crowd = members(MEMBERS, &post("Transfer-Encoding: chunked"), &body, usize::MAX);
    check("1-byte chunks", SMALL, crowd);
}

/// Guards against announced bodies over the limit that are buffered up to the limit first.
#[test]
fn bodies_announced_over_the_limit_stay_within_the_memory() {
    let body = vec![b'x'; MAX_BODY];
    let crowd = members(MEMBERS, &post("Content-Length: 400000000"), &body, usize::MAX);
    check("400 MB announced", SMALL, crowd);
}

/// Guards against bodies over the limit, sent without a length, that are buffered up to the limit together.
#[test]
fn bodies_sent_over_the_limit_stay_within_the_memory() {
    let body = chunked(64 << 10, MAX_BODY + (12 << 20));
    let mut crowd = members(MEMBERS, &post("Transfer-Encoding: chunked"), &body, 64 << 10);
    for member in &mut crowd {
        // All pass the limit at about the same time, since all send piece by piece in turns.
        member.piece = 64 << 10;
    }
    check("13 MB sent", SMALL, crowd);
}

/// Guards against partial heads that are buffered without a common bound.
#[test]
fn heads_that_never_end_stay_within_the_memory() {
    let padding = "x".repeat(MAX_HEAD - 300);
    let crowd = members(1_500, &post(&format!("Padding: {padding}")), b"", usize::MAX);
    let crowd = crowd.into_iter().map(|mut member| {
        member.bytes.truncate(MAX_HEAD - 200);
        member
    });
    check("partial heads", SMALL, crowd.collect());
}

/// Guards against answers that are held for callers that do not read them.
#[test]
fn answers_that_are_not_read_stay_within_the_memory() {
    let host = Host::start_with_target(SMALL, |req| match req.line.contains("/large") {
        true => answer_ok(&"x".repeat(LARGE_ANSWER)),
        false => answer_ok("fine"),
    });
    let request = head("/safe/large", "Content-Length: 0");
    let member = || Member {
        bytes: request.clone().into_bytes(),
        piece: usize::MAX,
    };
    let open = drive(host.address(), (0..MEMBERS / 2).map(|_| member()).collect());
    host.check("unread answers", open);
}

/// Guards against events of any length that are held for callers that do not read them.
#[test]
fn streams_without_event_ends_stay_within_the_memory() {
    let host = Host::start_with_target(SMALL, |req| match req.line.contains("/stream") {
        true => answer_ok(&"x".repeat(LARGE_ANSWER)),
        false => answer_ok("fine"),
    });
    let request = head("/stream/long", "Content-Length: 0");
    let member = || Member {
        bytes: request.clone().into_bytes(),
        piece: usize::MAX,
    };
    let open = drive(host.address(), (0..MEMBERS).map(|_| member()).collect());
    host.check("streams without event ends", open);
}

/// Guards against answers to the host's own calls that are buffered without a common bound.
#[test]
fn lists_without_end_stay_within_the_memory() {
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let faulty = || {
        let script = move |_: &ReceivedRequest| {
            let chunks = "1\r\nx\r\n".repeat(700);
            vec![
                Action::Write(head.to_owned()),
                Action::WriteWithoutEnd(chunks, Arc::default()),
            ]
        };
        Backend::start(script)
    };
    let stores: Vec<Backend> = (0..STORES).map(|_| faulty()).collect();
    let addresses: Vec<_> = stores.iter().map(|store| store.address).collect();
    let host = Host::start_with_stores(SMALL, &addresses, |_| answer_ok("fine"));
    let is_called = || stores.iter().all(|store| !store.received().is_empty());
    while !is_called() {
        std::thread::sleep(POLL_INTERVAL);
    }
    host.check("lists without end", Vec::new());
}

/// Guards against messages on the port between hosts that are buffered without a common bound.
#[test]
fn messages_from_hosts_stay_within_the_memory() {
    let host = Host::start(SMALL);
    let head = head("/changes/4", "Content-Length: 4000000");
    let crowd = members(MEMBERS / 2, &head, &vec![b'x'; 4_000_000], usize::MAX);
    let open = drive(host.peer_address(), crowd);
    host.check("messages between hosts", open);
}

/// Guards against connections that use up the descriptors which the process needs for targets and the store.
#[test]
fn connections_stay_within_the_descriptors() {
    let limits = Limits {
        file_descriptors: 400,
        ..SMALL
    };
    let host = Host::start(limits);
    let open: Vec<TcpStream> = (0..600).filter_map(|_| connect(host.address())).collect();
    host.check("connections", open);
}

/// Guards against a budget that refuses the largest legal body of a single caller on the smallest machine.
#[test]
fn the_largest_body_is_served_on_a_small_machine() {
    let limits = Limits {
        memory_mb: 88,
        max_body: 4 << 20,
        ..SMALL
    };
    let host = Host::start(limits);
    assert_eq!(host.request(4 << 20), 200);
    host.check("one large body", Vec::new());
}
