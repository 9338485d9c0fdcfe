//! State charts of brassrack, with their states and events.

use serde::{Deserialize, Serialize};

use super::ChartDefinition;

/// Declares an enum whose variants are named in a chart file.
macro_rules! chart_names {
    ($(#[$doc:meta])* $name:ident $($(#[$variant_doc:meta])* $variant:ident)+) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize,
            strum::Display, strum::EnumString, strum::EnumIter,
        )]
        #[serde(rename_all = "kebab-case")]
        #[strum(serialize_all = "kebab-case")]
        pub enum $name {
            $($(#[$variant_doc])* $variant,)+
        }
    };
}

chart_names! {
    /// States of the replica chart.
    ReplicaState
        /// Not on the server, and no load order for it is pending.
        Absent
        /// Memory reserved; the load may be ordered without a further write.
        Granted
        /// Memory reserved; the load order was sent or is about to be.
        Loading
        /// Serving requests.
        Ready
        /// Accepts no new requests; its memory stays reserved until the engine reports it gone.
        Unloading
        /// May still be loaded by a delayed order; its memory stays reserved.
        Quarantined
}

chart_names! {
    /// Events of the replica chart.
    ReplicaEvent
        /// A load is assigned.
        Reserve
        /// A standing grant is committed.
        Grant
        /// The engine reports a replica that is not assigned.
        Find
        /// The load of a granted replica was ordered.
        Activate
        /// The engine reports the replica as ready.
        Confirm
        /// The engine reports that the load failed.
        Fail
        /// The removal of the replica is requested.
        Retire
        /// The load or the replica is given up although the engine did not report its end.
        Abandon
        /// The engine restarted and lost its replicas.
        Reboot
        /// The endpoint is no longer listed.
        Vacate
        /// The replica is proven to be gone and unable to reappear.
        Release
}

/// Chart of a replica of a model on a server.
#[derive(Debug, Clone, Copy)]
pub enum ReplicaChart {}

impl ChartDefinition for ReplicaChart {
    type State = ReplicaState;
    type Event = ReplicaEvent;
    const NAME: &'static str = "replica";
    const TEXT: &'static str = include_str!("../../charts/replica.yaml");
}

chart_names! {
    /// States of the request chart.
    RequestState
        /// Accepted, within all limits.
        Admitted
        /// Waiting for a replica or for capacity.
        Waiting
        /// Its idempotency key is claimed; nothing was sent to an endpoint.
        Claimed
        /// An endpoint was chosen; no byte was written.
        Connecting
        /// At least one byte was written to the endpoint.
        Sent
        /// The first byte of the answer was passed to the caller.
        Streaming
        /// The complete answer was passed to the caller.
        Answered
        /// Refused or failed; it certainly did not run.
        NotRun
        /// Failed; it may have run.
        MayHaveRun
        /// Ran, but its answer is lost or incomplete.
        Ran
}

chart_names! {
    /// Events of the request chart.
    RequestEvent
        /// No replica or capacity is available.
        Wait
        /// The claim of the idempotency key was committed.
        Claim
        /// An endpoint was chosen.
        Pick
        /// The first byte is about to be written to the endpoint.
        Write
        /// The first byte of the answer was received.
        FirstByte
        /// The end marker of the answer was received.
        End
        /// The connection failed.
        Cut
        /// The answer carries the id of another request.
        Echo
        /// The deadline passed.
        Expire
        /// Refused by a limit, a shutdown or an unavailable platform.
        Refuse
        /// The endpoint confirms that it did not run the request.
        Prove
}

/// Chart of a request at an instance.
#[derive(Debug, Clone, Copy)]
pub enum RequestChart {}

impl ChartDefinition for RequestChart {
    type State = RequestState;
    type Event = RequestEvent;
    const NAME: &'static str = "request";
    const TEXT: &'static str = include_str!("../../charts/request.yaml");
}

chart_names! {
    /// States of the lease chart.
    LeaseState
        /// Not held by any instance.
        Free
        /// Held by this instance.
        Held
        /// Expired; no order may be sent.
        Lapsed
        /// Held by another instance.
        Lost
}

chart_names! {
    /// Events of the lease chart.
    LeaseEvent
        /// The lease was granted to this instance.
        Acquire
        /// The lease was extended.
        Renew
        /// The lease expired by a clock that advances during system suspension.
        Lapse
        /// This instance released the lease.
        Yield
        /// Another instance acquired the lease.
        Seize
}

/// Chart of an instance's lease on exclusive work.
#[derive(Debug, Clone, Copy)]
pub enum LeaseChart {}

impl ChartDefinition for LeaseChart {
    type State = LeaseState;
    type Event = LeaseEvent;
    const NAME: &'static str = "lease";
    const TEXT: &'static str = include_str!("../../charts/lease.yaml");
}

chart_names! {
    /// States of the drain chart.
    DrainState
        /// Accepts new work.
        Serving
        /// No longer ready; new work is still served until the load balancer has noticed.
        Closing
        /// Accepts no new work; running work finishes.
        Draining
        /// No work is running.
        Stopped
}

chart_names! {
    /// Events of the drain chart.
    DrainEvent
        /// A stop was requested.
        Stop
        /// The load balancer's detection delay has passed.
        Noticed
        /// The last request and stream ended.
        Idle
        /// The time limit for finishing passed.
        Timeout
        /// A second stop was requested.
        Again
}

/// Chart of the graceful shutdown of an instance or an endpoint.
#[derive(Debug, Clone, Copy)]
pub enum DrainChart {}

impl ChartDefinition for DrainChart {
    type State = DrainState;
    type Event = DrainEvent;
    const NAME: &'static str = "drain";
    const TEXT: &'static str = include_str!("../../charts/drain.yaml");
}
