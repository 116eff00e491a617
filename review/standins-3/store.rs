//! A stand-in for the platform's metadata store: rows in tables, without losses or delays.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Action, Handler, Message, serve};
use crate::json::{Json, from_base64, quoted, to_base64};

/// Most rows of one answer.
const PAGE: usize = 500;

/// Table, part and key.
type Name = (String, String, String);

#[derive(Default)]
struct State {
    /// Value, `None` for a removed row, and version.
    rows: BTreeMap<Name, (Option<Vec<u8>>, u64)>,
    version: u64,
}

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    started: Instant,
    pub address: SocketAddr,
}

impl Store {
    pub fn start() -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("no free port");
        let store = Arc::new(Self {
            state: Mutex::default(),
            changed: Condvar::new(),
            started: Instant::now(),
            address: listener.local_addr().expect("no address"),
        });
        let handled = store.clone();
        let handler: Handler = Arc::new(move |request| handled.answer(request));
        serve(listener, handler);
        store
    }

    /// Writes a row as the operator or a server does.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let mut state = self.state.lock().unwrap();
        state.version += 1;
        let row = (Some(value.as_bytes().to_vec()), state.version);
        state.rows.insert((table.into(), String::new(), key.into()), row);
        self.changed.notify_all();
    }

    /// Returns the content of a row.
    pub fn get_text(&self, table: &str, key: &str) -> Option<String> {
        let state = self.state.lock().unwrap();
        let (value, _) = state.rows.get(&(table.into(), String::new(), key.into()))?;
        String::from_utf8(value.clone()?).ok()
    }

    /// Removes a row as the store does with the entry of a silent server.
    pub fn remove(&self, table: &str, key: &str) {
        let mut state = self.state.lock().unwrap();
        state.version += 1;
        let row = (None, state.version);
        state.rows.insert((table.into(), String::new(), key.into()), row);
        self.changed.notify_all();
    }

    fn answer(&self, request: &Message) -> Action {
        let mut action = match request.path() {
            "/v1/rows-get" => self.get(request),
            "/v1/rows-feed" => self.feed(request),
            "/v1/rows-parts" => self.parts(request),
            "/v1/rows-tx" => self.transact(&request.text()),
            _ => Action::json(404, "{}"),
        };
        let Action::Answer(_, headers, _) = &mut action;
        headers.push(("Store-Era".into(), "0".into()));
        action
    }

    fn rows(&self, version: u64, rows: &[String], has_more: bool) -> Action {
        let now_ms = self.started.elapsed().as_millis();
        let rows = rows.join(",");
        Action::json(
            200,
            format!(
                "{{\"rows\":[{rows}],\"has_more\":{has_more},\"object_version\":{version},\"now_ms\":{now_ms}}}"
            ),
        )
    }

    fn get(&self, request: &Message) -> Action {
        let (table, part) = (request.query("table"), request.query("part"));
        let (from, to) = (request.query("from"), request.query("to"));
        let limit = request.query("limit").parse().unwrap_or(PAGE).min(PAGE);
        let state = self.state.lock().unwrap();
        let found = state.rows.iter().filter(|((t, p, key), (value, _))| {
            *t == table && *p == part && *key >= from && (to.is_empty() || *key < to) && value.is_some()
        });
        let found: Vec<String> = found.map(|(name, row)| row_text(name, row)).collect();
        let has_more = found.len() > limit;
        self.rows(state.version, &found[..found.len().min(limit)], has_more)
    }

    fn feed(&self, request: &Message) -> Action {
        let table = request.query("table");
        let after: u64 = request.query("after").parse().unwrap_or(0);
        let wait: u64 = request.query("wait_ms").parse().unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(wait.min(30_000));
        let mut state = self.state.lock().unwrap();
        loop {
            let changed = state
                .rows
                .iter()
                .filter(|((t, _, _), (_, version))| *t == table && *version > after);
            let mut changed: Vec<_> = changed.collect();
            changed.sort_by_key(|(_, (_, version))| *version);
            let changed: Vec<String> = changed
                .into_iter()
                .map(|(name, row)| row_text(name, row))
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !changed.is_empty() || left.is_zero() {
                return self.rows(state.version, &changed, false);
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn parts(&self, request: &Message) -> Action {
        let (table, after) = (request.query("table"), request.query("after"));
        let state = self.state.lock().unwrap();
        let live = state.rows.iter().filter(|(_, (value, _))| value.is_some());
        let mut parts: Vec<String> = live
            .filter(|((t, p, _), _)| *t == table && *p > after)
            .map(|((_, p, _), _)| quoted(p))
            .collect();
        parts.dedup();
        Action::json(
            200,
            format!("{{\"parts\":[{}],\"has_more\":false}}", parts.join(",")),
        )
    }

    fn transact(&self, body: &str) -> Action {
        let Some(tx) = Json::parse(body) else {
            return Action::json(400, "{}");
        };
        let name = |row: &Json| -> Name {
            let field = |name: &str| row.get(name).text().to_owned();
            (field("table"), field("part"), field("key"))
        };
        let written = tx.get("puts").list().iter().chain(tx.get("removals").list());
        if written
            .clone()
            .any(|row| ["op", "servers"].contains(&row.get("table").text()))
        {
            return Action::json(403, "{}");
        }
        let mut state = self.state.lock().unwrap();
        let current = |state: &State, name: &Name| match state.rows.get(name) {
            Some((Some(_), version)) => *version,
            _ => 0,
        };
        let conditions = tx.get("expected_revision").list();
        let holds = |row: &Json| current(&state, &name(row)) == row.get("object_version").number() as u64;
        if !conditions.iter().all(holds) {
            let rows = conditions.iter().filter_map(|row| {
                let name = name(row);
                state.rows.get(&name).map(|row| row_text(&name, row))
            });
            let rows: Vec<String> = rows.collect();
            let version = state.version;
            return Action::json(
                412,
                format!("{{\"rows\":[{}],\"object_version\":{version}}}", rows.join(",")),
            );
        }
        state.version += 1;
        let version = state.version;
        for row in tx.get("puts").list() {
            let value = from_base64(row.get("value").text()).unwrap_or_default();
            state.rows.insert(name(row), (Some(value), version));
        }
        for row in tx.get("removals").list() {
            state.rows.insert(name(row), (None, version));
        }
        self.changed.notify_all();
        let now_ms = self.started.elapsed().as_millis();
        Action::json(
            200,
            format!("{{\"object_version\":{version},\"now_ms\":{now_ms}}}"),
        )
    }
}

fn row_text((table, part, key): &Name, (value, version): &(Option<Vec<u8>>, u64)) -> String {
    let value = match value {
        Some(value) => format!("\"value\":\"{}\"", to_base64(value)),
        None => "\"deleted\":true".into(),
    };
    format!(
        "{{\"table\":{},\"part\":{},\"key\":{},\"object_version\":{version},{value}}}",
        quoted(table),
        quoted(part),
        quoted(key)
    )
}
