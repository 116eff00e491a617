use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use error_stack::Report;
use utils::{Monotonic, ServiceId, SoftwareVersion};

use super::baseline::{Baseline, BaselineChange, BaselineWrite};
use super::service::{MIN_STREAM_LIFETIME, ServiceSoftware};
use crate::ports::UnusableRecord;
use crate::{Declared, RetrySafety, Target};

/// Time after which a host writes rows again that it has known before the store lost them. Meanwhile it reads what the
/// store still has.
const CONFIRM_DELAY: Duration = Duration::from_secs(2);
/// Time within which a change of a baseline arrives that another host has written on the basis of an older list of
/// targets.
const CHANGE_MARGIN: Duration = Duration::from_secs(10);
/// Longest time before a restore from which the store may lack records: the age of the copy, and the time after which
/// no host has an older list of targets.
const RECORD_LOSS_WINDOW: Duration = Duration::from_secs(15);

/// A baseline that this host has read.
#[derive(Debug)]
struct Known {
    /// The newest row that the host has read.
    baseline: Baseline,
    /// Time since which the store's row is missing, unusable or older; `None` if the store has this one.
    missing_since: Option<Monotonic>,
    /// Whether the host has read it in the era in which it was written, so that it is not what a restore has left.
    is_original: bool,
}

/// The targets of a service by software version.
#[derive(Debug)]
struct Listing {
    /// Number of listed targets of each version.
    counts: BTreeMap<SoftwareVersion, usize>,
    /// Time at which the first target was listed.
    first_at: Option<Monotonic>,
    /// The version that alone is listed, or was before none was, and since when.
    alone: Option<(SoftwareVersion, Monotonic)>,
    /// Whether a version is listed whose streams need records.
    has_others: bool,
    /// Latest time at which such a version may have been listed, as far as this host knows; `None` if none ever was.
    others_until: Option<Monotonic>,
    /// Time until which another host may be changing the baseline although its version is listed again.
    unsettled_until: Monotonic,
    /// Longest time for which a stream is taken up after its begin.
    lifetime: Duration,
    /// Time at which a shorter lifetime was declared. It applies when the streams have ended that began before.
    shortened_at: Option<Monotonic>,
}

impl Listing {
    fn new(lifetime: Duration, now: Monotonic) -> Self {
        Self {
            counts: BTreeMap::new(),
            first_at: None,
            alone: None,
            has_others: false,
            others_until: Some(now),
            unsettled_until: Monotonic::ZERO,
            lifetime,
            shortened_at: None,
        }
    }

    fn set_lifetime(&mut self, declared: Duration, now: Monotonic) {
        if declared >= self.lifetime {
            self.lifetime = declared;
            self.shortened_at = None;
            return;
        }
        let shortened_at = *self.shortened_at.get_or_insert(now);
        if now.saturating_sub(shortened_at) >= self.lifetime {
            self.lifetime = declared;
            self.shortened_at = None;
        }
    }

    /// Records which versions are listed now. A time without targets ends nothing: no other version begins streams in it.
    fn record_counts(&mut self, baseline: Option<&Baseline>, now: Monotonic) {
        let mut versions = self.counts.keys();
        let Some(first) = versions.next() else { return };
        self.first_at.get_or_insert(now);
        let is_alone = versions.next().is_none();
        if let Some((alone, since)) = &self.alone {
            if is_alone && alone == first {
                return;
            }
            let has_displaced = baseline.is_some_and(|baseline| baseline.software != *alone);
            if has_displaced && now.saturating_sub(*since).saturating_add(CHANGE_MARGIN) >= self.lifetime {
                self.unsettled_until = now + CHANGE_MARGIN;
            }
        }
        self.alone = is_alone.then(|| (first.clone(), now));
    }

    /// Records whether other versions than the baseline's are listed. `is_new` says that the service has never had a
    /// baseline, so that no stream began before this host listed its targets.
    fn record_others(&mut self, baseline: Option<&Baseline>, is_new: bool, now: Monotonic) {
        let had_others = self.has_others;
        self.has_others = match baseline {
            Some(baseline) => self.counts.keys().any(|version| *version != baseline.software),
            None => self.counts.len() > 1,
        };
        if self.has_others || had_others {
            self.others_until = Some(now);
        } else if is_new {
            self.others_until = None;
        }
    }

    /// Whether a store that was restored at a time may lack records of streams that began at other versions.
    fn may_lack_records(&self, restored_at: Monotonic) -> bool {
        let is_within = |until: Monotonic| until.saturating_add(RECORD_LOSS_WINDOW) >= restored_at;
        self.has_others || self.others_until.is_some_and(is_within)
    }

