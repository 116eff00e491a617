//! HTTP/1.1 over blocking sockets, one thread a connection.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

/// The head of a message, with names of headers in lower case, and its body.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// First line.
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns a word of the first line.
    pub fn word(&self, index: usize) -> &str {
        self.line.split(' ').nth(index).unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.word(1).split('?').next().unwrap_or("")
    }

    /// Returns a field of the query, decoded.
    pub fn query(&self, name: &str) -> String {
        let query = self.word(1).split_once('?').map_or("", |(_, query)| query);
        let mut fields = query.split('&').filter_map(|field| field.split_once('='));
        let found = fields.find(|(known, _)| *known == name);
        found.map_or_else(String::new, |(_, value)| decode(value))
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

fn decode(text: &str) -> String {
    let (bytes, mut out, mut i) = (text.as_bytes(), Vec::new(), 0);
    while i < bytes.len() {
        let code = text
            .get(i + 1..i + 3)
            .and_then(|code| u8::from_str_radix(code, 16).ok());
        match (bytes[i], code) {
            (b'%', Some(code)) => {
                out.push(code);
                i += 3;
            }
            (byte, _) => {
                out.push(byte);
                i += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Reads a message; `None` if the connection ends before it is whole. A body without a length is read to the end of the
/// connection if `may_be_unframed`.
pub fn read_message(reader: &mut BufReader<TcpStream>, may_be_unframed: bool) -> Option<Message> {
    let mut message = Message {
        line: read_line(reader)?,
        ..Message::default()
    };
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        message
            .headers
            .push((name.trim().to_lowercase(), value.trim().to_owned()));
    }
    if message
        .header("transfer-encoding")
        .is_some_and(|coding| coding.contains("chunked"))
    {
        loop {
            let size = read_line(reader)?;
            let size = usize::from_str_radix(size.split(';').next()?.trim(), 16).ok()?;
            let mut chunk = vec![0; size];
            reader.read_exact(&mut chunk).ok()?;
            message.body.extend(chunk);
            read_line(reader)?;
            if size == 0 {
                return Some(message);
            }
        }
    }
    match message.header("content-length").map(str::parse::<usize>) {
        Some(length) => {
            message.body = vec![0; length.ok()?];
            reader.read_exact(&mut message.body).ok()?;
        }
        None if may_be_unframed && message.status() != 204 => {
            reader.read_to_end(&mut message.body).ok()?;
        }
        None => {}
    }
    Some(message)
}

fn read_line(reader: &mut BufReader<TcpStream>) -> Option<String> {
    let mut line = Vec::new();
    reader.read_until(b'\n', &mut line).ok()?;
    if line.pop() != Some(b'\n') {
        return None;
    }
    if line.last() == Some(&b'\r') {
        line.pop();
    }
    String::from_utf8(line).ok()
}

/// The answer of a server, which keeps the connection: status, further headers, body.
pub enum Action {
    Answer(u16, Vec<(String, String)>, Vec<u8>),
}

impl Action {
    pub fn json(status: u16, body: impl Into<String>) -> Self {
        let kind = ("Content-Type".to_owned(), "application/json".to_owned());
        Self::Answer(status, vec![kind], body.into().into_bytes())
    }
}

pub type Handler = Arc<dyn Fn(&Message) -> Action + Send + Sync>;

/// Serves connections of a listener on threads of its own until the process ends.
pub fn serve(listener: TcpListener, handler: Handler) {
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            std::thread::spawn(move || serve_one(stream, &handler));
        }
    });
}

/// Serves one connection until it ends.
pub fn serve_one(stream: TcpStream, handler: &Handler) {
    // Idle connections are closed after the time that `Keep-Alive` states.
    let _ = stream.set_read_timeout(Some(Duration::from_secs(5)));
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_message(&mut reader, false) {
        let Action::Answer(status, headers, body) = handler(&request);
        let mut answer = format!("HTTP/1.1 {status} Status\r\nContent-Length: {}\r\n", body.len());
        for (name, value) in headers {
            answer.push_str(&format!("{name}: {value}\r\n"));
        }
        answer.push_str("\r\n");
        let mut answer = answer.into_bytes();
        answer.extend(body);
        if writer.write_all(&answer).is_err() {
            return;
        }
    }
}

/// Sends a request on a new connection and reads the whole answer; `None` if there is none within the time.
pub fn call(address: SocketAddr, head: &str, body: &[u8], limit: Duration) -> Option<Message> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    let mut writer = stream.try_clone().ok()?;
    let mut request = format!("{head}Content-Length: {}\r\n\r\n", body.len()).into_bytes();
    request.extend(body);
    writer.write_all(&request).ok()?;
    read_message(&mut BufReader::new(stream), true)
}
