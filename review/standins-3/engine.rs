//! Model servers: they run requests on the weights that they have, cache the parts of prompts and take orders.

use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::deployment::{Record, server_entry};
use crate::http::{Action, Handler, Message, serve};
use crate::json::{Json, quoted};
use crate::store::Store;

/// Time of a run.
const RUN: Duration = Duration::from_millis(30);
/// Time that new weights take.
const LOAD: Duration = Duration::from_millis(760);
/// Interval between the heartbeats of a server, with which its entry in the list changes.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Requests that run at once.
pub const SLOTS: u32 = 64;

/// A request that a server has run.
#[derive(Debug, Clone)]
pub struct Run {
    pub id: String,
    pub tenant: String,
    /// Parts of the prompt that were not read, as the cache had them, with the tenant whose request made each.
    pub reused: Vec<(String, String)>,
}

#[derive(Default)]
struct State {
    versions: BTreeMap<String, u64>,
    /// Model whose order is in progress.
    loading: Option<String>,
    orders: u64,
    running: u32,
    /// Tenant whose request made a part, by salt, model and part.
    cache: HashMap<(String, String, String), String>,
    runs: Vec<Run>,
}

pub struct Engine {
    pub instance: String,
    pub address: SocketAddr,
    zone: &'static str,
    store: Arc<Store>,
    record: Arc<Record>,
    state: Mutex<State>,
}

impl Engine {
    /// Starts a server with version 1 of the models and enters it in the list.
    pub fn start(
        store: &Arc<Store>,
        record: &Arc<Record>,
        number: usize,
        zone: &'static str,
        models: &[&str],
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("no free port");
        let engine = Arc::new(Self {
            instance: format!("i-drafts-{number}"),
            address: listener.local_addr().expect("no address"),
            zone,
            store: store.clone(),
            record: record.clone(),
            state: Mutex::new(State {
                versions: models.iter().map(|model| ((*model).to_owned(), 1)).collect(),
                ..State::default()
            }),
        });
        engine.enter();
        let handled = engine.clone();
        let handler: Handler = Arc::new(move |request| handled.clone().answer(request));
        serve(listener, handler);
        engine
    }

    pub fn runs(&self) -> Vec<Run> {
        self.state.lock().unwrap().runs.clone()
    }

    pub fn version_of(&self, model: &str) -> u64 {
        self.state
            .lock()
            .unwrap()
            .versions
            .get(model)
            .copied()
            .unwrap_or(0)
    }

    fn models(&self) -> String {
        let state = self.state.lock().unwrap();
        let models = state.versions.iter().map(|(model, version)| {
            format!(
                "{{\"name\":{},\"version\":{version},\"adapters\":[]}}",
                quoted(model)
            )
        });
        format!("[{}]", models.collect::<Vec<_>>().join(","))
    }

    /// Writes the entry in the list.
    fn enter(&self) {
        let entry = server_entry("drafts", self.address, self.zone, SLOTS, &self.models());
        let orders = self.state.lock().unwrap().orders;
        let entry = entry.replace("\"sequence_number\":0", &format!("\"sequence_number\":{orders}"));
        self.store.put("servers", &self.instance, &entry);
    }

    fn answer(self: Arc<Self>, request: &Message) -> Action {
        match request.path() {
            "/health" => Action::Answer(
                200,
                vec![("Instance-Id".into(), self.instance.clone())],
                Vec::new(),
            ),
            "/v1/report" => {
                let models = self.models();
                let state = self.state.lock().unwrap();
                Action::json(
                    200,
                    format!(
                        "{{\"stage\":\"both\",\"models\":{models},\"busy\":{},\"sequence_number\":{},\
                         \"waiting_requests\":0,\"running_requests\":{},\"kv_cache_used\":0,\"kv_cache_total\":165785,\
                         \"handles\":0,\"born\":{}}}",
                        state.loading.is_some(),
                        state.orders,
                        state.running,
                        crate::deployment::born()
                    ),
                )
            }
            "/v1/order" => self.order(request),
            _ => self.run(request),
        }
    }

