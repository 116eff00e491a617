//! A server of a service of streams, with a software version, a limit, crashes and restarts.

use std::io::{self, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::http::{self, Message, write_answer};
use crate::record::Record;
use crate::store::Store;

/// The stream of each answer.
#[derive(Debug, Clone, Copy)]
pub struct Work {
    /// Time to the first event.
    pub first: Duration,
    /// Events of a whole stream.
    pub events: u64,
    /// Pause between two events.
    pub pause: Duration,
}

#[derive(Debug, Clone)]
struct Run {
    software: String,
    born_ms: u128,
    is_up: bool,
    limit: Option<f64>,
}

/// A server. It keeps its id and its address when it starts again.
pub struct Server {
    id: Mutex<String>,
    service: String,
    zone: &'static str,
    pub addr: SocketAddr,
    slots: usize,
    work: Work,
    run: Mutex<Run>,
    generation: AtomicU64,
    busy: AtomicUsize,
    open: Mutex<Vec<TcpStream>>,
    /// Part of a prompt that crashes the server as it begins to write an answer on it.
    pub poison: Mutex<Option<String>>,
    /// Times of the crashes by such a part.
    pub crashes: Mutex<Vec<Duration>>,
    /// Ids and times of the requests that arrived.
    arrivals: Mutex<Vec<(String, Duration)>>,
    record: Arc<Record>,
}

impl Server {
    /// Starts a server; it is not listed yet.
    pub fn start(
        id: &str,
        service: &str,
        zone: &'static str,
        software: &str,
        slots: usize,
        work: Work,
        record: &Arc<Record>,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("listener of a server");
        let server = Arc::new(Self {
            id: Mutex::new(id.to_owned()),
            service: service.to_owned(),
            zone,
            addr: listener.local_addr().expect("address of a server"),
            slots,
            work,
            run: Mutex::new(Run {
                software: software.to_owned(),
                born_ms: now_ms(),
                is_up: true,
                limit: None,
            }),
            generation: AtomicU64::new(0),
            busy: AtomicUsize::new(0),
            open: Mutex::default(),
            poison: Mutex::default(),
            crashes: Mutex::default(),
            arrivals: Mutex::default(),
            record: record.clone(),
        });
        server.listen(listener);
        server
    }

    fn listen(self: &Arc<Self>, listener: TcpListener) {
        let (handler, accepting) = (self.clone(), self.clone());
        http::serve(
            listener,
            Arc::new(move |req, stream| handler.answer(req, stream)),
            Arc::new(move |stream| accepting.accept(stream)),
        );
    }

    /// Writes the server's entry into the store.
    pub fn register(&self, store: &Store) {
        let run = self.run.lock().expect("run").clone();
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"{}\",\"slots\":{},\"state\":\"ready\",\
             \"cold_remaining_ms\":0,\"sequence_number\":0,\"born\":{}}}",
            self.service, self.addr, self.zone, run.software, self.slots, run.born_ms,
        );
        store.put("servers", &self.id(), &entry);
    }

    /// Sets the limit that the server names in its answers.
    pub fn set_limit(&self, limit: Option<f64>) {
        self.run.lock().expect("run").limit = limit;
    }

    /// Returns the ids and times of the requests that arrived.
    pub fn arrivals(&self) -> Vec<(String, Duration)> {
        self.arrivals.lock().expect("arrivals").clone()
    }

    /// Ends the server: its connections are closed, and its address refuses new ones.
    pub fn crash(&self) {
        self.run.lock().expect("run").is_up = false;
        self.generation.fetch_add(1, Ordering::SeqCst);
        for stream in self.open.lock().expect("connections").drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        // Wakes the listener, which ends.
        let _ = TcpStream::connect(self.addr);
    }

    /// Starts the server again, with this software and under this id.
    pub fn restart(self: &Arc<Self>, software: &str, id: &str) {
        *self.id.lock().expect("id") = id.to_owned();
        *self.run.lock().expect("run") = Run {
            software: software.to_owned(),
            born_ms: now_ms(),
            is_up: true,
            limit: None,
        };
        self.listen(TcpListener::bind(self.addr).expect("the server's address is free"));
    }

    /// Returns the id of the server's run.
    pub fn id(&self) -> String {
        self.id.lock().expect("id").clone()
    }

    /// A server that is down accepts nothing: the connection ends at once.
    fn accept(&self, stream: &TcpStream) -> bool {
        let is_up = self.run.lock().expect("run").is_up;
        if let (true, Ok(stream)) = (is_up, stream.try_clone()) {
            self.open.lock().expect("connections").push(stream);
        }
        is_up
    }

    fn answer(&self, req: &Message, stream: &mut TcpStream) -> io::Result<()> {
        let generation = self.generation.load(Ordering::SeqCst);
        let run = self.run.lock().expect("run").clone();
        let id = req.header("request-id").unwrap_or("-").to_owned();
        let (method, path, _) = req.target();
        if path == "/health" || path == "/v1/report" {
            let body = format!(
                "{{\"models\":[],\"busy\":false,\"sequence_number\":0,\"born\":{}}}",
                run.born_ms
            );
            let headers = format!("Instance-Id: {}\r\n", self.id());
            return write_answer(stream, "200 OK", &headers, &body);
        }
        let limit = run
            .limit
            .map_or_else(String::new, |limit| format!("Server-Limit: {limit}\r\n"));
        let not_run = format!("Request-Id: {id}\r\nNot-Executed: 1\r\n{limit}");
        self.record
            .add(&format!("arrived server={} id={id} {method} {path}", self.id()));
        self.arrivals
            .lock()
            .expect("arrivals")
            .push((id.clone(), self.record.now()));
        if req
            .header("expected-instance")
            .is_some_and(|instance| instance != self.id())
        {
            return write_answer(stream, "421 Misdirected Request", &not_run, "");
        }
        let poison = self.poison.lock().expect("poison").clone();
        let is_poisoned = poison.is_some_and(|poison| {
            req.header("prompt-prefix")
                .is_some_and(|parts| parts.contains(&poison))
        });
        let busy = self.busy.fetch_add(1, Ordering::SeqCst);
        let result = match busy >= self.slots {
            true => write_answer(stream, "503 Service Unavailable", &not_run, ""),
            false => self.run(stream, req, &run, is_poisoned, generation, &limit),
        };
        self.busy.fetch_sub(1, Ordering::SeqCst);
        result
    }

    fn run(
        &self,
        stream: &mut TcpStream,
        req: &Message,
        run: &Run,
        is_poisoned: bool,
        generation: u64,
        limit: &str,
    ) -> io::Result<()> {
        let id = req.header("request-id").unwrap_or("-");
        let after = req
            .header("last-event-id")
            .and_then(|id| id.parse::<u64>().ok())
            .unwrap_or(0);
        self.record.add(&format!(
            "runs server={} software={} id={id} after={after}",
            self.id(),
            run.software
        ));
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nRequest-Id: {id}\r\n\
             Response-Signature: {}.{id}\r\nServer-Load: {},0,{}\r\n{limit}\r\n",
            self.id(),
            self.busy.load(Ordering::SeqCst),
            self.slots
        );
        std::thread::sleep(self.work.first);
        if self.generation.load(Ordering::SeqCst) != generation {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        if is_poisoned {
            self.record.tell(&format!(
                "{} crashes as it begins to write an answer to {id}",
                self.id()
            ));
            self.crashes.lock().expect("crashes").push(self.record.now());
            self.crash();
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        stream.write_all(head.as_bytes())?;
        for number in after + 1..=self.work.events {
            if number > after + 1 {
                std::thread::sleep(self.work.pause);
            }
            if self.generation.load(Ordering::SeqCst) != generation {
                return Err(io::ErrorKind::ConnectionReset.into());
            }
            let event = format!("id: {number}\ndata: {} {}\n\n", run.software, self.id());
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            stream.write_all(chunk.as_bytes())?;
        }
        stream.write_all(b"0\r\n\r\n")
    }
}

fn now_ms() -> u128 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |now| now.as_millis())
}