    /// Returns the version with most targets.
    fn most_common(&self) -> Option<&SoftwareVersion> {
        let versions = self.counts.iter();
        versions
            .max_by_key(|(_, count)| **count)
            .map(|(version, _)| version)
    }
}

/// The newest era of the store.
#[derive(Debug, Default)]
struct Era {
    /// Number of the era; 0 if the store has never been restored.
    number: u64,
    /// Time at which the host first saw it.
    seen_at: Monotonic,
}

/// The software versions at which streams without a record began, for each service with resumable streams. A state
/// machine without I/O.
///
/// A baseline never goes back: rows that a restored store has left are older than what the host knows, and removed rows
/// are written again.
#[derive(Debug, Default)]
pub(crate) struct Baselines {
    /// What the host has read.
    known: BTreeMap<ServiceId, Known>,
    /// The services that a resumable route names.
    listings: BTreeMap<ServiceId, Listing>,
    /// The newest era of the store.
    era: Era,
    /// What was published last.
    published: HashMap<ServiceId, ServiceSoftware>,
}

impl Baselines {
    /// Returns what is known of each service with resumable streams.
    pub(crate) fn published(&self) -> &HashMap<ServiceId, ServiceSoftware> {
        &self.published
    }

    /// Applies the row of a service that was read in an era of the store; `None` for a removed row.
    pub(crate) fn apply_row(
        &mut self,
        service: &str,
        value: Option<&[u8]>,
        era: u64,
        now: Monotonic,
    ) -> Result<(), Report<UnusableRecord>> {
        let row = value.map(|value| Baseline::parse(value, era)).transpose();
        let stored = row.as_ref().ok().and_then(Option::as_ref);
        let known = self.known.get_mut(service);
        if let Some(known) = known.filter(|known| !stored.is_some_and(|row| row.is_newer(&known.baseline))) {
            known.missing_since = match stored == Some(&known.baseline) {
                true => None,
                false => known.missing_since.or(Some(now)),
            };
        } else if let Some(row) = stored {
            let known = Known {
                baseline: row.clone(),
                missing_since: None,
                is_original: false,
            };
            self.known.insert(service.into(), known);
        }
        row.map(|_| ())
    }

