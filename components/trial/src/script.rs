use std::time::{Duration, Instant};

use checker::{Drain, Leave, NoteAccepted};
use error_stack::{Report, ResultExt};
use loadgen::{Preset, Trace};
use standins::unix_micros;

use crate::TrialError;
use crate::declared::{accepted_now, declared};
use crate::deployment::{Deployment, Layout};

/// Time from the loss of an engine until the platform removes it from the host list.
const DELIST_DELAY: Duration = Duration::from_millis(500);

/// Time at which the graceful shutdown of an entry host begins, as a share of the duration of the trace.
const DRAIN_TIME_SHARE: f64 = 0.85;

/// Fault or change that the script applies during a trial.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// Kills an engine without notice, as on a power loss.
    KillEngine,
    /// Removes the killed engine from the host list.
    DelistEngine,
    /// Puts a release note into force.
    AcceptNote,
    /// Marks an engine as leaving in the host list.
    MarkEngineLeaving,
    /// Kills an entry host without notice and removes it from the host list.
    KillEntry,
    /// Drains an entry host and removes it from the host list.
    DrainEntry,
}

/// Changes that the script made, for the checker.
#[derive(Debug, Default)]
pub(crate) struct ScriptRecord {
    /// Targets that were marked as leaving.
    pub(crate) leaves: Vec<Leave>,
    /// Entry hosts that were shut down gracefully.
    pub(crate) drains: Vec<Drain>,
    /// Release notes that came into force.
    pub(crate) notes: Vec<NoteAccepted>,
}

/// Returns the time at which the graceful shutdown begins, from the start of the trace.
pub(crate) fn drain_time(trace: &Trace) -> Duration {
    trace.duration().mul_f64(DRAIN_TIME_SHARE)
}

/// Schedule of the faults and changes of a trial.
pub(crate) struct Script<'a> {
    /// Layout of the deployment.
    layout: &'a Layout,
    /// Parameters of the traffic.
    preset: &'a Preset,
    /// Trace that is played meanwhile.
    trace: &'a Trace,
}

impl<'a> Script<'a> {
    pub(crate) fn new(layout: &'a Layout, preset: &'a Preset, trace: &'a Trace) -> Self {
        Self {
            layout,
            preset,
            trace,
        }
    }

    /// Runs the steps at their times after `start`. Blocks the calling thread.
    pub(crate) fn run(
        &self,
        deployment: &mut Deployment,
        start: Instant,
        script_record: &mut ScriptRecord,
    ) -> Result<(), Report<TrialError>> {
        let at = |share: f64| self.trace.duration().mul_f64(share);
        let steps = [
            (at(0.25), Step::KillEngine),
            (at(0.25) + DELIST_DELAY, Step::DelistEngine),
            (at(0.4), Step::AcceptNote),
            (at(0.5), Step::MarkEngineLeaving),
            (at(0.6), Step::KillEntry),
            (at(DRAIN_TIME_SHARE), Step::DrainEntry),
        ];
        for (at, step) in steps {
            std::thread::sleep((start + at).saturating_duration_since(Instant::now()));
            self.run_step(deployment, step, script_record)?;
        }
        Ok(())
    }

    fn run_step(
        &self,
        deployment: &mut Deployment,
        step: Step,
        script_record: &mut ScriptRecord,
    ) -> Result<(), Report<TrialError>> {
        match step {
            Step::KillEngine => {
                if let Some(engine) = deployment.engines.remove("engine-2") {
                    smol::block_on(engine.kill());
                }
            }
            Step::DelistEngine => deployment.platform.state().remove_host("engine-2"),
            Step::AcceptNote => {
                let next = declared(self.preset, self.trace, 2);
                deployment.declare(&next)?;
                script_record.notes.push(accepted_now(&next));
            }
            Step::MarkEngineLeaving => {
                deployment.mark_leaving("engine-3", self.layout, self.preset);
                script_record.leaves.push(Leave {
                    target: "engine-3".into(),
                    at: unix_micros(),
                });
            }
            Step::KillEntry => {
                if let Some(daemon) = deployment.entries.remove("entry-2") {
                    daemon.abort().change_context(TrialError::Entry)?;
                }
                deployment.platform.state().remove_host("entry-2");
            }
            Step::DrainEntry => drain(deployment, "entry-3", script_record)?,
        }
        Ok(())
    }
}

/// Drains an entry host, removes it from the host list and records the drain.
fn drain(
    deployment: &mut Deployment,
    id: &'static str,
    script_record: &mut ScriptRecord,
) -> Result<(), Report<TrialError>> {
    let Some(daemon) = deployment.entries.remove(id) else {
        return Ok(());
    };
    let began = unix_micros();
    daemon.drain().change_context(TrialError::Entry)?;
    deployment.platform.state().remove_host(id);
    script_record.drains.push(Drain {
        host: id.into(),
        began,
        ended: unix_micros(),
    });
    Ok(())
}
