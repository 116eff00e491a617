use std::collections::hash_map::Entry;
use std::collections::{HashMap, HashSet};
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex};

use smol::net::UdpSocket;

/// Rules for the datagrams that relays drop.
#[derive(Default)]
pub(crate) struct Rules {
    /// Pairs of source and destination that can not reach each other.
    pub(crate) blocked: HashSet<(IpAddr, IpAddr)>,
    /// Flows up to this number are dropped permanently.
    pub(crate) dropped_up_to: u64,
    /// Number of flows so far.
    pub(crate) flows: u64,
}

pub(crate) type SharedRules = Arc<Mutex<Rules>>;

struct Flow {
    number: u64,
    upstream: UdpSocket,
    _back: smol::Task<()>,
}

/// Starts a relay that forwards datagrams to `target`; returns the relay's address.
pub(crate) async fn start(ex: &peers::Executor, target: SocketAddr, rules: SharedRules) -> SocketAddr {
    let front = UdpSocket::bind((target.ip(), 0)).await.expect("bind");
    let addr = front.local_addr().expect("address");
    let ex = ex.clone();
    ex.clone()
        .spawn(async move {
            let mut flows: HashMap<SocketAddr, Flow> = HashMap::new();
            let mut buf = [0; 2_048];
            while let Ok((n, from)) = front.recv_from(&mut buf).await {
                let flow = match flows.entry(from) {
                    Entry::Occupied(entry) => entry.into_mut(),
                    Entry::Vacant(entry) => {
                        entry.insert(open_flow(&ex, &front, from, target, rules.clone()).await)
                    }
                };
                if is_forwarded(&rules, flow.number, from.ip(), target.ip()) {
                    let _ = flow.upstream.send_to(&buf[..n], target).await;
                }
            }
        })
        .detach();
    addr
}

async fn open_flow(
    ex: &peers::Executor,
    front: &UdpSocket,
    from: SocketAddr,
    target: SocketAddr,
    rules: SharedRules,
) -> Flow {
    let number = {
        let mut rules = rules.lock().expect("lock");
        rules.flows += 1;
        rules.flows
    };
    let upstream = UdpSocket::bind((from.ip(), 0)).await.expect("bind");
    let (back, front) = (upstream.clone(), front.clone());
    let task = ex.spawn(async move {
        let mut buf = [0; 2_048];
        while let Ok((n, _)) = back.recv_from(&mut buf).await {
            if is_forwarded(&rules, number, target.ip(), from.ip()) {
                let _ = front.send_to(&buf[..n], from).await;
            }
        }
    });
    Flow {
        number,
        upstream,
        _back: task,
    }
}

fn is_forwarded(rules: &SharedRules, flow: u64, from: IpAddr, to: IpAddr) -> bool {
    let rules = rules.lock().expect("lock");
    flow > rules.dropped_up_to && !rules.blocked.contains(&(from, to))
}