    fn order(self: Arc<Self>, request: &Message) -> Action {
        let is_meant = request
            .header("expected-instance")
            .is_none_or(|expected| expected == self.instance);
        if !is_meant {
            return Action::json(421, "{}");
        }
        let Some(order) = Json::parse(&request.text()) else {
            return Action::json(400, "{}");
        };
        let (model, version) = (
            order.get("model").text().to_owned(),
            order.get("version").number() as u64,
        );
        let named = self.store.get_text("op", &format!("version/{model}"));
        let named = named.and_then(|named| Json::parse(&named));
        let is_named = named.is_some_and(|named| version <= named.get("version").number() as u64);
        let has_holder = !order.get("holder").text().is_empty() && *order.get("fencing_token") != Json::Null;
        if !is_named || !has_holder {
            return Action::json(400, "{}");
        }
        {
            let mut state = self.state.lock().unwrap();
            if state.versions.get(&model) == Some(&version) {
                return Action::json(200, "{}");
            }
            let expected = order.get("expected_revision");
            if state.loading.is_some() || *expected != Json::Null && expected.number() as u64 != state.orders
            {
                return Action::json(409, "{}");
            }
            state.loading = Some(model.clone());
            state.orders += 1;
        }
        self.record.add(format!(
            "server {} takes version {version} of {model}",
            self.instance
        ));
        std::thread::spawn(move || {
            std::thread::sleep(LOAD);
            {
                let mut state = self.state.lock().unwrap();
                state.versions.insert(model.clone(), version);
                // The order discards what the server has stored of the model.
                state.cache.retain(|(_, of, _), _| *of != model);
                state.loading = None;
            }
            // The list shows it with the next heartbeat.
            std::thread::sleep(HEARTBEAT / 2);
            self.enter();
        });
        Action::json(202, "{}")
    }

    fn run(&self, request: &Message) -> Action {
        let header = |name: &str| request.header(name).unwrap_or("").to_owned();
        let (id, model, tenant, salt) = (
            header("request-id"),
            header("model"),
            header("tenant"),
            header("cache-salt"),
        );
        let answer = |name: &str, value: &str| (name.to_owned(), value.to_owned());
        let version = self.version_of(&model);
        let mut headers = vec![
            answer("Request-Id", &id),
            answer("Instance-Id", &self.instance),
            answer("Keep-Alive", "timeout=5"),
            answer("Weight-Versions", &version.to_string()),
        ];
        let is_meant = request
            .header("expected-instance")
            .is_none_or(|expected| expected == self.instance);
        let has_version = request
            .header("expected-version")
            .is_none_or(|expected| expected == version.to_string());
        if !is_meant || !has_version {
            let expected = header("expected-version");
            self.record.add(format!(
                "server {} turns {id} away with 421: it has version {version} of {model}, {expected} is expected",
                self.instance
            ));
            headers.push(answer("Not-Executed", "1"));
            return Action::Answer(421, headers, Vec::new());
        }
        {
            let mut state = self.state.lock().unwrap();
            if state.loading.as_ref() == Some(&model) {
                headers.push(answer("Not-Executed", "1"));
                return Action::Answer(503, headers, Vec::new());
            }
            state.running += 1;
            headers.push(answer("Server-Load", &format!("{},0,{SLOTS}", state.running)));
        }
        std::thread::sleep(RUN);
        self.state.lock().unwrap().running -= 1;
        let prefix = header("prompt-prefix");
        let parts = prefix
            .split(',')
            .filter_map(|part| Some(part.trim().split_once(':')?.0.to_owned()));
        let mut reused = Vec::new();
        {
            let mut state = self.state.lock().unwrap();
            // A part is cached only if all parts before it are.
            let mut is_cached = true;
            for part in parts {
                let key = (salt.clone(), model.clone(), part.clone());
                match state.cache.get(&key).filter(|_| is_cached) {
                    Some(maker) => reused.push((part, maker.clone())),
                    None => {
                        is_cached = false;
                        state.cache.insert(key, tenant.clone());
                    }
                }
            }
            self.record.add(format!(
                "{id} has run at {} on version {version} of {model}",
                self.instance
            ));
            state.runs.push(Run {
                id: id.clone(),
                tenant,
                reused,
            });
        }
        headers.push(answer(
            "Response-Signature",
            &format!("sig.{}.{id}", self.instance),
        ));
        headers.push(answer("Content-Type", "text/event-stream"));
        let body = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
        Action::Answer(200, headers, body.as_bytes().to_vec())
    }
}
