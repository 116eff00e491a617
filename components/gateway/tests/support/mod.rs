//! Test decoder for rows of plain words, and helpers that build such rows.
// Each test file uses only some of the helpers.
#![allow(dead_code)]

pub(crate) mod engines;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use error_stack::Report;
use gateway::ports::{DeclaredRecord, Decode, Record, Snapshot, UnusableRecord};
use gateway::{
    AllowedRegions, CallerLimits, Declared, DesiredWeights, Position, RetrySafety, Route, Service,
    ServiceShare, Target,
};

/// Decodes rows of the form `declared N [stream SERVICE SECONDS]`, which declares the service `s`, `declared N services
/// SERVICE...`, `weights MODEL N` and `target SERVICE VERSION [software=VERSION] [born=N] [leaving]`, and rows with the key
/// `evacuate/DOMAIN`.
pub(crate) struct WordDecode;

impl Decode for WordDecode {
    fn declared(&self, record: &Record) -> Result<DeclaredRecord, Report<UnusableRecord>> {
        if let Some(domain) = record.key.strip_prefix("evacuate/") {
            return Ok(DeclaredRecord::Evacuation(domain.into()));
        }
        let words = words(record)?;
        match words.iter().map(String::as_str).collect::<Vec<_>>()[..] {
            ["declared", version, ref rest @ ..] => {
                let version = version.parse().map_err(|_| UnusableRecord)?;
                let limits = CallerLimits {
                    body_bytes: 1_000,
                    ..CallerLimits::default()
                };
                let (names, stream): (&[&str], _) = match rest {
                    ["services", names @ ..] => (names, &[][..]),
                    stream => (&["s"], stream),
                };
                let declared = Declared::new(
                    version,
                    limits,
                    stream_route(stream)?,
                    names.iter().map(|name| service(name)),
                    Some(HashMap::new()),
                );
                Ok(DeclaredRecord::All(Box::new(declared)))
            }
            ["weights", model, version] => Ok(DeclaredRecord::Weights(DesiredWeights {
                model: model.into(),
                version: version.parse().map_err(|_| UnusableRecord)?,
            })),
            _ => Err(Report::new(UnusableRecord)),
        }
    }

    fn target(&self, record: &Record) -> Result<Target, Report<UnusableRecord>> {
        let words = words(record)?;
        let [kind, service, version, rest @ ..] = &words[..] else {
            return Err(Report::new(UnusableRecord));
        };
        if kind != "target" {
            return Err(Report::new(UnusableRecord));
        }
        let mut target = target(&record.key, version.parse().map_err(|_| UnusableRecord)?);
        target.service = service.as_str().into();
        target.is_leaving = rest.iter().any(|word| word == "leaving");
        if let Some(software) = rest.iter().find_map(|word| word.strip_prefix("software=")) {
            target.software = software.into();
        }
        if let Some(born) = rest.iter().find_map(|word| word.strip_prefix("born=")) {
            target.born_ms = born.parse().map_err(|_| UnusableRecord)?;
            target.run = Target::run_of(&target.instance, target.born_ms);
        }
        Ok(target)
    }
}

/// Returns a declared service with targets.
fn service(name: &str) -> Service {
    Service {
        name: name.into(),
        connection_limit: 100,
        engine: None,
        store: None,
        cold: None,
    }
}

/// Returns a resumable stream route of a service, for the words `stream SERVICE SECONDS`.
fn stream_route(words: &[&str]) -> Result<Option<Route>, Report<UnusableRecord>> {
    let [_, service, seconds] = words else {
        return Ok(None);
    };
    let timeout = Duration::from_secs(seconds.parse().map_err(|_| UnusableRecord)?);
    Ok(Some(Route {
        name: "stream".into(),
        host: "h".to_owned(),
        prefix: "/".to_owned(),
        retry_safety: RetrySafety::Stream { resumable: true },
        timeout,
        latency_target: timeout,
        priority: 0,
        services: vec![ServiceShare {
            service: (*service).into(),
            weight: 1,
        }],
        max_targets: 2,
        is_anonymous: true,
        allowed_regions: AllowedRegions::default(),
    }))
}

fn words(record: &Record) -> Result<Vec<String>, Report<UnusableRecord>> {
    let value = record.value.clone().ok_or(UnusableRecord)?;
    let text = String::from_utf8(value).map_err(|_| UnusableRecord)?;
    Ok(text.split_whitespace().map(str::to_owned).collect())
}

/// Returns an engine with weights of model `m`.
pub(crate) fn target(instance: &str, version: u64) -> Target {
    Target {
        run: Target::run_of(instance, 1),
        instance: instance.to_owned(),
        born_ms: 1,
        service: "s".into(),
        software: "1".into(),
        address: ([127, 0, 0, 1], 1).into(),
        domain: "a".into(),
        slots: 8,
        is_leaving: false,
        models: vec![("m".into(), version)],
        cold_remaining: None,
    }
}

/// Returns a position in the first era.
pub(crate) fn at(version: u64) -> Position {
    Position::new(0, version)
}

/// Returns an existing row.
pub(crate) fn row(key: &str, value: &str, version: u64) -> Record {
    Record {
        key: key.to_owned(),
        value: Some(value.as_bytes().to_vec()),
        position: at(version),
    }
}

/// Returns a removed row.
pub(crate) fn removed(key: &str, version: u64) -> Record {
    Record {
        key: key.to_owned(),
        value: None,
        position: at(version),
    }
}

/// Returns rows as of a version.
pub(crate) fn snapshot(version: u64, records: impl Into<Vec<Record>>) -> Snapshot {
    Snapshot {
        records: records.into(),
        position: at(version),
        store_time: None,
        transfer_time: Duration::ZERO,
    }
}

/// Moves rows into an era of the store.
pub(crate) fn in_era(era: u64, mut snapshot: Snapshot) -> Snapshot {
    let moved = |position: Position| Position::new(era, position.version());
    snapshot.position = moved(snapshot.position);
    for record in &mut snapshot.records {
        record.position = moved(record.position);
    }
    snapshot
}

/// Returns the test decoder.
pub(crate) fn decode() -> Arc<dyn Decode> {
    Arc::new(WordDecode)
}

/// Returns a time in milliseconds since the start.
pub(crate) fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Returns rows as of a version and a time on the store's clock.
pub(crate) fn snapshot_at(store_time: Duration, version: u64, records: impl Into<Vec<Record>>) -> Snapshot {
    Snapshot {
        store_time: Some(store_time),
        ..snapshot(version, records)
    }
}
