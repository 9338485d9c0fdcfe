//! Dialing of peers, accepting of their connections, and the handshake of both.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{sleep, timeout};
use xtra::WeakAddress;

use super::codec::{Frames, LENGTH_PREFIX_BYTES, decode, encode, frames};
use super::mesh::Mesh;
use super::message::{Body, Frame, Hello, PROTOCOL_VERSION};
use super::traffic::Traffic;

/// Time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time limit for the exchange of the hello messages.
const HELLO_TIMEOUT: Duration = Duration::from_secs(2);

/// Most concurrent handshakes of accepted connections.
const MAX_HANDSHAKES: usize = 64;

/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Why a peer could not be dialed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum DialError {
    /// No process listens at the address, or another instance answers there.
    Refused,
    /// No connection or no valid hello in time.
    NoAnswer,
}

/// Outcome of a dial.
#[derive(Debug)]
pub(super) struct Dialed {
    pub(super) peer: String,
    pub(super) result: Result<(Frames, Hello), DialError>,
}

/// An accepted connection whose peer has sent its hello.
#[derive(Debug)]
pub(super) struct Accepted {
    pub(super) frames: Frames,
    pub(super) hello: Hello,
}

/// Opens a connection, exchanges hello messages and reports the result to the mesh.
pub(super) async fn dial(
    peer: String,
    address: SocketAddr,
    hello: Hello,
    mesh: WeakAddress<Mesh>,
    traffic: Traffic,
) {
    let result = connect(address, hello, &traffic).await;
    drop(mesh.send(Dialed { peer, result }).detach().await);
}

async fn connect(
    address: SocketAddr,
    hello: Hello,
    traffic: &Traffic,
) -> Result<(Frames, Hello), DialError> {
    let stream = match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) if error.kind() == std::io::ErrorKind::ConnectionRefused => {
            return Err(DialError::Refused);
        }
        Ok(Err(_)) | Err(_) => return Err(DialError::NoAnswer),
    };
    let mut frames = framed(stream).ok_or(DialError::NoAnswer)?;
    let bytes = encode(&Frame::from(Body::Hello(hello)));
    traffic.record_sent(bytes.len() + LENGTH_PREFIX_BYTES);
    let handshake = async {
        frames.send(bytes).await.ok()?;
        read_hello(&mut frames, traffic).await
    };
    let hello = timeout(HELLO_TIMEOUT, handshake).await.unwrap_or_default();
    hello
        .map(|hello| (frames, hello))
        .ok_or(DialError::NoAnswer)
}

/// Accepts connections from peers until the task is aborted.
pub(super) async fn accept(listener: TcpListener, mesh: WeakAddress<Mesh>, traffic: Traffic) {
    let slots = Arc::new(Semaphore::new(MAX_HANDSHAKES));
    loop {
        let Ok(slot) = Arc::clone(&slots).acquire_owned().await else {
            return;
        };
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(accept_handshake(
                    stream,
                    mesh.clone(),
                    traffic.clone(),
                    slot,
                ));
            }
            Err(error) => {
                log::warn!("cannot accept a peer's connection: {error}");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn accept_handshake(
    stream: TcpStream,
    mesh: WeakAddress<Mesh>,
    traffic: Traffic,
    slot: OwnedSemaphorePermit,
) {
    let Some(mut frames) = framed(stream) else {
        return;
    };
    let hello = timeout(HELLO_TIMEOUT, read_hello(&mut frames, &traffic)).await;
    drop(slot);
    if let Ok(Some(hello)) = hello {
        drop(mesh.send(Accepted { frames, hello }).detach().await);
    }
}

fn framed(stream: TcpStream) -> Option<Frames> {
    stream.set_nodelay(true).ok()?;
    Some(frames(stream))
}

async fn read_hello(frames: &mut Frames, traffic: &Traffic) -> Option<Hello> {
    let bytes = frames.next().await?.ok()?;
    traffic.record_received(bytes.len() + LENGTH_PREFIX_BYTES);
    match decode(bytes)?.body? {
        Body::Hello(hello) if hello.protocol == PROTOCOL_VERSION => Some(hello),
        _ => None,
    }
}
