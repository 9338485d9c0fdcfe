//! The configuration: what operators write in the rules file.

mod model;

pub use model::{
    Call, Class, Engines, Fencing, Model, Repeat, Rules, ServiceRule, Tenant, Weights,
};
