//! Keys of models, servers and failure domains.

/// Key of a model or adapter of one [`Policy`](super::Policy); never reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ModelKey(pub(super) u32);

/// Index of a server in the caller's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ServerKey(pub u32);

/// Number that the caller assigns to a failure domain.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct DomainKey(pub u16);
