use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use rustix::process::Signal;
use serde_json::json;

use crate::callers::{Ask, Attempt, call};
use crate::common::deployment::{
    GUEST, WORKSPACES, declare, declare_weights, guest_key, plain_headers, versioned_path,
};
use crate::common::{Caller, Engine, EngineMode, Link, Observations, Proxy, WireStore};
use crate::plan::{Size, Step, Trouble, plan};
use crate::process::Host;
use crate::verdict::{Evidence, Harm, judge};

/// Time after which a deployment that does not recover has failed.
const GIVE_UP: Duration = Duration::from_secs(90);
/// Time for runs and answers that are under way to end.
const REST: Duration = Duration::from_millis(500);
/// Pause before a process that was killed is started again.
const DOWN_TIME: Duration = Duration::from_millis(250);
/// Time after weights were named after which the first engines load them.
const LOAD_BEGUN: Duration = Duration::from_millis(400);
/// Pause between looks while the deployment recovers.
const LOOK: Duration = Duration::from_millis(50);

/// What a run brought.
pub(crate) struct Outcome {
    /// Promises that were broken.
    pub broken: Vec<String>,
    /// Requests sent, and those answered with success.
    pub requests: (usize, usize),
}

/// An engine and the line to it.
struct Place {
    engine: Engine,
    line: Proxy,
}

impl Place {
    fn key(&self) -> String {
        self.engine.instance()
    }

    fn register(&self, store: &WireStore) {
        let entry = self.engine.entry(&self.line.address.to_string());
        store.put("servers", &self.key(), &entry);
    }
}

/// A deployment under trouble.
struct World {
    store: WireStore,
    places: Vec<Place>,
    hosts: Vec<Host>,
    witness: Arc<Observations>,
    declared: AtomicU64,
    weights: AtomicU64,
    replaced: AtomicU64,
    harms: Mutex<Vec<Harm>>,
    broken: Mutex<Vec<String>>,
}

/// Plays the troubles of a seed and judges what callers and engines have seen.
pub(crate) fn soak(seed: u64, size: Size) -> Outcome {
    let dir = tempfile::tempdir().unwrap();
    let mut world = World::start(dir.path(), size);
    let stop = AtomicBool::new(false);
    let ask = &Ask {
        hosts: &world.hosts,
        declared: &world.declared,
        stop: &stop,
    };
    let attempts = std::thread::scope(|scope| {
        let callers: Vec<_> = (0..size.callers)
            .map(|number| scope.spawn(move || call(ask, seed, number)))
            .collect();
        world.play(&plan(seed, size));
        world.settle();
        stop.store(true, Ordering::SeqCst);
        let attempts = callers.into_iter().flat_map(|caller| caller.join().unwrap());
        attempts.collect::<Vec<Attempt>>()
    });
    std::thread::sleep(REST);
    let mut broken = judge(&Evidence {
        attempts: &attempts,
        witness: &world.witness,
        harms: &world.harms.lock().unwrap(),
    });
    broken.append(world.broken.get_mut().unwrap());
    if !broken.is_empty() {
        eprintln!("logs of seed {seed}: {}", dir.keep().display());
    }
    let served = attempts.iter().filter(|attempt| attempt.reply.status == 200);
    Outcome {
        broken,
        requests: (attempts.len(), served.count()),
    }
}

impl World {
    fn start(dir: &std::path::Path, size: Size) -> Self {
        let store = WireStore::start();
        declare(&store, 1);
        declare_weights(&store, 1);
        let witness = Arc::new(Observations::default());
        let places: Vec<_> = (0..size.engines)
            .map(|index| {
                let engine = Engine::start(&format!("engine-{index}"), witness.clone());
                let line = Proxy::start(engine.backend.address);
                Place { engine, line }
            })
            .collect();
        for place in &places {
            place.register(&store);
        }
        let mut hosts: Vec<_> = (0..size.hosts)
            .map(|index| Host::new(dir, index, &store))
            .collect();
        let seeds: Vec<_> = hosts.iter().map(|host| host.file.peers).take(3).collect();
        for host in &mut hosts {
            host.file.seeds = seeds.clone();
            host.start();
        }
        let give_up = Instant::now() + GIVE_UP;
        for host in &hosts {
            assert!(
                host.wait_until_ready(give_up),
                "{} does not start",
                host.file.name
            );
        }
        Self {
            store,
            places,
            hosts,
            witness,
            declared: AtomicU64::new(1),
            weights: AtomicU64::new(1),
            replaced: AtomicU64::new(0),
            harms: Mutex::default(),
            broken: Mutex::default(),
        }
    }

    /// Plays all steps, each on a thread of its own so that they overlap; engines register what has changed meanwhile.
    fn play(&self, steps: &[Step]) {
        let begin = Instant::now();
        let is_over = AtomicBool::new(false);
        let busy: Vec<Mutex<()>> = self.hosts.iter().map(|_| Mutex::default()).collect();
        std::thread::scope(|scope| {
            scope.spawn(|| self.keep_registered(&is_over));
            std::thread::scope(|troubles| {
                for step in steps {
                    let busy = &busy;
                    std::thread::sleep((begin + step.at).saturating_duration_since(Instant::now()));
                    troubles.spawn(move || self.trouble(step, busy));
                }
            });
            is_over.store(true, Ordering::SeqCst);
        });
    }

    /// Rewrites the entries of engines whose weights have changed, as engines do.
    fn keep_registered(&self, is_over: &AtomicBool) {
        let mut known: Vec<u64> = self.places.iter().map(|place| place.engine.weights()).collect();
        while !is_over.load(Ordering::SeqCst) {
            for (place, known) in self.places.iter().zip(&mut known) {
                let weights = place.engine.weights();
                if weights != std::mem::replace(known, weights) {
                    place.register(&self.store);
                }
            }
            std::thread::sleep(LOOK);
        }
        for place in &self.places {
            place.register(&self.store);
        }
    }