    /// Records the era of the store, the declarations and the listed targets. `is_read` says that the tables have been read
    /// in that era. Returns whether what is known has changed.
    pub(crate) fn observe<'a>(
        &mut self,
        era: u64,
        is_read: bool,
        declared: Option<&Declared>,
        targets: impl Iterator<Item = &'a Target>,
        now: Monotonic,
    ) -> bool {
        if era > self.era.number {
            self.era = Era {
                number: era,
                seen_at: now,
            };
        }
        for known in self.known.values_mut() {
            known.is_original |= known.baseline.era == self.era.number;
        }
        if let Some(declared) = declared {
            self.record_lifetimes(&stream_lifetimes(declared), now);
        }
        for listing in self.listings.values_mut() {
            listing.counts.clear();
        }
        for target in targets.filter(|target| !target.is_leaving) {
            if let Some(listing) = self.listings.get_mut(&target.service) {
                *listing.counts.entry(target.software.clone()).or_default() += 1;
            }
        }
        for (service, listing) in &mut self.listings {
            let baseline = self.known.get(service).map(|known| &known.baseline);
            listing.record_counts(baseline, now);
            listing.record_others(baseline, is_read && baseline.is_none(), now);
        }
        self.refresh(now)
    }

    /// Records that this host has not followed the list of targets without a gap up to now: other versions may have come
    /// and gone unseen.
    pub(crate) fn record_gap(&mut self, now: Monotonic) {
        for listing in self.listings.values_mut() {
            listing.others_until = Some(now);
        }
    }

    /// Records how long streams live. A service that no resumable route names any more is kept until its streams have
    /// ended.
    fn record_lifetimes(&mut self, lifetimes: &BTreeMap<ServiceId, Duration>, now: Monotonic) {
        for (service, lifetime) in lifetimes {
            let listing = self.listings.entry(service.clone());
            listing.or_insert_with(|| Listing::new(*lifetime, now));
        }
        for (service, listing) in &mut self.listings {
            let lifetime = lifetimes.get(service).copied().unwrap_or_default();
            listing.set_lifetime(lifetime, now);
        }
        self.listings.retain(|_, listing| !listing.lifetime.is_zero());
    }

    /// Determines what is known of each service; returns whether it has changed.
    pub(crate) fn refresh(&mut self, now: Monotonic) -> bool {
        let services = self.listings.iter();
        let software =
            services.map(|(service, listing)| (service.clone(), self.software(service, listing, now)));
        let software: HashMap<_, _> = software.collect();
        let is_changed = software != self.published;
        self.published = software;
        is_changed
    }

    fn software(&self, service: &ServiceId, listing: &Listing, now: Monotonic) -> ServiceSoftware {
        let known = self.known.get(service).map(|known| &known.baseline);
        let known = known.filter(|known| known.era == self.era.number && now >= listing.unsettled_until);
        let is_baseline = |version: &SoftwareVersion| known.is_some_and(|known| known.software == *version);
        let alone = listing.alone.as_ref().filter(|(version, _)| is_baseline(version));
        ServiceSoftware {
            baseline: known.map(|known| known.software.clone()),
            is_baseline_listed: listing.counts.keys().any(is_baseline),
            has_others: listing.has_others,
            alone_since: alone.map(|(_, since)| *since),
            lifetime: listing.lifetime,
        }
    }

    /// Returns the rows that are due.
    pub(crate) fn due(&self, now: Monotonic) -> Vec<BaselineWrite> {
        let writes = self.listings.iter().filter_map(|(service, listing)| {
            let Some(known) = self.known.get(service) else {
                return self.creation(service, listing);
            };
            match known.baseline.era < self.era.number || known.missing_since.is_some() {
                true => Some(self.confirmation(service, listing, known)),
                false => self.change(service, listing, known),
            }
        });
        writes.filter(|write| write.due_since <= now).collect()
    }

    /// A service without a row. Once the store has been restored, a row may have been lost, which matters if several
    /// versions are listed.
    fn creation(&self, service: &ServiceId, listing: &Listing) -> Option<BaselineWrite> {
        let first_at = listing.first_at?;
        let due_since = match self.era.number == 0 || listing.counts.len() == 1 {
            true => first_at,
            false => first_at.max(self.era.seen_at.saturating_add(listing.lifetime)),
        };
        let software = listing.most_common()?;
        Some(self.write(service, software, 0, BaselineChange::Created, due_since))
    }

    /// A row that the store has lost, or that may be older than one that it has lost. From then on a missing record means
    /// the baseline, so any host waits until no stream lives that began before the restore, unless it knew the baseline
    /// before and no record of another version can be lost.
    fn confirmation(&self, service: &ServiceId, listing: &Listing, known: &Known) -> BaselineWrite {
        let is_restored = known.baseline.era < self.era.number;
        let is_doubtful = is_restored && listing.may_lack_records(self.era.seen_at);
        let delay = match known.is_original && !is_doubtful {
            true => CONFIRM_DELAY,
            false => listing.lifetime,
        };
        let since = self.era.seen_at.max(known.missing_since.unwrap_or_default());
        let baseline = &known.baseline;
        self.write(
            service,
            &baseline.software,
            baseline.term,
            BaselineChange::Confirmed,
            since.saturating_add(delay),
        )
    }

    /// Another version that alone has been listed for so long that no caller waits for a stream of the baseline's.
    fn change(&self, service: &ServiceId, listing: &Listing, known: &Known) -> Option<BaselineWrite> {
        let (software, since) = listing.alone.as_ref()?;
        let is_other = *software != known.baseline.software && listing.counts.contains_key(software);
        let term = known.baseline.term;
        let due_since = since.saturating_add(listing.lifetime);
        is_other.then(|| self.write(service, software, term, BaselineChange::Changed, due_since))
    }

    fn write(
        &self,
        service: &ServiceId,
        software: &SoftwareVersion,
        term: u64,
        change: BaselineChange,
        due_since: Monotonic,
    ) -> BaselineWrite {
        BaselineWrite {
            service: service.clone(),
            baseline: Baseline {
                software: software.clone(),
                term: term + 1,
                era: self.era.number,
            },
            change,
            due_since,
        }
    }
}

/// Returns for how long a stream of each service is taken up after its begin: a caller tries again within the time of its
/// route, and the last stream may run for as long.
fn stream_lifetimes(declared: &Declared) -> BTreeMap<ServiceId, Duration> {
    let mut lifetimes = BTreeMap::new();
    let is_resumable = |safety| safety == RetrySafety::Stream { resumable: true };
    for route in declared.routes().filter(|route| is_resumable(route.retry_safety)) {
        for share in &route.services {
            let lifetime = lifetimes
                .entry(share.service.clone())
                .or_insert(MIN_STREAM_LIFETIME);
            *lifetime = route.timeout.saturating_mul(2).max(*lifetime);
        }
    }
    lifetimes
}
