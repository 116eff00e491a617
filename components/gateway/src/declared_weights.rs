use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use error_stack::Report;
use utils::{ModelId, Monotonic};

use crate::DesiredWeights;
use crate::ports::UnusableRecord;
use crate::weights_history::{DeclaredAge, DeclaredTimes, WeightsHistory};

/// The weight versions declared for each model, and when each was declared.
#[derive(Debug, Default)]
pub(crate) struct DeclaredWeights {
    /// Versions by model.
    histories: HashMap<ModelId, WeightsHistory>,
    /// When a host received each declared version, by model, as recorded in the shared table.
    times: BTreeMap<ModelId, DeclaredTimes>,
}

impl DeclaredWeights {
    /// Returns the versions declared for each model.
    pub(crate) fn histories(&self) -> &HashMap<ModelId, WeightsHistory> {
        &self.histories
    }

    /// Adds a declared version with its age, if it is known.
    pub(crate) fn add(&mut self, weights: &DesiredWeights, age: Option<DeclaredAge>) {
        let history = self.histories.entry(weights.model.clone()).or_default();
        history.add(weights.version, age);
    }

    /// Applies the row with the times of a model's declarations. The ages stay known when the row is lost.
    pub(crate) fn apply_times_row(
        &mut self,
        model: &ModelId,
        value: Option<&[u8]>,
    ) -> Result<(), Report<UnusableRecord>> {
        let Some(value) = value else {
            self.times.remove(model);
            return Ok(());
        };
        let times = serde_json::from_slice(value);
        let times = times.map_err(|e| Report::new(e).change_context(UnusableRecord))?;
        self.times.insert(model.clone(), times);
        Ok(())
    }

    /// Adds the recorded ages to a model's history, with the time on the store's clock at `now`. Versions that have not
    /// been declared to this host yet are left out.
    pub(crate) fn apply_times(&mut self, model: &ModelId, store_time: Duration, now: Monotonic) {
        let (Some(history), Some(times)) = (self.histories.get_mut(model), self.times.get(model)) else {
            return;
        };
        let newest = history.newest();
        for (version, at) in times.versions.range(..=newest) {
            let age = DeclaredAge::new(store_time.saturating_sub(*at), now);
            history.add(*version, Some(age));
        }
    }

    /// Adds the recorded ages to the histories of all models.
    pub(crate) fn apply_all_times(&mut self, store_time: Duration, now: Monotonic) {
        for model in self.times.keys().cloned().collect::<Vec<_>>() {
            self.apply_times(&model, store_time, now);
        }
    }

    /// Returns the models whose row in the shared table lacks the time of a declaration that this host received, with
    /// the content that the row should have.
    pub(crate) fn unrecorded_times(
        &self,
        store_time: Duration,
        now: Monotonic,
    ) -> Vec<(ModelId, DeclaredTimes)> {
        let complete = self.histories.iter().map(|(model, history)| {
            let mut times = self.times.get(model).cloned().unwrap_or_default();
            for (version, age) in history.known() {
                let at = store_time.saturating_sub(age.at(now));
                times.versions.entry(version).or_insert(at);
            }
            (model.clone(), times)
        });
        let lacks_time = |(model, times): &(ModelId, DeclaredTimes)| self.times.get(model) != Some(times);
        complete
            .filter(lacks_time)
            .filter(|(_, times)| !times.versions.is_empty())
            .collect()
    }
}
