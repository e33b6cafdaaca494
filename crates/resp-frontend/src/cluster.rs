//! The slot map, learned from the servers: one call at a time, of one after the other.

use crate::frontend::Frontend;
use chalkwalk_balancer::EndpointStatus;
use chalkwalk_engine::api;
use chalkwalk_engine::servers::ListedEndpoint;
use chalkwalk_resp::{FrameKind, ReadLimits, Reader, Writer};
use chalkwalk_slot_map::ClusterView;
use chalkwalk_sockets::{read_more, within, write_all};
use chalkwalk_time::Timestamp;
use slog::{info, warn};
use smol::{Async, Timer};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// For one call: a server that says nothing for so long is passed.
const CALL: Duration = Duration::from_secs(1);
/// A thousand nodes take some 200 bytes each, and their slots as many again.
const LONGEST: usize = 1 << 20;

/// The servers that are asked first are in the list from the start, where the servers' own word is it.
pub fn list_seeds(door: &Rc<Frontend>) {
    if door.lists {
        let lines: Vec<ListedEndpoint> = door.settings.seeds.iter().map(|addr| line(door, *addr)).collect();
        api::apply_endpoint_list(&door.engine, &lines, true, false);
    }
}

fn line(door: &Frontend, addr: SocketAddr) -> ListedEndpoint {
    // Where the servers stand is not theirs to say: all count as near.
    let zone = door.engine.config.zones.get(door.engine.classes.zone()).cloned().unwrap_or_default();
    let status = EndpointStatus::Ready;
    ListedEndpoint {
        id: addr.to_string(),
        addr,
        zone,
        kind: String::new(),
        cell: 0,
        size: 100,
        status,
        born: Timestamp::ZERO,
    }
}

/// Keeps the map; never ends.
pub async fn follow_slot_map(door: Rc<Frontend>) {
    let mut told = false;
    loop {
        let now = door.engine.clock.now();
        let due = door.refresh.borrow().next_due().unwrap_or(now);
        if due > now {
            let wait = Timer::at(door.engine.clock.instant(due));
            let wanted = async { _ = door.wanted.1.recv().await };
            smol::future::or(async { _ = wait.await }, wanted).await;
            continue;
        }
        let nodes = nodes(&door);
        let turn = door.refresh.borrow_mut().start(now, nodes.len());
        let Some(addr) = nodes.get(turn).copied() else {
            door.refresh.borrow_mut().finish(now, false);
            continue;
        };
        let got = within(CALL, view(addr)).await.unwrap_or_else(|| Err("no answer in time".into()));
        let taken = got.and_then(|view| {
            door.map.borrow_mut().apply_view(&view).map_err(|e| e.to_string())?;
            list(&door, &view);
            Ok(())
        });
        door.refresh.borrow_mut().finish(door.engine.clock.now(), taken.is_ok());
        match taken {
            Ok(()) if !told => {
                told = true;
                info!(door.engine.log, "slot map known"; "parts" => door.map.borrow().assignments().len());
            }
            Ok(()) => {}
            Err(fault) => warn!(door.engine.log, "slot map call failed"; "node" => %addr, "fault" => fault),
        }
    }
}

/// Whom to ask: the owners, and those that were named at first.
fn nodes(door: &Frontend) -> Vec<SocketAddr> {
    let mut nodes: Vec<SocketAddr> = door.map.borrow().assignments().iter().map(|p| p.owner).collect();
    nodes.extend(&door.settings.seeds);
    nodes.sort();
    nodes.dedup();
    nodes
}

/// Tells the engine which servers there are, where nobody else does.
fn list(door: &Rc<Frontend>, view: &ClusterView) {
    if door.lists {
        let lines: Vec<ListedEndpoint> =
            view.nodes.iter().filter(|n| !n.failed).map(|n| line(door, n.addr)).collect();
        api::apply_endpoint_list(&door.engine, &lines, true, false);
    }
}

async fn view(addr: SocketAddr) -> Result<ClusterView, String> {
    let stream = Async::<TcpStream>::connect(addr).await.map_err(|e| format!("no connection: {e}"))?;
    let mut out = Writer::default();
    out.command(&[b"CLUSTER", b"NODES"]);
    write_all(&stream, &[out.as_bytes()]).await.map_err(|e| e.to_string())?;
    let mut reader = Reader::new(ReadLimits { max_bulk: LONGEST, ..ReadLimits::default() });
    let mut buf = Vec::new();
    let frames = loop {
        if let Some((frames, _)) = reader.next_frame(&buf).map_err(|e| e.to_string())? {
            break frames;
        }
        if read_more(&stream, &mut buf).await.map_err(|e| e.to_string())? == 0 {
            return Err("it closed".into());
        }
    };
    let text = String::from_utf8_lossy(&buf[frames[0].range.clone()]);
    match frames[0].kind {
        FrameKind::Bulk | FrameKind::Verbatim => ClusterView::parse(&text, addr).map_err(|e| e.to_string()),
        _ => Err(format!("it answered {text}")),
    }
}
