//! Charts of brassrack, with their states and events.

use serde::{Deserialize, Serialize};

use super::ChartDefinition;

/// Declares an enum whose values are named in a chart file.
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
        /// Not on the server, and no order for it is out.
        Absent
        /// Reserved and counted; it may be activated without a further write.
        Granted
        /// Reserved; its load order is out or about to be.
        Loading
        /// Serves requests.
        Ready
        /// No new requests; its memory is counted until the engine reports it gone.
        Unloading
        /// It may still appear through a late order; its memory stays counted.
        Quarantined
}

chart_names! {
    /// Events of the replica chart.
    ReplicaEvent
        /// A load is decided.
        Reserve
        /// A standing grant is decided.
        Grant
        /// The engine reports a replica that nothing decided.
        Find
        /// A granted load was ordered.
        Activate
        /// The engine reports it ready.
        Confirm
        /// The engine reports that the load failed.
        Fail
        /// Letting go is decided.
        Retire
        /// The load or the replica is given up without a report of its end.
        Abandon
        /// The engine restarted and lost its state.
        Reboot
        /// The endpoint is gone.
        Vacate
        /// The engine's report proves that it is gone and cannot appear.
        Release
}

/// Replica of a model on a server.
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
        /// Accepted and within its limits.
        Admitted
        /// Waits for a replica or a place.
        Waiting
        /// Its idempotency key is claimed; nothing was sent.
        Claimed
        /// An endpoint was chosen; no byte was written.
        Connecting
        /// At least one byte was written to the endpoint.
        Sent
        /// The first byte of the answer reached the caller.
        Streaming
        /// The whole answer was passed on.
        Answered
        /// Refused; it surely did not run.
        NotRun
        /// Failed; it may have run.
        MayHaveRun
        /// It ran; its answer is lost or incomplete.
        Ran
}

chart_names! {
    /// Events of the request chart.
    RequestEvent
        /// No replica or place is free.
        Wait
        /// The claim was committed.
        Claim
        /// An endpoint was chosen.
        Pick
        /// The first byte is about to be written.
        Write
        /// The first byte of the answer arrived.
        FirstByte
        /// The answer's end marker arrived.
        End
        /// The connection failed.
        Cut
        /// The answer carries another request's id.
        Echo
        /// The deadline passed.
        Expire
        /// A limit, a stop or a missing platform refuses it.
        Refuse
        /// The endpoint states that it did not run the request.
        Prove
}

/// Request on its way through an instance.
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
        /// Nobody holds it.
        Free
        /// This instance holds it.
        Held
        /// Its time ran out; no order may leave.
        Lapsed
        /// Another instance holds it.
        Lost
}

chart_names! {
    /// Events of the lease chart.
    LeaseEvent
        /// The lease was granted to this instance.
        Acquire
        /// The lease was extended.
        Renew
        /// The time ran out by a clock that runs during suspension.
        Lapse
        /// It was handed over.
        Yield
        /// Another instance acquired it.
        Seize
}

/// Lease of an instance on work that it does alone.
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
        /// Takes new work.
        Serving
        /// Not ready any more; new work is still served until the balancer has noticed.
        Closing
        /// No new work; running work finishes.
        Draining
        /// Nothing runs.
        Stopped
}

chart_names! {
    /// Events of the drain chart.
    DrainEvent
        /// A stop was asked for.
        Stop
        /// The balancer's delay has passed.
        Noticed
        /// The last request and stream ended.
        Idle
        /// The bound for finishing passed.
        Timeout
        /// A second stop was asked for.
        Again
}

/// Planned stop of an instance or an endpoint.
#[derive(Debug, Clone, Copy)]
pub enum DrainChart {}

impl ChartDefinition for DrainChart {
    type State = DrainState;
    type Event = DrainEvent;
    const NAME: &'static str = "drain";
    const TEXT: &'static str = include_str!("../../charts/drain.yaml");
}
