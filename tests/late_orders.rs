//! Orders whose sender stood still, or lost the lease, before they were on their way.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use brassrack::BoxFuture;
use brassrack::gateway::orders::port::{EnginePort, NoReport, OrderAnswer};
use brassrack::gateway::orders::send::{OrderSender, Outcome};
use brassrack::gateway::orders::sequence::OrderSequence;
use brassrack::gateway::planner::{EngineAction, WeightSource};
use brassrack::gateway::protocol::{Endpoint, Order, Report};
use brassrack::outbound::{Freshness, Outbound, OutboundSettings, SendFault};
use brassrack::verdict::Verdict;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use tokio::time::timeout;

const LIMIT: Duration = Duration::from_millis(700);
const MOST: usize = 1024;

/// Guards against ONE: the holder stands still while it opens a connection for an order, and sends it
/// when it goes on, long after another instance has taken the lease.
#[tokio::test]
async fn nothing_is_sent_once_it_is_invalid() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let to = listener.local_addr().unwrap();
    let pool = Outbound::new(OutboundSettings::default());
    let request = Request::new(Full::new(Bytes::from_static(b"order")));
    // The lease has ended by the time the connection is open.
    let call = pool.call_while(to, request, Freshness::Distinct, LIMIT, MOST, || false);
    let (answer, accepted) = tokio::join!(call, listener.accept());
    let error = answer.unwrap_err();
    assert_eq!(error.fault, SendFault::NotSent);
    assert_eq!(error.verdict(), Verdict::NotRun);
    let (mut stream, _) = accepted.unwrap();
    let mut bytes = [0; 16];
    let read = timeout(Duration::from_millis(200), stream.read(&mut bytes)).await;
    assert!(read.is_err(), "{read:?} {bytes:?}");
}

/// A port whose lease ends with the first order, which is not sent.
#[derive(Debug, Default)]
struct LapsingPort {
    lapsed: AtomicBool,
}

impl EnginePort for LapsingPort {
    fn now(&self) -> Duration {
        Duration::from_secs(50)
    }

    fn fencing_token(&self) -> Option<u64> {
        (!self.lapsed.load(Ordering::Relaxed)).then_some(1)
    }

    fn send<'a>(&'a self, _order: &'a Order) -> BoxFuture<'a, OrderAnswer> {
        self.lapsed.store(true, Ordering::Relaxed);
        Box::pin(async { OrderAnswer::NotSent })
    }

    fn report(&self) -> BoxFuture<'_, Result<Report, NoReport>> {
        Box::pin(async { Err(NoReport::Unreachable) })
    }

    fn listed(&self) -> Option<Endpoint> {
        None
    }
}

/// An engine is not taken for unreachable where the order was held back for want of the lease.
#[tokio::test]
async fn lost_lease_is_no_unreachable_engine() {
    let sequence = OrderSequence::default();
    let orders = OrderSender {
        port: Box::new(LapsingPort::default()),
        engine: "e".into(),
        holder: "front-1".into(),
        ticket: sequence.ticket(),
    };
    let load = EngineAction::LoadModel {
        evict: Vec::new(),
        model: "m".into(),
        source: WeightSource::Disk,
    };
    let result = orders.execute(&load, Duration::from_secs(1)).await;
    assert_eq!(result.outcome, Outcome::NoLease);
}
