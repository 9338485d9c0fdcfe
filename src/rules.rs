//! Parsing, versioning and storage of the rules file, which operators write as configuration.

mod active;
mod check;
mod diff;
mod error;
mod fields;
mod lex;
mod model;
mod parse;
mod store;
mod version;

pub use active::{ActiveRules, RulesCell, UpdateError, UpdateOutcome};
pub use diff::{Change, Diff};
pub use error::{ApplyConflict, ApplyError, RuleError, StoreError};
pub use model::{
    Call, Engines, Fencing, Model, PriorityClass, Repeat, Rules, ServiceRule, Tenant, Weights,
};
pub use store::{Proposal, RulesStore, StoreSettings, operation_id};
pub use version::{CURRENT_KEY, Version, VersionText, digest, history_key, object_key};
