//! Which views of engines an instance has not been told yet.

use std::collections::BTreeMap;

use super::super::link::EngineView;

/// Change of an engine's load from which it is told at once.
const MIN_LOAD_CHANGE_REQUESTS: u32 = 6;

/// The views of all engines, each with the version at which it last changed by much.
#[derive(Debug, Default)]
pub struct EngineViews {
    version: u64,
    engines: BTreeMap<String, VersionedView>,
}

#[derive(Debug)]
struct VersionedView {
    version: u64,
    /// Load and queue at that version.
    load: u32,
    queued: u32,
    view: EngineView,
}

impl EngineViews {
    /// Rises whenever a view changes by much.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Takes over the views as they are now; engines that are not among them are forgotten.
    pub fn update(&mut self, views: Vec<EngineView>) {
        let previous = std::mem::take(&mut self.engines);
        for view in views {
            let unchanged = previous.get(&view.id).filter(|t| t.is_similar(&view));
            if unchanged.is_none() {
                self.version += 1;
            }
            let entry = VersionedView {
                version: unchanged.map_or(self.version, |t| t.version),
                load: unchanged.map_or(view.load, |t| t.load),
                queued: unchanged.map_or(view.queued, |t| t.queued),
                view,
            };
            self.engines.insert(entry.view.id.clone(), entry);
        }
    }

    /// The views that changed after a version.
    #[must_use]
    pub fn since(&self, version: u64) -> Vec<EngineView> {
        let newer = self.engines.values().filter(|t| t.version > version);
        newer.map(|t| t.view.clone()).collect()
    }
}

impl VersionedView {
    /// Whether a view differs by less than what is told at once.
    fn is_similar(&self, view: &EngineView) -> bool {
        self.load.abs_diff(view.load) < MIN_LOAD_CHANGE_REQUESTS
            && self.queued.abs_diff(view.queued) < MIN_LOAD_CHANGE_REQUESTS
            && self.view.leaving == view.leaving
            && self.view.accepted == view.accepted
            && self.view.models == view.models
    }
}
