//! Versions of engine views, so that an instance is sent only those that changed.

use std::collections::BTreeMap;

use super::super::link::EngineView;

/// Least change of an engine's load or queue that is published at once.
const MIN_LOAD_CHANGE_REQUESTS: u32 = 6;

/// Views of all engines, each with the version of its last significant change.
#[derive(Debug, Default)]
pub struct EngineViews {
    version: u64,
    engines: BTreeMap<String, VersionedView>,
}

#[derive(Debug)]
struct VersionedView {
    version: u64,
    /// Load and queue length at `version`; `view` may have newer values.
    load: u32,
    queued: u32,
    view: EngineView,
}

impl EngineViews {
    /// Version that increases with each significant change of a view.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Replaces all views; engines that are not among the new ones are forgotten.
    pub fn update(&mut self, views: Vec<EngineView>) {
        let previous = std::mem::take(&mut self.engines);
        for view in views {
            let unchanged = previous.get(&view.id).filter(|v| v.is_similar(&view));
            if unchanged.is_none() {
                self.version += 1;
            }
            let entry = VersionedView {
                version: unchanged.map_or(self.version, |v| v.version),
                load: unchanged.map_or(view.load, |v| v.load),
                queued: unchanged.map_or(view.queued, |v| v.queued),
                view,
            };
            self.engines.insert(entry.view.id.clone(), entry);
        }
    }

    /// Views with a significant change after `version`.
    #[must_use]
    pub fn since(&self, version: u64) -> Vec<EngineView> {
        let newer = self.engines.values().filter(|v| v.version > version);
        newer.map(|v| v.view.clone()).collect()
    }
}

impl VersionedView {
    /// Whether a view differs too little to be published at once.
    fn is_similar(&self, view: &EngineView) -> bool {
        self.load.abs_diff(view.load) < MIN_LOAD_CHANGE_REQUESTS
            && self.queued.abs_diff(view.queued) < MIN_LOAD_CHANGE_REQUESTS
            && self.view.draining == view.draining
            && self.view.accepted_orders == view.accepted_orders
            && self.view.models == view.models
    }
}
