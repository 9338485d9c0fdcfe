//! Instances of the peer protocol on loopback, behind relays that can go silent.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use brassrack::BoxFuture;
use brassrack::clock::Clock;
use brassrack::instances::{Directory, ListError, Listed, OWN_SERVICE, Standing};
use brassrack::members::{Member, MemberState};
use brassrack::peers::{Inbound, Mesh, MeshConfig, MeshHandle, MeshSettings};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio_util::task::AbortOnDropHandle;

/// Bytes that a relay copies at once.
const CHUNK: usize = 16 * 1024;

/// An instance list in memory; clones share it.
#[derive(Debug, Clone, Default)]
pub struct MemoryList(Arc<Mutex<Vec<Listed>>>);

impl MemoryList {
    /// Changes the list.
    pub fn edit(&self, change: impl FnOnce(&mut Vec<Listed>)) {
        change(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner));
    }

    /// Lists one of brassrack's own instances as live.
    pub fn add(&self, name: &str, address: SocketAddr) {
        let listed = Listed {
            name: name.to_string(),
            service: OWN_SERVICE.to_string(),
            address,
            domain: "vic".to_string(),
            region: "osrednja".to_string(),
            standing: Standing::Live,
        };
        self.edit(|list| list.push(listed));
    }
}

impl Directory for MemoryList {
    fn list(&self) -> BoxFuture<'_, Result<Vec<Listed>, ListError>> {
        let list = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        Box::pin(std::future::ready(Ok(list.clone())))
    }
}

/// What a relay does with connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Passage {
    /// Connections of this epoch or a later one pass.
    From(u64),
    /// Nothing passes; new connections are accepted and stay silent.
    Nothing,
}

/// Forwards connections to a listener; existing ones can go silent while new ones work.
#[derive(Debug)]
pub struct Relay {
    /// Address to connect to.
    pub address: SocketAddr,
    passage: watch::Sender<Passage>,
    _task: AbortOnDropHandle<()>,
}

impl Relay {
    /// Starts a relay before a listener.
    ///
    /// # Errors
    ///
    /// Any error of binding a loopback address.
    pub async fn start(target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (passage, view) = watch::channel(Passage::From(0));
        let task = AbortOnDropHandle::new(tokio::spawn(relay(listener, target, view)));
        Ok(Self {
            address,
            passage,
            _task: task,
        })
    }

    /// Existing connections go silent for good; new ones work.
    pub fn silence(&self) {
        self.passage.send_modify(|passage| {
            *passage = match *passage {
                Passage::From(epoch) => Passage::From(epoch + 1),
                Passage::Nothing => Passage::Nothing,
            };
        });
    }

    /// All connections, existing and new, go silent.
    pub fn block(&self) {
        self.passage.send_replace(Passage::Nothing);
    }
}

async fn relay(listener: TcpListener, target: SocketAddr, view: watch::Receiver<Passage>) {
    let mut pairs = Vec::new();
    while let Ok((near, _)) = listener.accept().await {
        let passage = *view.borrow();
        let pair = tokio::spawn(forward(near, target, passage, view.clone()));
        pairs.push(AbortOnDropHandle::new(pair));
    }
}

async fn forward(
    near: TcpStream,
    target: SocketAddr,
    passage: Passage,
    view: watch::Receiver<Passage>,
) {
    let Passage::From(epoch) = passage else {
        return std::future::pending().await;
    };
    let Ok(far) = TcpStream::connect(target).await else {
        return;
    };
    drop(near.set_nodelay(true));
    drop(far.set_nodelay(true));
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    tokio::select! {
        () = copy(near_read, far_write, epoch, view.clone()) => {}
        () = copy(far_read, near_write, epoch, view) => {}
    }
}

/// Copies until the end of the stream; a silent connection never ends.
async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    epoch: u64,
    view: watch::Receiver<Passage>,
) {
    let mut buffer = vec![0; CHUNK];
    loop {
        let read = from.read(&mut buffer).await;
        let open = matches!(*view.borrow(), Passage::From(lowest) if lowest <= epoch);
        if !open {
            return std::future::pending().await;
        }
        let Ok(len @ 1..) = read else {
            return;
        };
        if to.write_all(&buffer[..len]).await.is_err() {
            return;
        }
    }
}

/// What an instance of the peer protocol is started with.
#[must_use]
pub fn mesh_config(
    name: &str,
    incarnation: u64,
    address: SocketAddr,
    list: &MemoryList,
    settings: MeshSettings,
) -> MeshConfig {
    MeshConfig {
        me: Member {
            name: name.to_string(),
            address,
            region: "osrednja".to_string(),
            domain: "vic".to_string(),
            incarnation,
            state: MemberState::Live,
            rules: 0,
        },
        directory: Arc::new(list.clone()),
        clock: Clock::Boot,
        settings,
    }
}

/// One instance of the peer protocol.
#[derive(Debug)]
pub struct Node {
    /// Name.
    pub name: String,
    /// Handle; dropping the node stops the instance.
    pub handle: MeshHandle,
    /// Requests of peers.
    pub inbound: mpsc::Receiver<Inbound>,
    /// Relay before the instance's listener.
    pub relay: Relay,
}

impl Node {
    /// Starts an instance and lists it.
    ///
    /// # Errors
    ///
    /// Any error of binding a loopback address.
    pub async fn start(
        name: &str,
        incarnation: u64,
        list: &MemoryList,
        settings: MeshSettings,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let relay = Relay::start(listener.local_addr()?).await?;
        list.edit(|entries| entries.retain(|entry| entry.name != name));
        list.add(name, relay.address);
        let config = mesh_config(name, incarnation, relay.address, list, settings);
        let (handle, inbound) = Mesh::start(config, listener);
        Ok(Self {
            name: name.to_string(),
            handle,
            inbound,
            relay,
        })
    }

    /// Starts `count` instances named `entry-0` and so on.
    ///
    /// # Errors
    ///
    /// Any error of binding a loopback address.
    pub async fn start_all(
        count: usize,
        list: &MemoryList,
        settings: MeshSettings,
    ) -> std::io::Result<Vec<Self>> {
        let mut nodes = Vec::new();
        for i in 0..count {
            nodes.push(Self::start(&format!("entry-{i}"), 1, list, settings).await?);
        }
        Ok(nodes)
    }

    /// Names of the live instances as this one sees them, joined by spaces.
    #[must_use]
    pub fn sees(&self) -> String {
        let members = self.handle.members();
        let names: Vec<String> = members.borrow().keys().cloned().collect();
        names.join(" ")
    }
}

/// Waits until a condition holds; answers whether it did within the limit.
pub async fn until(limit: Duration, mut holds: impl FnMut() -> bool) -> bool {
    let end = tokio::time::Instant::now() + limit;
    while !holds() {
        if tokio::time::Instant::now() > end {
            return false;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    true
}
