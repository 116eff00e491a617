//! HTTP/1.1 over blocking sockets, and the little JSON that the stand-ins need.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A message: the first line, the headers with names in lower case, and the body.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the path with the query of a request.
    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }

    /// Returns a field of the query.
    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.target().split_once('?')?;
        let fields = query.split('&').filter_map(|field| field.split_once('='));
        let mut found = fields
            .filter(|(n, _)| *n == name)
            .map(|(_, value)| unescape(value));
        found.next()
    }

    /// Returns the status of an answer.
    pub fn status(&self) -> u16 {
        self.line
            .split(' ')
            .nth(1)
            .and_then(|s| s.parse().ok())
            .unwrap_or(0)
    }
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut i = 0;
    while i < bytes.len() {
        let hex = (bytes[i] == b'%').then(|| text.get(i + 1..i + 3)).flatten();
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                i += 3;
            }
            None => {
                out.push(bytes[i]);
                i += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Reads the first line and the headers; `None` if the connection ends before.
pub fn read_head(reader: &mut impl BufRead) -> Option<Message> {
    let mut message = Message::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if message.line.is_empty() {
            message.line = line.to_owned();
        } else if line.is_empty() {
            return Some(message);
        } else {
            let (name, value) = line.split_once(':')?;
            message
                .headers
                .push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

/// Reads a request with its body.
pub fn read_request(reader: &mut impl BufRead) -> Option<Message> {
    let mut message = read_head(reader)?;
    if message.header("transfer-encoding").is_some() {
        message.body = read_chunks(reader).ok()?;
    } else {
        let length = message
            .header("content-length")
            .and_then(|n| n.parse().ok())
            .unwrap_or(0);
        message.body = vec![0; length];
        reader.read_exact(&mut message.body).ok()?;
    }
    Some(message)
}

/// Reads a body in chunks; the error holds what came before it broke off.
fn read_chunks(reader: &mut impl BufRead) -> Result<Vec<u8>, Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let mut line = String::new();
        let length = match reader.read_line(&mut line) {
            Ok(n) if n > 0 => usize::from_str_radix(line.trim(), 16).ok(),
            _ => None,
        };
        let Some(length) = length else { return Err(body) };
        let mut chunk = vec![0; length + 2];
        if reader.read_exact(&mut chunk).is_err() {
            return Err(body);
        }
        if length == 0 {
            return Ok(body);
        }
        body.extend_from_slice(&chunk[..length]);
    }
}

/// How a request of a client ended.
#[derive(Debug, Clone)]
pub enum Ended {
    /// A complete answer.
    Whole(Message),
    /// The connection ended before the answer was complete; with the part that came, if any.
    Cut(Option<Message>),
    /// No connection.
    NoConnection,
    /// The client gave up at its deadline.
    Deadline,
}

impl Ended {
    pub fn text(&self) -> String {
        match self {
            Self::Whole(answer) => format!("answered {}", answer.status()),
            Self::Cut(None) => "connection ended without an answer".to_owned(),
            Self::Cut(Some(part)) => format!("connection ended inside answer {}", part.status()),
            Self::NoConnection => "no connection".to_owned(),
            Self::Deadline => "no answer at the deadline".to_owned(),
        }
    }

    pub fn status(&self) -> u16 {
        match self {
            Self::Whole(answer) => answer.status(),
            _ => 0,
        }
    }
}

/// A client's connection, which may be used for several requests.
pub struct Caller {
    reader: BufReader<TcpStream>,
    pub is_open: bool,
}

impl Caller {
    pub fn connect(address: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
        stream.set_nodelay(true).ok()?;
        Some(Self {
            reader: BufReader::new(stream),
            is_open: true,
        })
    }

    /// Sends a request and reads its answer.
    pub fn call(&mut self, method: &str, path: &str, headers: &str, body: &str, wait: Duration) -> Ended {
        let until = Instant::now() + wait;
        let length = match method {
            "GET" => String::new(),
            _ => format!("Content-Length: {}\r\n", body.len()),
        };
        let text = format!("{method} {path} HTTP/1.1\r\nHost: h.example\r\n{headers}{length}\r\n{body}");
        let ended = match self.reader.get_mut().write_all(text.as_bytes()) {
            Ok(()) => self.read(until),
            Err(_) => Ended::Cut(None),
        };
        self.is_open = match &ended {
            Ended::Whole(answer) => answer
                .header("connection")
                .is_none_or(|v| !v.eq_ignore_ascii_case("close")),
            _ => false,
        };
        ended
    }

    fn read(&mut self, until: Instant) -> Ended {
        let left = until
            .saturating_duration_since(Instant::now())
            .max(Duration::from_millis(1));
        let _ = self.reader.get_ref().set_read_timeout(Some(left));
        let Some(mut answer) = read_head(&mut self.reader) else {
            return if Instant::now() >= until {
                Ended::Deadline
            } else {
                Ended::Cut(None)
            };
        };
        let is_whole = match answer
            .header("content-length")
            .and_then(|n| n.parse::<usize>().ok())
        {
            Some(length) => {
                answer.body = vec![0; length];
                self.reader.read_exact(&mut answer.body).is_ok()
            }
            None if answer.header("transfer-encoding").is_some() => match read_chunks(&mut self.reader) {
                Ok(body) => {
                    answer.body = body;
                    true
                }
                Err(part) => {
                    answer.body = part;
                    false
                }
            },
            None => true,
        };
        match is_whole {
            true => Ended::Whole(answer),
            false if Instant::now() >= until => Ended::Deadline,
            false => Ended::Cut(Some(answer)),
        }
    }
}

/// A JSON value.
#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Other,
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Self> {
        let chars: Vec<char> = text.chars().collect();
        Self::read(&chars, &mut 0)
    }

    pub fn get(&self, name: &str) -> &Json {
        match self {
            Self::Object(fields) => fields.get(name).unwrap_or(&Json::Other),
            _ => &Json::Other,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Self::List(items) => items,
            _ => &[],
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Self::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Self::Number(number) => *number as u64,
            _ => 0,
        }
    }

    fn read(chars: &[char], at: &mut usize) -> Option<Self> {
        skip_spaces(chars, at);
        match chars.get(*at)? {
            '{' => {
                *at += 1;
                let mut fields = BTreeMap::new();
                loop {
                    skip_spaces(chars, at);
                    match chars.get(*at)? {
                        '}' => break,
                        ',' => *at += 1,
                        _ => {
                            let Self::Text(name) = Self::read(chars, at)? else {
                                return None;
                            };
                            skip_spaces(chars, at);
                            (chars.get(*at)? == &':').then_some(())?;
                            *at += 1;
                            fields.insert(name, Self::read(chars, at)?);
                        }
                    }
                }
                *at += 1;
                Some(Self::Object(fields))
            }
            '[' => {
                *at += 1;
                let mut items = Vec::new();
                loop {
                    skip_spaces(chars, at);
                    match chars.get(*at)? {
                        ']' => break,
                        ',' => *at += 1,
                        _ => items.push(Self::read(chars, at)?),
                    }
                }
                *at += 1;
                Some(Self::List(items))
            }
            '"' => {
                *at += 1;
                let mut text = String::new();
                loop {
                    let c = *chars.get(*at)?;
                    *at += 1;
                    match c {
                        '"' => return Some(Self::Text(text)),
                        '\\' => {
                            let escaped = *chars.get(*at)?;
                            *at += 1;
                            text.push(match escaped {
                                'n' => '\n',
                                't' => '\t',
                                'r' => '\r',
                                'u' => {
                                    let hex: String = chars.get(*at..*at + 4)?.iter().collect();
                                    *at += 4;
                                    char::from_u32(u32::from_str_radix(&hex, 16).ok()?)?
                                }
                                other => other,
                            });
                        }
                        other => text.push(other),
                    }
                }
            }
            _ => {
                let start = *at;
                while chars
                    .get(*at)
                    .is_some_and(|c| !matches!(c, ',' | '}' | ']') && !c.is_whitespace())
                {
                    *at += 1;
                }
                let word: String = chars[start..*at].iter().collect();
                Some(word.parse().map_or(Self::Other, Self::Number))
            }
        }
    }
}

fn skip_spaces(chars: &[char], at: &mut usize) {
    while chars.get(*at).is_some_and(|c| c.is_whitespace()) {
        *at += 1;
    }
}

/// Returns the Base64 text of bytes.
pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let all = group.iter().fold(0u32, |all, byte| all << 8 | u32::from(*byte)) << (8 * (3 - group.len()));
        for place in 0..4 {
            match place <= group.len() {
                true => text.push(DIGITS[(all >> (18 - 6 * place) & 63) as usize] as char),
                false => text.push('='),
            }
        }
    }
    text
}

/// Returns the bytes of a Base64 text.
pub fn unbase64(text: &str) -> Vec<u8> {
    let digit = |c: u8| match c {
        b'A'..=b'Z' => Some(c - b'A'),
        b'a'..=b'z' => Some(c - b'a' + 26),
        b'0'..=b'9' => Some(c - b'0' + 52),
        b'+' => Some(62),
        b'/' => Some(63),
        _ => None,
    };
    let (mut bytes, mut all, mut bits) = (Vec::new(), 0u32, 0);
    for value in text.bytes().filter_map(digit) {
        all = all << 6 | u32::from(value);
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            bytes.push((all >> bits) as u8);
        }
    }
    bytes
}
