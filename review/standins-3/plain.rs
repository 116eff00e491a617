//! A plain service: servers that run a request for some milliseconds and answer it.

use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::deployment::{Record, server_entry};
use crate::http::{Action, Handler, Message, serve};
use crate::store::Store;

/// What a faulty server does with a request that it has run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// It answers as a sound server does.
    None,
    /// It fails the request and says so with this status, without the statement that it has not run it.
    Fail(u16),
    /// It answers with this as the seconds of `Keep-Alive`.
    KeepAlive(&'static str),
}

/// Chooses the fault for a request.
pub type Choose = Arc<dyn Fn(&Message) -> Fault + Send + Sync>;

pub struct Server {
    pub address: SocketAddr,
    /// Ids of the requests that it has run.
    pub ran: Arc<Mutex<Vec<String>>>,
}

/// Starts a server and enters it in the list.
pub fn start(store: &Store, record: &Arc<Record>, number: usize, zone: &str, choose: Choose) -> Server {
    let listener = TcpListener::bind("127.0.0.1:0").expect("no free port");
    let address = listener.local_addr().expect("no address");
    let instance = format!("i-ledger-{number}");
    let ran: Arc<Mutex<Vec<String>>> = Arc::default();
    let handler: Handler = {
        let (instance, record, ran) = (instance.clone(), record.clone(), ran.clone());
        Arc::new(move |request| answer(&instance, &record, &ran, &choose, request))
    };
    serve(listener, handler);
    store.put(
        "servers",
        &instance,
        &server_entry("ledger", address, zone, 6, ""),
    );
    Server { address, ran }
}

fn answer(
    instance: &str,
    record: &Record,
    ran: &Mutex<Vec<String>>,
    choose: &Choose,
    request: &Message,
) -> Action {
    let header = |name: &str, value: &str| (name.to_owned(), value.to_owned());
    let id = request.header("request-id").unwrap_or("").to_owned();
    let mut headers = vec![
        header("Request-Id", &id),
        header("Instance-Id", instance),
        header("Server-Load", "1,0,6"),
    ];
    if request.path() == "/health" {
        return Action::Answer(200, headers, Vec::new());
    }
    let is_meant = request
        .header("expected-instance")
        .is_none_or(|expected| expected == instance);
    if !is_meant || id.is_empty() {
        headers.push(header("Not-Executed", "1"));
        return Action::Answer(if is_meant { 400 } else { 421 }, headers, Vec::new());
    }
    std::thread::sleep(Duration::from_millis(15));
    ran.lock().unwrap().push(id.clone());
    record.add(format!("{id} has run at {instance}"));
    headers.push(header("Response-Signature", &format!("sig.{instance}.{id}")));
    match choose(request) {
        Fault::None => {
            headers.push(header("Keep-Alive", "timeout=5"));
            Action::Answer(200, headers, format!("result of {id}").into_bytes())
        }
        Fault::Fail(status) => {
            record.add(format!(
                "{instance} answers {id} with {status}, signed, without Not-Executed"
            ));
            headers.push(header("Keep-Alive", "timeout=5"));
            Action::Answer(status, headers, b"failed".to_vec())
        }
        Fault::KeepAlive(seconds) => {
            record.add(format!(
                "{instance} answers {id} with 200 and Keep-Alive: timeout={seconds}"
            ));
            headers.push(header("Keep-Alive", &format!("timeout={seconds}")));
            Action::Answer(200, headers, format!("result of {id}").into_bytes())
        }
    }
}
