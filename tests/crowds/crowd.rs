use std::io::{ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use socket2::SockRef;

/// Receive buffer of a member's socket, in bytes. A small one leaves unread answers to the host.
const RECEIVE_BUFFER: usize = 4_096;
/// Time without progress of any member after which the crowd has sent what the host takes.
const QUIET_TIME: Duration = Duration::from_secs(2);

/// A connection of a crowd.
pub(crate) struct Member {
    /// Bytes that it sends before it stalls.
    pub bytes: Vec<u8>,
    /// Largest number of bytes that it sends at a time.
    pub piece: usize,
}

/// Returns the head of a request.
pub(crate) fn head(path: &str, headers: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: crowd\r\nDeadline-Milliseconds: 60000\r\n{headers}\r\n\r\n"
    )
}

/// Returns the head of a request with a body.
pub(crate) fn post(headers: &str) -> String {
    head("/safe/x", headers)
}

pub(crate) fn connect(address: SocketAddr) -> Option<TcpStream> {
    let stream = TcpStream::connect(address).ok()?;
    SockRef::from(&stream)
        .set_recv_buffer_size(RECEIVE_BUFFER)
        .unwrap();
    stream.set_nonblocking(true).unwrap();
    Some(stream)
}

/// Sends the members' bytes in turns, until all are sent or the host takes no more. Returns the connections, which
/// stay open without being read.
pub(crate) fn drive(address: SocketAddr, members: Vec<Member>) -> Vec<TcpStream> {
    let mut open: Vec<_> = members
        .into_iter()
        .filter_map(|member| Some((connect(address)?, member, 0_usize)))
        .collect();
    let mut progress_at = Instant::now();
    loop {
        let mut unsent = 0;
        for (stream, member, sent) in &mut open {
            let end = member.bytes.len().min(sent.saturating_add(member.piece));
            if *sent == member.bytes.len() {
                continue;
            }
            unsent += 1;
            match stream.write(&member.bytes[*sent..end]) {
                Ok(count) => {
                    *sent += count;
                    progress_at = Instant::now();
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                // The host has closed the connection, which it may.
                Err(_) => *sent = member.bytes.len(),
            }
        }
        if unsent == 0 || progress_at.elapsed() > QUIET_TIME {
            return open.into_iter().map(|(stream, ..)| stream).collect();
        }
        std::thread::sleep(Duration::from_millis(1));
    }
}
