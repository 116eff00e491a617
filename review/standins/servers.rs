//! Stand-ins for servers: model servers that stream tokens and keep KV cache, and application servers.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::platform::{Record, Store, listen};
use crate::wire::{Message, read_request};

/// What a server saw of one request that it ran.
#[derive(Debug, Clone)]
pub struct Run {
    pub server: String,
    pub started: Instant,
    /// Time of the last write of the answer that succeeded.
    pub at_work_until: Instant,
    /// Whether the server has written its whole answer.
    pub is_done: bool,
}

/// Runs by `Request-Id`.
pub type Runs = Arc<Mutex<BTreeMap<String, Vec<Run>>>>;

/// Identity of a server; the same for every request that it answers.
pub struct Server {
    pub id: String,
    pub service: String,
    pub record: Record,
    pub runs: Runs,
    orders: AtomicU64,
}

impl Server {
    pub fn new(id: &str, service: &str, record: &Record, runs: &Runs) -> Arc<Self> {
        Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            record: record.clone(),
            runs: runs.clone(),
            orders: AtomicU64::new(0),
        })
    }

    /// Writes the entry of the server into the store.
    pub fn register(&self, store: &Store, address: SocketAddr, models: &str) {
        let slots = if models.is_empty() { 6 } else { 64 };
        let (service, orders) = (&self.service, self.orders.load(Ordering::SeqCst));
        let entry = format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"north-a\",\"version\":\"v1\",\"slots\":{slots},\
             \"state\":\"ready\",\"cold_remaining_ms\":0,\"stage\":\"both\",\"models\":[{models}],\"born\":1796468000000,\
             \"sequence_number\":{orders}}}"
        );
        store.put("servers", &self.id, &entry);
    }

    pub fn begin(&self, id: &str) {
        let now = Instant::now();
        let run = Run {
            server: self.id.clone(),
            started: now,
            at_work_until: now,
            is_done: false,
        };
        self.record.line(&format!("{} runs {id}", self.id));
        self.runs
            .lock()
            .unwrap()
            .entry(id.to_owned())
            .or_default()
            .push(run);
    }

    /// Notes that the server is still at work on its newest run of a request.
    pub fn progress(&self, id: &str, is_done: bool) {
        let mut runs = self.runs.lock().unwrap();
        let own = runs
            .get_mut(id)
            .into_iter()
            .flatten()
            .filter(|run| run.server == self.id);
        if let Some(run) = own.last() {
            run.at_work_until = Instant::now();
            run.is_done = is_done;
        }
    }
}

/// Accepts connections, answers health checks and requests for another server, and passes on the rest. The handler
/// returns false to end the connection.
pub fn serve(
    server: Arc<Server>,
    handle: impl Fn(&Server, &Message, &mut TcpStream, u64) -> bool + Send + Sync + 'static,
) -> SocketAddr {
    listen(move |stream| {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        let mut writer = stream;
        let mut number = 0;
        while let Some(req) = read_request(&mut reader) {
            number += 1;
            let is_other = req.header("expected-instance").is_some_and(|id| id != server.id);
            let goes_on = if is_other {
                let text = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: {}\r\nInstance-Id: {}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
                    req.header("request-id").unwrap_or(""),
                    server.id
                );
                writer.write_all(text.as_bytes()).is_ok()
            } else if req.target() == "/health" {
                let text = format!(
                    "HTTP/1.1 200 OK\r\nInstance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                    server.id
                );
                writer.write_all(text.as_bytes()).is_ok()
            } else {
                handle(&server, &req, &mut writer, number)
            };
            if !goes_on {
                return;
            }
        }
    })
}

/// Returns the text of an answer with a body.
pub fn plain_answer(status: &str, req: &Message, headers: &str, body: &str) -> String {
    let id = req.header("request-id").unwrap_or("");
    format!(
        "HTTP/1.1 {status}\r\nRequest-Id: {id}\r\nResponse-Signature: sig.{id}\r\n{headers}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Answers the calls about the state of a model server; `None` for any other request.
pub fn model_state(server: &Server, req: &Message, model: &str) -> Option<String> {
    let body = match req.target().split('?').next()? {
        "/v1/report" => format!(
            "{{\"stage\":\"both\",\"models\":[{model}],\"busy\":false,\"sequence_number\":{},\"born\":1796468000000,\
             \"waiting_requests\":0,\"running_requests\":0,\"kv_cache_used\":0,\"kv_cache_total\":166165,\"handles\":0}}",
            server.orders.load(Ordering::SeqCst)
        ),
        _ => return None,
    };
    Some(format!(
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    ))
}

/// Streams `tokens` tokens, `stride` of them in an event, as a model server does.
pub fn stream(
    server: &Server,
    req: &Message,
    writer: &mut TcpStream,
    first: Duration,
    token: Duration,
    tokens: u32,
) -> bool {
    const STRIDE: u32 = 5;
    let id = req.header("request-id").unwrap_or("").to_owned();
    server.begin(&id);
    let head = format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: sig.{id}\r\nWeight-Versions: 1\r\n\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    std::thread::sleep(first);
    let mut is_written = writer.write_all(head.as_bytes()).is_ok();
    let mut made = 0;
    while is_written && made < tokens {
        let next = STRIDE.min(tokens - made);
        if made > 0 {
            std::thread::sleep(token * next);
        }
        made += next;
        let event = format!("id: {made}\ndata: {id} {made}\n\n");
        is_written = writer
            .write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())
            .is_ok();
        if is_written {
            server.progress(&id, false);
        }
    }
    let is_whole = is_written && writer.write_all(b"0\r\n\r\n").is_ok();
    if is_whole {
        server.progress(&id, true);
    }
    server.record.line(&format!(
        "{} {} {id} after {made} of {tokens} tokens",
        server.id,
        if is_whole { "ends" } else { "can not go on with" }
    ));
    is_whole
}