    fn trouble(&self, step: &Step, busy: &[Mutex<()>]) {
        let from = Instant::now();
        self.harm(step, busy);
        if !step.trouble.is_planned() {
            let until = Instant::now();
            let trouble = step.trouble;
            self.harms.lock().unwrap().push(Harm { trouble, from, until });
        }
    }

    fn harm(&self, step: &Step, busy: &[Mutex<()>]) {
        let last = || std::thread::sleep(step.length);
        match step.trouble {
            Trouble::Declare => {
                // The store has it before callers use it.
                let version = self.declared.load(Ordering::SeqCst) + 1;
                declare(&self.store, version);
                self.declared.fetch_max(version, Ordering::SeqCst);
            }
            Trouble::NameWeights => {
                declare_weights(&self.store, self.weights.fetch_add(1, Ordering::SeqCst) + 1);
            }
            Trouble::Hup(host) => self.hosts[host].signal(Signal::HUP),
            Trouble::Term(host) => {
                let Ok(_busy) = busy[host].try_lock() else { return };
                self.hosts[host].signal(Signal::TERM);
                if !self.hosts[host].has_ended_in_time() {
                    let fault = format!("{} did not end after SIGTERM", self.hosts[host].file.name);
                    self.broken.lock().unwrap().push(fault);
                    self.hosts[host].kill();
                }
                self.hosts[host].start();
            }
            Trouble::Kill(host) => {
                let Ok(_busy) = busy[host].try_lock() else { return };
                self.hosts[host].kill();
                std::thread::sleep(DOWN_TIME);
                self.hosts[host].start();
            }
            Trouble::Pause(host) => self.pause(host, step.length, busy),
            Trouble::PauseInLoad(host) => {
                declare_weights(&self.store, self.weights.fetch_add(1, Ordering::SeqCst) + 1);
                std::thread::sleep(LOAD_BEGUN);
                self.pause(host, step.length, busy);
            }
            Trouble::StoreLine(host, line) => {
                self.hosts[host].store_line.set(line);
                last();
                self.hosts[host].store_line.set(Link::Normal);
            }
            Trouble::StoreRefuses => {
                self.store.set_rejecting(true);
                last();
                self.store.set_rejecting(false);
            }
            Trouble::StoreForgets => self.store.compact(),
            Trouble::EngineLine(engine, line) => {
                self.places[engine].line.set(line);
                last();
                self.places[engine].line.set(Link::Normal);
            }
            Trouble::EngineMood(engine, mood) => {
                self.places[engine].engine.set_mode(mood);
                last();
                self.places[engine].engine.set_mode(EngineMode::Normal);
            }
            Trouble::EngineRestarts(engine) => {
                let place = &self.places[engine];
                place.engine.restart(None);
                place.line.reset();
                place.register(&self.store);
            }
            Trouble::EngineReplaced(engine) => {
                let place = &self.places[engine];
                let number = self.replaced.fetch_add(1, Ordering::SeqCst);
                self.store.remove("servers", &place.key());
                place.engine.restart(Some(&format!("engine-{engine}-{number}")));
                place.line.reset();
                place.register(&self.store);
            }
            Trouble::EntryLapses(engine) => {
                let key = self.places[engine].key();
                self.store.remove("servers", &key);
                last();
                if self.places[engine].key() == key {
                    self.places[engine].register(&self.store);
                }
            }
        }
    }

    fn pause(&self, host: usize, length: Duration, busy: &[Mutex<()>]) {
        let Ok(_busy) = busy[host].try_lock() else { return };
        self.hosts[host].signal(Signal::STOP);
        std::thread::sleep(length);
        self.hosts[host].signal(Signal::CONT);
    }

    /// Waits until all is as it was declared last; what does not come about is a broken promise.
    fn settle(&self) {
        // A forged entry harms no other.
        self.store.put("servers", "forged", &json!({"service": 7}));
        declare(&self.store, self.declared.load(Ordering::SeqCst) + 1);
        self.declared.fetch_add(1, Ordering::SeqCst);
        let give_up = Instant::now() + GIVE_UP;
        let lacking = loop {
            let lacking = self.lacking();
            if lacking.is_none() || Instant::now() > give_up {
                break lacking;
            }
            std::thread::sleep(LOOK);
        };
        self.broken.lock().unwrap().extend(lacking);
    }

    /// What is not yet as declared.
    fn lacking(&self) -> Option<String> {
        let newest = self.weights.load(Ordering::SeqCst);
        for place in &self.places {
            if place.engine.weights() != newest {
                return Some(format!("{} lacks weights {newest}", place.key()));
            }
        }
        let version = self.declared.load(Ordering::SeqCst);
        for host in &self.hosts {
            let name = &host.file.name;
            if host.has_crashed() {
                return Some(format!("{name} has ended by itself"));
            }
            if !host.is_ready() {
                return Some(format!("{name} is not ready"));
            }
            let status = |path: &str, key: &str| {
                let caller = Caller::try_connect(host.file.callers);
                let headers = plain_headers(key);
                caller.map_or(0, |mut caller| {
                    caller.request("POST", path, "probe", &headers, "").status
                })
            };
            let key = WORKSPACES[0].1;
            let passing = status(&format!("{}x", versioned_path(version)), key);
            let guest = status("/safe/x", &guest_key(version - 1));
            if (passing, guest) != (200, 401) {
                return Some(format!(
                    "{name} answers {passing} on the newest path and {guest} to the last key of {GUEST}"
                ));
            }
        }
        None
    }
}
