//! The platform's metadata store: rows, transactions, reads and feeds, an outage, and a restore from an older copy.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Message, write_answer};
use crate::json::{Json, base64, quoted};

/// Time of a call.
const CALL_TIME: Duration = Duration::from_millis(4);
/// Time on the store's clock at the start of the stand-in, in milliseconds.
const FIRST_MS: f64 = 1_000_000.0;
/// Most rows of one answer.
const MAX_ROWS: usize = 500;

type Key = (String, String, String);

#[derive(Debug, Clone)]
struct Row {
    /// Value in base64; `None` for a dropped row.
    value: Option<String>,
    version: u64,
}

#[derive(Debug, Clone, Default)]
struct Rows {
    rows: BTreeMap<Key, Row>,
    version: u64,
}

/// A copy of the rows.
pub struct Copy(Rows);

#[derive(Debug, Default)]
struct State {
    data: Rows,
    era: u64,
    is_away: bool,
    /// Number of times that the store went away.
    departures: u64,
    /// Whether calls in flight at its last departure are never answered on their connections, which stay open.
    is_silent: bool,
}

/// The store.
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    started: Instant,
    pub addr: SocketAddr,
}

impl Store {
    pub fn start() -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("listener of the store");
        let store = Arc::new(Self {
            state: Mutex::new(State {
                era: 1,
                ..State::default()
            }),
            changed: Condvar::new(),
            started: Instant::now(),
            addr: listener.local_addr().expect("address of the store"),
        });
        store.serve(listener, Arc::default());
        store
    }

    /// Returns another address of the store, for a machine whose path to it can be cut.
    pub fn path(self: &Arc<Self>) -> (SocketAddr, Arc<AtomicBool>) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("listener of the store");
        let addr = listener.local_addr().expect("address of the store");
        let is_cut: Arc<AtomicBool> = Arc::default();
        self.serve(listener, is_cut.clone());
        (addr, is_cut)
    }

    fn serve(self: &Arc<Self>, listener: TcpListener, is_cut: Arc<AtomicBool>) {
        let store = self.clone();
        let handler = move |req: &Message, stream: &mut TcpStream| store.answer(req, stream, &is_cut);
        http::serve(listener, Arc::new(handler), Arc::new(|_| true));
    }

    /// Writes a row as the operator or a server does.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let key = (table.to_owned(), String::new(), key.to_owned());
        self.write([(key, Some(base64(value.as_bytes())))]);
    }

    /// Removes a row, as the store does when a server has been silent.
    pub fn remove(&self, table: &str, key: &str) {
        self.write([((table.to_owned(), String::new(), key.to_owned()), None)]);
    }

    /// Returns the number of rows of a table, in all parts.
    pub fn count(&self, table: &str) -> usize {
        let state = self.state.lock().expect("state");
        let rows = state.data.rows.iter();
        rows.filter(|((of, ..), row)| of == table && row.value.is_some())
            .count()
    }

    /// Returns the value of a row in base64.
    pub fn value(&self, table: &str, key: &str) -> Option<String> {
        let state = self.state.lock().expect("state");
        let key = (table.to_owned(), String::new(), key.to_owned());
        state.data.rows.get(&key)?.value.clone()
    }

    pub fn copy(&self) -> Copy {
        Copy(self.state.lock().expect("state").data.clone())
    }

    /// From now on the store does not answer. Connections with a call in flight end when it is back or, if it leaves in
    /// silence, stay open for good without an answer.
    pub fn leave(&self, in_silence: bool) {
        let mut state = self.state.lock().expect("state");
        state.is_away = true;
        state.departures += 1;
        state.is_silent = in_silence;
        drop(state);
        self.changed.notify_all();
    }

    /// The store answers again, with the rows that it had or, in a new era, with those of an older copy.
    pub fn come_back(&self, copy: Option<Copy>) {
        let mut state = self.state.lock().expect("state");
        state.is_away = false;
        if let Some(Copy(data)) = copy {
            state.data = data;
            state.era += 1;
        }
        drop(state);
        self.changed.notify_all();
    }

    fn write(&self, rows: impl IntoIterator<Item = (Key, Option<String>)>) -> u64 {
        let mut state = self.state.lock().expect("state");
        let version = state.data.apply(rows);
        drop(state);
        self.changed.notify_all();
        version
    }

    fn answer(&self, req: &Message, stream: &mut TcpStream, is_cut: &AtomicBool) -> std::io::Result<()> {
        let was_cut = is_cut.load(Ordering::SeqCst);
        let departures = {
            let state = self.state.lock().expect("state");
            state.departures - u64::from(state.is_away)
        };
        std::thread::sleep(CALL_TIME);
        let (_, path, _) = req.target();
        let answer = match path {
            "/v1/rows-tx" if was_cut => ("503 Service Unavailable", "{}".to_owned()),
            "/v1/rows-tx" => self.transact(&req.body),
            "/v1/rows-get" => self.read(req),
            "/v1/rows-feed" => self.feed(req),
            _ => ("404 Not Found", "{}".to_owned()),
        };
        if was_cut || is_cut.load(Ordering::SeqCst) {
            // Neither the call nor its answer passes the cut. The connection ends when the cut has healed.
            while is_cut.load(Ordering::SeqCst) {
                std::thread::sleep(CALL_TIME);
            }
            return Err(std::io::ErrorKind::ConnectionReset.into());
        }
        let mut state = self.state.lock().expect("state");
        if state.departures != departures {
            // Nothing was answered; the connection delivers nothing further.
            while state.is_away || state.is_silent {
                state = self.changed.wait(state).expect("state");
            }
            return Err(std::io::ErrorKind::ConnectionReset.into());
        }
        let headers = format!("Content-Type: application/json\r\nStore-Era: {}\r\n", state.era);
        drop(state);
        let (status, body) = answer;
        write_answer(stream, status, &headers, &body)
    }

    fn now_ms(&self) -> f64 {
        FIRST_MS + self.started.elapsed().as_secs_f64() * 1e3
    }

    fn transact(&self, body: &[u8]) -> (&'static str, String) {
        let Some(tx) = Json::parse(&String::from_utf8_lossy(body)) else {
            return ("400 Bad Request", "{}".to_owned());
        };
        let key = |row: &Json| (row.text("table"), row.text("part"), row.text("key"));
        let mut state = self.state.lock().expect("state");
        if state.is_away {
            return ("503 Service Unavailable", "{}".to_owned());
        }
        let version_of = |key: &Key| {
            let row = state.data.rows.get(key).filter(|row| row.value.is_some());
            row.map_or(0, |row| row.version)
        };
        let conditions = tx.list("expected_revision");
        if conditions
            .iter()
            .any(|row| version_of(&key(row)) != row.number("object_version"))
        {
            let rows = conditions.iter().map(key).filter_map(|key| {
                state
                    .data
                    .rows
                    .get_key_value(&key)
                    .map(|(key, row)| row_json(key, row))
            });
            let rows: Vec<_> = rows.collect();
            return (
                "412 Precondition Failed",
                self.rows_json(&rows, state.data.version, false),
            );
        }
        let puts = tx
            .list("puts")
            .iter()
            .map(|row| (key(row), Some(row.text("value"))));
        let removals = tx.list("removals").iter().map(|row| (key(row), None));
        let version = state.data.apply(puts.chain(removals));
        drop(state);
        self.changed.notify_all();
        (
            "200 OK",
            format!("{{\"object_version\":{version},\"now_ms\":{}}}", self.now_ms()),
        )
    }

    fn read(&self, req: &Message) -> (&'static str, String) {
        let (table, part) = (req.parameter("table"), req.parameter("part"));
        let (from, to) = (req.parameter("from"), req.parameter("to"));
        let limit = req.parameter("limit").parse().unwrap_or(MAX_ROWS).min(MAX_ROWS);
        let state = self.state.lock().expect("state");
        let found = state.data.rows.iter().filter(|((t, p, key), row)| {
            let is_in_range = *key >= from && (to.is_empty() || *key < to);
            *t == table && *p == part && row.value.is_some() && is_in_range
        });
        let rows: Vec<_> = found.map(|(key, row)| row_json(key, row)).collect();
        let has_more = rows.len() > limit;
        let rows = &rows[..rows.len().min(limit)];
        ("200 OK", self.rows_json(rows, state.data.version, has_more))
    }

    fn feed(&self, req: &Message) -> (&'static str, String) {
        let table = req.parameter("table");
        let after: u64 = req.parameter("after").parse().unwrap_or(0);
        let wait: u64 = req.parameter("wait_ms").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait);
        let mut state = self.state.lock().expect("state");
        let era = state.era;
        let departures = state.departures;
        loop {
            if after > state.data.version || era != state.era {
                return ("410 Gone", "{}".to_owned());
            }
            let newer = state.data.rows.iter();
            let newer = newer.filter(|((t, ..), row)| *t == table && row.version > after);
            let mut newer: Vec<_> = newer.collect();
            newer.sort_by_key(|(_, row)| row.version);
            let rows: Vec<_> = newer.into_iter().map(|(key, row)| row_json(key, row)).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() || state.departures != departures {
                return ("200 OK", self.rows_json(&rows, state.data.version, false));
            }
            state = self.changed.wait_timeout(state, left).expect("state").0;
        }
    }

    fn rows_json(&self, rows: &[String], version: u64, has_more: bool) -> String {
        let rows = rows.join(",");
        let now_ms = self.now_ms();
        format!(
            "{{\"rows\":[{rows}],\"has_more\":{has_more},\"object_version\":{version},\"now_ms\":{now_ms}}}"
        )
    }
}

impl Rows {
    fn apply(&mut self, rows: impl IntoIterator<Item = (Key, Option<String>)>) -> u64 {
        self.version += 1;
        for (key, value) in rows {
            let is_known = self.rows.contains_key(&key);
            if value.is_some() || is_known {
                let version = self.version;
                self.rows.insert(key, Row { value, version });
            }
        }
        self.version
    }
}

fn row_json((table, part, key): &Key, row: &Row) -> String {
    let content = match &row.value {
        Some(value) => format!("\"value\":{}", quoted(value)),
        None => "\"deleted\":true".to_owned(),
    };
    let (table, part, key) = (quoted(table), quoted(part), quoted(key));
    let version = row.version;
    format!("{{\"table\":{table},\"part\":{part},\"key\":{key},\"object_version\":{version},{content}}}")
}
