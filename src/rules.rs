//! The configuration: what operators write in the rules file.

mod check;
mod diff;
mod error;
mod fields;
mod active;
mod lex;
mod model;
mod parse;
mod store;
mod version;

pub use diff::{Change, Diff};
pub use error::{ApplyError, Race, RuleError, StoreError};
pub use active::{Holder, InForce, Offer, OfferError};
pub use model::{
    Call, Class, Engines, Fencing, Model, Repeat, Rules, ServiceRule, Tenant, Weights,
};
pub use store::{Proposal, RulesStore, StoreSettings, operation_id};
pub use version::{CURRENT_KEY, Version, VersionText, digest, history_key, object_key};
