use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures_lite::FutureExt;
use membership::{Effect, Identity, Input, Membership, MembershipEvent, MembershipView};
use metadata::ListedHost;
use peers::{HostKeys, InboundMessage, PeerTls, Transport, TransportOptions};
use utils::{Clock, SystemClock};

const TICK: Duration = Duration::from_millis(250);

/// List of hosts that all nodes read.
pub(crate) type SharedList = Arc<Mutex<Vec<ListedHost>>>;

/// A host that consists only of a transport and a membership state.
pub(crate) struct Node {
    pub(crate) transport: Transport,
    pub(crate) view: Arc<Mutex<MembershipView>>,
    pub(crate) events: Arc<Mutex<Vec<MembershipEvent>>>,
    pub(crate) paused: Arc<Mutex<bool>>,
    pub(crate) inputs: async_channel::Sender<Input>,
    pub(crate) clock: Arc<SystemClock>,
    task: smol::Task<()>,
}

pub(crate) struct Ready {
    identity: Identity,
    transport: Transport,
    messages: async_channel::Receiver<InboundMessage>,
}

impl Ready {
    pub(crate) fn bind(
        ex: &peers::Executor,
        authority: &str,
        keys: &HostKeys,
        region: &str,
        listen: SocketAddr,
    ) -> Self {
        let tls = PeerTls::from_pem(authority, &keys.certificate, &keys.key).expect("keys");
        let host = keys.host.clone();
        let options = TransportOptions {
            host: host.clone(),
            listen,
            tls,
        };
        let (transport, messages) = Transport::bind(options, ex.clone()).expect("bind");
        let identity = Identity {
            id: host,
            region: region.into(),
            incarnation: 1,
        };
        Self {
            identity,
            transport,
            messages,
        }
    }

    pub(crate) fn addr(&self) -> SocketAddr {
        self.transport.local_addr()
    }

    pub(crate) fn run(self, ex: &peers::Executor, list: &SharedList, seed: u64) -> Node {
        let clock = Arc::new(SystemClock::new());
        let (inputs, rx) = async_channel::unbounded();
        let shared = Loop {
            membership: Membership::new(self.identity, seed, clock.now()),
            transport: self.transport.clone(),
            view: Arc::default(),
            events: Arc::default(),
            paused: Arc::default(),
            clock: clock.clone(),
        };
        Node {
            transport: self.transport,
            view: shared.view.clone(),
            events: shared.events.clone(),
            paused: shared.paused.clone(),
            inputs,
            clock,
            task: ex.spawn(shared.run(self.messages, rx, list.clone())),
        }
    }
}

impl Node {
    /// Stops the node without notice of its leaving to the other nodes.
    pub(crate) async fn kill(self) {
        self.task.cancel().await;
        self.transport.shutdown().await;
    }

    pub(crate) fn hosts(&self, region: &str) -> usize {
        self.view.lock().expect("lock").host_names(region).len()
    }
}

struct Loop {
    membership: Membership,
    transport: Transport,
    view: Arc<Mutex<MembershipView>>,
    events: Arc<Mutex<Vec<MembershipEvent>>>,
    paused: Arc<Mutex<bool>>,
    clock: Arc<SystemClock>,
}

impl Loop {
    async fn run(
        mut self,
        messages: async_channel::Receiver<InboundMessage>,
        inputs: async_channel::Receiver<Input>,
        list: SharedList,
    ) {
        let mut next = self.clock.now();
        loop {
            if *self.paused.lock().expect("lock") {
                smol::Timer::after(Duration::from_millis(20)).await;
                continue;
            }
            let now = self.clock.now();
            if now >= next {
                next = now + TICK;
                let list = list.lock().expect("lock").clone();
                self.step(Input::List(list));
                self.step(Input::Tick);
            }
            let message = async { messages.recv().await.ok().map(Work::Message) };
            let input = async { inputs.recv().await.ok().map(Work::Input) };
            let tick = async {
                smol::Timer::after(next.saturating_sub(now)).await;
                None
            };
            match message.or(input).or(tick).await {
                Some(Work::Message(InboundMessage::Heartbeat { from, heartbeat })) => {
                    self.step(Input::Received { from, heartbeat });
                }
                Some(Work::Message(InboundMessage::Query { from, body, answer })) => {
                    let text = [from.as_bytes(), b" asks ", &body].concat();
                    let _ = answer.try_send(text);
                }
                Some(Work::Input(input)) => self.step(input),
                None => {}
            }
        }
    }

    fn step(&mut self, input: Input) {
        let now = self.clock.now();
        for effect in self.membership.step(input, now) {
            match effect {
                Effect::Send { to, heartbeat } => {
                    let addr = self.membership.peer_address(&to);
                    self.transport.send(&to, addr, &heartbeat);
                }
                Effect::Reconnect(to) => {
                    if let Some(addr) = self.membership.peer_address(&to) {
                        self.transport.reconnect(&to, addr);
                    }
                }
                Effect::Log(event) => self.events.lock().expect("lock").push(event),
                _ => {}
            }
        }
        *self.view.lock().expect("lock") = self.membership.view(now);
    }
}

enum Work {
    Message(InboundMessage),
    Input(Input),
}
