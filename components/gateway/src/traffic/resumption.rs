//! Which software version a caller's request to resume a stream must go to.

use std::time::Duration;

use errors::ProblemKind;
use utils::{ServiceId, SoftwareVersion};

use super::refusal::Refusal;
use super::state::Traffic;
use crate::declared::{RetrySafety, Route, Workspace};
use crate::jitter::jittered;
use crate::software::OriginKey;
use crate::{CallFacts, View};

/// `Retry-After` of a request to resume a stream while the software version that began it is not known.
const UNKNOWN_ORIGIN_RETRY_AFTER: Duration = Duration::from_millis(400);

/// A request to resume a stream.
pub(super) struct Resumption<'a> {
    /// Route of the request.
    pub route: &'a Route,
    /// Workspace of the caller, if it has one.
    pub workspace: Option<&'a Workspace>,
    /// Service that was chosen for the request.
    pub service: &'a ServiceId,
}

/// Where a stream that a caller resumes must go on.
pub(super) struct RequiredSoftware {
    /// The service that began the stream.
    pub service: ServiceId,
    /// The software version that began it.
    pub software: SoftwareVersion,
    /// What that is concluded from.
    basis: OriginBasis,
}

/// What the software version that began a stream is concluded from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum OriginBasis {
    /// A record of the stream.
    Record,
    /// There is no record, so it is the service's baseline.
    NoRecord,
    /// The only version in service.
    OnlyVersion,
    /// Nothing; the version is not known.
    Unknown,
}

impl OriginBasis {
    /// Returns the name in log lines.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Record => "record",
            Self::NoRecord => "no-record",
            Self::OnlyVersion => "only-version",
            Self::Unknown => "unknown",
        }
    }
}

impl Resumption<'_> {
    /// Returns where the stream must go on; `None` if the request begins a stream.
    pub(super) async fn required_software(
        &self,
        cx: &Traffic,
        facts: &CallFacts,
    ) -> Result<Option<RequiredSoftware>, Refusal> {
        let is_resumed = facts.last_event.as_deref().is_some_and(|id| !id.is_empty());
        if !is_resumed || self.route.retry_safety != (RetrySafety::Stream { resumable: true }) {
            return Ok(None);
        }
        let found = self.find(cx, facts).await;
        let software = found.as_ref().map(|found| &*found.software);
        let basis = found.as_ref().map_or(OriginBasis::Unknown, |found| found.basis);
        cx.telemetry.resumption(facts, software, basis);
        found.map(Some).ok_or_else(unknown_origin_refusal)
    }

    async fn find(&self, cx: &Traffic, facts: &CallFacts) -> Option<RequiredSoftware> {
        let has_only_baseline = || cx.view.load().has_only_baseline(self.service, cx.now());
        // A host that is cut off from the store, or was suspended, does not see that another version has begun streams. So
        // its list must be one from after the request's arrival.
        if has_only_baseline() && cx.list_checks.is_confirmed().await && has_only_baseline() {
            return self.unrecorded(&cx.view.load(), OriginBasis::OnlyVersion);
        }
        let Some(began_as) = &facts.resumes else {
            let is_confirmed = cx.list_checks.is_confirmed().await;
            return self.unnamed(&cx.view.load()).filter(|_| is_confirmed);
        };
        let workspace = self.workspace.map_or("", |workspace| &workspace.name);
        match cx.origins.find(&OriginKey::of(workspace, began_as)).await {
            Ok(Some(origin)) => Some(RequiredSoftware {
                service: self.service_of(origin.service),
                software: origin.software,
                basis: OriginBasis::Record,
            }),
            Ok(None) => self.unrecorded(&cx.view.load(), OriginBasis::NoRecord),
            Err(_) => None,
        }
    }

    /// Returns where a stream without a record goes on.
    fn unrecorded(&self, view: &View, basis: OriginBasis) -> Option<RequiredSoftware> {
        let software = view.unrecorded_origin(self.service)?;
        Some(self.at(software, basis))
    }

    /// Returns where a stream goes on whose first attempt the caller does not name, so that its record can't be found: at the
    /// only version in service.
    fn unnamed(&self, view: &View) -> Option<RequiredSoftware> {
        let targets = view.targets_of(self.service);
        let only = &targets.first().filter(|_| view.has_read_hosts)?.software;
        let baseline = view.unrecorded_origin(self.service);
        let is_only = targets.iter().all(|target| target.software == *only);
        (is_only && baseline.is_none_or(|baseline| baseline == only))
            .then(|| self.at(only, OriginBasis::OnlyVersion))
    }

    fn at(&self, software: &SoftwareVersion, basis: OriginBasis) -> RequiredSoftware {
        RequiredSoftware {
            service: self.service.clone(),
            software: software.clone(),
            basis,
        }
    }

    /// Returns the service that began the stream if the route still sends requests to it.
    fn service_of(&self, began_at: ServiceId) -> ServiceId {
        match self.route.sends_to(&began_at) {
            true => began_at,
            false => self.service.clone(),
        }
    }
}

/// Returns the refusal of a request to resume a stream that began at an unknown software version.
fn unknown_origin_refusal() -> Refusal {
    let detail = "the software version that began the stream is not known at this moment";
    let wait = jittered(UNKNOWN_ORIGIN_RETRY_AFTER, 0.3);
    Refusal::not_run(ProblemKind::NoTarget, detail).with_retry_after(wait)
}
