//! Keys into the arenas of models, servers and failure domains.

/// Key of a model or adapter of one [`Policy`](super::Policy); never reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ModelKey(pub(super) u32);

/// Index of a server in its owner's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ServerKey(pub u32);

/// Index of a failure domain in its owner's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct DomainKey(pub u16);
