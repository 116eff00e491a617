//! HTTP/1.1 on blocking sockets: as much as the stand-ins need.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

/// Time in which a connection is opened, and in which the head of an answer of the store's API is awaited.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The head of a message and, if it was read, its body.
#[derive(Debug, Default, Clone)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns a header by its lower-case name.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(header, _)| header == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the status of an answer.
    pub fn status(&self) -> u16 {
        let status = self.first_line.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    /// Returns method, path and query of a request.
    pub fn target(&self) -> (&str, &str, &str) {
        let mut words = self.first_line.split(' ');
        let (method, target) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        (method, path, query)
    }

    /// Returns a parameter of the query, decoded.
    pub fn parameter(&self, name: &str) -> String {
        let (_, _, query) = self.target();
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let found = pairs.find(|(key, _)| *key == name);
        found.map_or_else(String::new, |(_, value)| decoded(value))
    }
}

fn decoded(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes().iter().copied();
    while let Some(byte) = rest.next() {
        let digits = [rest.clone().next(), rest.clone().nth(1)];
        match (byte, digits) {
            (b'%', [Some(a), Some(b)]) => {
                let digits = [a, b];
                let digits = std::str::from_utf8(&digits).unwrap_or("3f");
                bytes.push(u8::from_str_radix(digits, 16).unwrap_or(b'?'));
                rest.nth(1);
            }
            _ => bytes.push(byte),
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn invalid(what: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what.to_owned())
}

/// Reads the head of a message; `None` at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return match message.first_line.is_empty() {
                true => Ok(None),
                false => Err(io::ErrorKind::UnexpectedEof.into()),
            };
        }
        let line = line.trim_end();
        if message.first_line.is_empty() {
            message.first_line = line.to_owned();
        } else if line.is_empty() {
            return Ok(Some(message));
        } else {
            let (name, value) = line.split_once(':').ok_or_else(|| invalid("header"))?;
            let header = (name.to_ascii_lowercase(), value.trim().to_owned());
            message.headers.push(header);
        }
    }
}

/// Reads one chunk of a body in chunks; `None` for the last one.
pub fn read_chunk(reader: &mut impl BufRead) -> io::Result<Option<Vec<u8>>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let size = usize::from_str_radix(line.trim(), 16).map_err(|_| invalid("chunk size"))?;
    let mut chunk = vec![0; size + 2];
    reader.read_exact(&mut chunk)?;
    chunk.truncate(size);
    Ok((size > 0).then_some(chunk))
}

/// Reads the body that a head announces.
pub fn read_body(reader: &mut impl BufRead, head: &Message) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if head.header("transfer-encoding").is_some() {
        while let Some(chunk) = read_chunk(reader)? {
            body.extend(chunk);
        }
    } else if let Some(length) = head.header("content-length") {
        body = vec![0; length.parse().map_err(|_| invalid("length"))?];
        reader.read_exact(&mut body)?;
    }
    Ok(body)
}

/// Whether a server goes on with a connection after a request.
pub type Handler = Arc<dyn Fn(&Message, &mut TcpStream) -> io::Result<()> + Send + Sync>;

/// Serves each connection on a thread of its own until `accepted` returns false for one; then the address refuses connections.
pub fn serve(
    listener: TcpListener,
    handler: Handler,
    accepted: Arc<dyn Fn(&TcpStream) -> bool + Send + Sync>,
) {
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            if !accepted(&stream) {
                return;
            }
            let handler = handler.clone();
            std::thread::spawn(move || drop(serve_connection(stream, &handler)));
        }
    });
}

fn serve_connection(mut stream: TcpStream, handler: &Handler) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    while let Some(mut req) = read_head(&mut reader)? {
        req.body = read_body(&mut reader, &req)?;
        handler(&req, &mut stream)?;
    }
    Ok(())
}

/// Writes an answer with a length.
pub fn write_answer(stream: &mut TcpStream, status: &str, headers: &str, body: &str) -> io::Result<()> {
    let length = body.len();
    let text = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n{body}");
    stream.write_all(text.as_bytes())
}

/// Opens a connection, sends a request and reads the head of the answer within `timeout`.
pub fn request(
    addr: SocketAddr,
    text: &str,
    timeout: Duration,
) -> io::Result<(Message, BufReader<TcpStream>)> {
    let mut stream = TcpStream::connect_timeout(&addr, CONNECT_TIMEOUT)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.write_all(text.as_bytes())?;
    let mut reader = BufReader::new(stream);
    let head = read_head(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    Ok((head, reader))
}
