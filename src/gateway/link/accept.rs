//! Links that other instances open.

use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use prost::Message;
use tokio::net::TcpListener;
use tokio::sync::{Semaphore, mpsc, watch};
use tokio::time::{sleep, timeout};

use super::super::exchange;
use super::super::orders::inbox::{DemandInbox, LinkReport};
use super::super::shared::Gateway;
use super::{
    DemandReport, FleetUpdate, HolderInfo, RETRY_DELAY, SILENCE_TIMEOUT, apply_origins,
    newer_config, send,
};
use crate::peers::codec::{Frames, accepted_frames};

/// Most links that others have opened.
const MAX_LINKS: usize = 1024;
/// Most large frames that arrive on them at a time.
const MAX_LARGE_FRAMES: usize = 8;
/// Most updates queued for a slow link.
const MAX_QUEUED_UPDATES: usize = 64;

/// Accepts links from other instances until the process exits.
pub async fn serve(
    gateway: Arc<Gateway>,
    listener: TcpListener,
    holder_info: watch::Receiver<HolderInfo>,
    inbox: Arc<DemandInbox>,
) {
    let mut link_id = 0;
    let slots = Arc::new(Semaphore::new(MAX_LINKS));
    let large = Arc::new(Semaphore::new(MAX_LARGE_FRAMES));
    loop {
        let Ok((stream, from)) = listener.accept().await else {
            sleep(RETRY_DELAY).await;
            continue;
        };
        let Ok(slot) = Arc::clone(&slots).try_acquire_owned() else {
            log::warn!(from:% = from; "too many links; closing a new one");
            continue;
        };
        link_id += 1;
        log::debug!(from:% = from, link = link_id; "link opened");
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!(error:% = error; "cannot set TCP_NODELAY on a link");
        }
        let task = serve_link(
            Arc::clone(&gateway),
            accepted_frames(stream, &large),
            holder_info.clone(),
            Arc::clone(&inbox),
            link_id,
        );
        tokio::spawn(async move {
            task.await;
            drop(slot);
        });
    }
}

async fn serve_link(
    gateway: Arc<Gateway>,
    mut link: Frames,
    holder_info: watch::Receiver<HolderInfo>,
    inbox: Arc<DemandInbox>,
    link_id: u64,
) {
    let (outgoing, mut updates) = mpsc::channel(MAX_QUEUED_UPDATES);
    loop {
        let update: Option<FleetUpdate> = tokio::select! {
            frame = timeout(SILENCE_TIMEOUT, link.next()) => {
                let Ok(Some(Ok(bytes))) = frame else { break };
                let Ok(mut report) = DemandReport::decode(bytes) else { break };
                apply_origins(&gateway, report.origins.take().as_ref());
                if let Some(told) = report.exchange {
                    if exchange::serve(&gateway, link, told).await.is_none() {
                        log::trace!(link = link_id; "exchange ended");
                    }
                    return;
                }
                let quotas = report.quotas.take();
                let room = report.room.take();
                let is_whole = quotas.as_ref().is_none_or(|q| !q.only)
                    && room.as_ref().is_none_or(|r| !r.only);
                if let Some(quotas) = quotas {
                    gateway.quotas.serve(&gateway, link_id, &report.instance, &quotas, &outgoing);
                }
                if let Some(room) = room {
                    gateway.room.serve(&gateway, link_id, &room, &outgoing);
                }
                let known = holder_info.borrow().clone();
                if !is_whole {
                    None
                } else if known.holding {
                    // The instance knew what it reports after this reading of the holder's clock.
                    gateway.record_known(Duration::from_millis(report.clock_echo));
                    inbox.report(link_id, LinkReport {
                        demand: report,
                        updates: outgoing.clone(),
                        heard_at: gateway.now(),
                    });
                    None
                } else {
                    Some(FleetUpdate {
                        holder: known.holder.map(|h| h.to_string()).unwrap_or_default(),
                        config: newer_config(&gateway, report.config_version),
                        ..FleetUpdate::default()
                    })
                }
            }
            update = updates.recv() => update,
        };
        if let Some(update) = update
            && send(&mut link, &update).await.is_none()
        {
            break;
        }
    }
    inbox.close(link_id);
    gateway.quotas.close(link_id, gateway.now());
    gateway.room.close(link_id, gateway.now());
}
