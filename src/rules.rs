//! The configuration: what operators write in the rules file.

mod check;
mod error;
mod fields;
mod lex;
mod model;
mod parse;

pub use error::RuleError;
pub use model::{
    Call, Class, Engines, Fencing, Model, Repeat, Rules, ServiceRule, Tenant, Weights,
};
