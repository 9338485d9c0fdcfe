//! Which views of engines an instance has not been told yet.

use std::collections::BTreeMap;

use super::super::link::EngineView;

/// Change of an engine's load from which it is told at once.
const LOAD_STEP: u32 = 6;

/// The views of all engines, each with the version at which it last changed by much.
#[derive(Debug, Default)]
pub struct Views {
    version: u64,
    engines: BTreeMap<String, Told>,
}

#[derive(Debug)]
struct Told {
    version: u64,
    /// Load and queue at that version.
    load: u32,
    queued: u32,
    view: EngineView,
}

impl Views {
    /// Rises whenever a view changes by much.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Takes over the views as they are now; engines that are not among them are forgotten.
    pub fn update(&mut self, views: Vec<EngineView>) {
        let before = std::mem::take(&mut self.engines);
        for view in views {
            let told = before.get(&view.id).filter(|t| t.near(&view));
            if told.is_none() {
                self.version += 1;
            }
            let entry = Told {
                version: told.map_or(self.version, |t| t.version),
                load: told.map_or(view.load, |t| t.load),
                queued: told.map_or(view.queued, |t| t.queued),
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

impl Told {
    /// Whether a view differs by less than what is told at once.
    fn near(&self, view: &EngineView) -> bool {
        self.load.abs_diff(view.load) < LOAD_STEP
            && self.queued.abs_diff(view.queued) < LOAD_STEP
            && self.view.draining == view.draining
            && self.view.accepted_orders == view.accepted_orders
            && self.view.models == view.models
    }
}
