//! Clients of resumable streams, and the rule that no stream holds events of two software versions.

use std::collections::BTreeSet;
use std::io::BufReader;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::hosts::Host;
use crate::http;
use crate::record::Record;

/// Deadline of a request, counted from the client's first attempt.
const DEADLINE: Duration = Duration::from_secs(15);
/// Gap after which a client abandons a stream: the longest of 2 s, four times the objective and eight times the pause.
const ABANDON_AFTER: Duration = Duration::from_millis(4_800);
/// Retries of a client within its deadline.
const MAX_RETRIES: usize = 1;
/// Events of a stream.
pub const EVENTS: u64 = 60;

/// The declarations: one service of streams whose answers may be resumed.
pub const CONFIG: &str = r#"{"version":1,"routes":[
{"name":"review","host":"h.example","prefix":"/review/","route_kind":"streaming","resumable":true,"timeout_ms":15000,"target_latency_ms":1200,"target_gap_ms":300,"priority":2,"service":"redactor","max_attempts":2}],
"services":[{"name":"redactor","connection_limit":370}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

/// What a client has received of one stream, over all its attempts.
#[derive(Debug, Default, Clone)]
pub struct Received {
    /// Id of the first attempt.
    pub id: String,
    /// Host of the first attempt.
    pub host: String,
    /// Software versions that wrote the events.
    pub versions: BTreeSet<String>,
    /// Number of the last event.
    pub last: u64,
    /// Attempts.
    pub attempts: usize,
    /// Time of the first attempt, and of the one that took the stream up after its first events.
    pub sent_at: Duration,
    pub taken_up: Option<TakeUp>,
    /// Events that were missing or came twice.
    pub misplaced: usize,
}

/// A client's attempt to go on with a stream of which it has events.
#[derive(Debug, Clone)]
pub struct TakeUp {
    pub at: Duration,
    pub host: String,
    /// Whether further events came.
    pub goes_on: bool,
}

/// Clients that begin streams at a steady pace.
pub struct Clients {
    pub hosts: Arc<Vec<Host>>,
    pub record: Arc<Record>,
    pub received: Mutex<Vec<Received>>,
    /// Ids of requests with the hosts that they were sent to.
    pub sent: Mutex<Vec<(String, String)>>,
    /// Hosts that passed on an answer with a limit, with the times.
    pub limits: Mutex<Vec<(String, Duration)>>,
    pub is_over: AtomicBool,
    /// Returns further headers of a stream by its number.
    pub headers: fn(usize) -> String,
    /// Whether the route's streams may be taken up.
    pub may_take_up: bool,
}

impl Clients {
    pub fn new(hosts: Vec<Host>, record: &Arc<Record>, headers: fn(usize) -> String) -> Arc<Self> {
        Arc::new(Self {
            hosts: Arc::new(hosts),
            record: record.clone(),
            received: Mutex::default(),
            sent: Mutex::default(),
            limits: Mutex::default(),
            is_over: AtomicBool::new(false),
            headers,
            may_take_up: true,
        })
    }

    /// Begins streams at each host, one after another with this pause, until the case is over. Waits for their ends.
    pub fn run(self: &Arc<Self>, pause: Duration) -> std::thread::JoinHandle<()> {
        let clients = self.clone();
        std::thread::spawn(move || {
            let mut open = Vec::new();
            for number in 0.. {
                if clients.is_over.load(Ordering::SeqCst) {
                    break;
                }
                let client = clients.clone();
                open.push(std::thread::spawn(move || client.stream(number)));
                std::thread::sleep(pause / clients.hosts.len() as u32);
            }
            open.into_iter().for_each(|client| drop(client.join()));
        })
    }

    fn stream(&self, number: usize) {
        let received = self.request(number, "r", &(self.headers)(number));
        self.received.lock().expect("received").push(received);
    }

    /// Sends a request, and again where a client does; returns what it has received.
    pub fn request(&self, number: usize, prefix: &str, headers: &str) -> Received {
        let started = Instant::now();
        let mut received = Received {
            id: format!("{prefix}{number}-0"),
            ..Received::default()
        };
        let mut first_of = None;
        for attempt in 0..=MAX_RETRIES {
            let left = DEADLINE.saturating_sub(started.elapsed());
            if left.is_zero() {
                break;
            }
            // Retries reach other hosts.
            let count = self.hosts.len();
            let others = attempt * (1 + number / count % (count - 1));
            let host = &self.hosts[(number + others) % count];
            if attempt == 0 {
                received.host = host.name.clone();
                received.sent_at = self.record.now();
            }
            received.attempts += 1;
            let had = received.last;
            let at = self.record.now();
            let id = format!("{prefix}{number}-{attempt}");
            let result = self.attempt(host, &id, headers, (first_of.as_deref(), left), &mut received);
            if had > 0 {
                received.taken_up = Some(TakeUp {
                    at,
                    host: host.name.clone(),
                    goes_on: received.last > had,
                });
            }
            match result {
                Attempt::Whole | Attempt::Final => break,
                Attempt::Broken if had < received.last && !self.may_take_up => break,
                Attempt::Refused(wait) => std::thread::sleep(wait.min(left / 3)),
                Attempt::Broken => {}
            }
            // The attempt that brought the first event is named from now on.
            if first_of.is_none() && received.last > 0 {
                first_of = Some(id);
            }
        }
        received
    }

    fn attempt(
        &self,
        host: &Host,
        id: &str,
        headers: &str,
        (resumes, left): (Option<&str>, Duration),
        received: &mut Received,
    ) -> Attempt {
        let resumption = resumes.map_or_else(String::new, |first| {
            format!("Last-Event-Id: {}\r\nResumes: {first}\r\n", received.last)
        });
        let prompt = format!("the prompt of {}", received.id);
        let text = format!(
            "POST /review/{} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {id}\r\nDeadline-Milliseconds: {}\r\n{resumption}{headers}Content-Length: {}\r\n\r\n{prompt}",
            received.id,
            left.as_millis(),
            prompt.len()
        );
        let after = received.last;
        self.record.add(&format!(
            "sent host={} id={id} after={after} resumes={}",
            host.name,
            resumes.unwrap_or("-")
        ));
        self.sent
            .lock()
            .expect("sent")
            .push((id.to_owned(), host.name.clone()));
        let (head, reader) = match http::request(host.callers, &text, ABANDON_AFTER.min(left)) {
            Ok(answer) => answer,
            Err(e) => {
                self.record.add(&format!("failed id={id} {e}"));
                return Attempt::Broken;
            }
        };
        if head.header("server-limit").is_some() {
            self.limits
                .lock()
                .expect("limits")
                .push((host.name.clone(), self.record.now()));
        }
        let status = head.status();
        if status != 200 {
            self.record.add(&format!(
                "answered id={id} status={status} retry-after={}",
                head.header("retry-after").unwrap_or("-")
            ));
            let wait = head.header("retry-after").and_then(|wait| wait.parse().ok());
            return match status {
                503 | 429 => Attempt::Refused(Duration::from_secs_f64(wait.unwrap_or(0.0))),
                _ => Attempt::Broken,
            };
        }
        let result = self.read_events(reader, received);
        let versions: Vec<_> = received.versions.iter().cloned().collect();
        self.record.add(&format!(
            "events id={id} from={} to={} versions={} end={result:?}",
            after + 1,
            received.last,
            versions.join("+")
        ));
        result
    }

    fn read_events(&self, mut reader: BufReader<TcpStream>, received: &mut Received) -> Attempt {
        let mut text = String::new();
        loop {
            let chunk = match http::read_chunk(&mut reader) {
                Ok(Some(chunk)) => chunk,
                Ok(None) if received.last == EVENTS => return Attempt::Whole,
                Ok(None) => return Attempt::Final,
                Err(_) => return Attempt::Broken,
            };
            text.push_str(&String::from_utf8_lossy(&chunk));
            while let Some(end) = text.find("\n\n") {
                let event: String = text.drain(..end + 2).collect();
                received.add(&event);
            }
        }
    }
}

impl Received {
    fn add(&mut self, event: &str) {
        let field = |name: &str| event.lines().find_map(|line| line.strip_prefix(name));
        let number = field("id: ").and_then(|id| id.parse().ok()).unwrap_or(0);
        self.misplaced += usize::from(number != self.last + 1);
        self.last = number;
        let written_by = field("data: ").and_then(|data| data.split(' ').next());
        self.versions.insert(written_by.unwrap_or("").to_owned());
    }
}

/// How an attempt has ended.
#[derive(Debug)]
enum Attempt {
    /// The stream is whole.
    Whole,
    /// The answer ended without its last event.
    Final,
    /// Refused as not run; the client comes back after this time.
    Refused(Duration),
    /// Broken off, or abandoned.
    Broken,
}

/// The rule: more than two streams hold events from servers of two software versions of one service, in one answer or over a
/// client's tries.
pub fn judge(record: &Record, received: &[Received]) -> crate::Verdict {
    let whole = received.iter().filter(|stream| stream.last == EVENTS).count();
    let resumed = received.iter().filter(|stream| stream.attempts > 1).count();
    let mixed: Vec<_> = received
        .iter()
        .filter(|stream| stream.versions.len() > 1)
        .collect();
    for stream in &mixed {
        record.tell(&format!(
            "stream {} that began at {} holds events of versions {:?}",
            stream.id, stream.host, stream.versions
        ));
    }
    let count = |version: &str| {
        received
            .iter()
            .filter(|stream| stream.versions.contains(version))
            .count()
    };
    record.tell(&format!(
        "streams: {}; whole: {whole}; of version 1: {}; of version 2: {}; with more than one attempt: {resumed}; of two versions: {}; allowed: 2",
        received.len(), count("1"), count("2"), mixed.len()
    ));
    match mixed.len() {
        _ if whole * 2 < received.len() => crate::Verdict::NotRun("most streams were not served".into()),
        0..=2 => crate::Verdict::Held,
        mixed => crate::Verdict::Broken(format!(
            "ORDER: {mixed} streams hold events of two software versions, 2 allowed"
        )),
    }
}
