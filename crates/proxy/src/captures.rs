//! What the command line does with captures.

use chalkwalk_capture::{
    CaptureItem, Damage, Decision, Difference, Event, FILE_MARK, RecordedCall, encode_item, excerpt, read,
    replay,
};
use chalkwalk_time::{TICKS_PER_SECOND, Timestamp};
use std::fmt::Write;
use std::path::{Path, PathBuf};

/// The files that are named, or all captures of a folder, in order.
fn files(named: &[PathBuf]) -> Result<Vec<PathBuf>, String> {
    let mut files = Vec::new();
    for path in named {
        match path.is_dir() {
            true => {
                let listed = std::fs::read_dir(path).map_err(|e| format!("{}: {e}", path.display()))?;
                let of_form = |p: &PathBuf| p.extension().is_some_and(|e| e == "capture");
                files.extend(listed.flatten().map(|e| e.path()).filter(of_form));
            }
            false => files.push(path.clone()),
        }
    }
    files.sort();
    if files.is_empty() { Err("no capture named, or none there".into()) } else { Ok(files) }
}

/// A segment's file, its items, and its length.
type Segment = (PathBuf, Vec<CaptureItem>, usize);

/// Reads all of them, as far as they can be; says what is missing.
fn all(named: &[PathBuf], out: &mut String) -> Result<Vec<Segment>, String> {
    let mut segments = Vec::new();
    for path in files(named)? {
        let shown = path.display().to_string();
        let bytes = std::fs::read(&path).map_err(|e| format!("{shown}: {e}"))?;
        let found = read(&bytes).map_err(|e| format!("{shown}: {e}"))?;
        if let Some(Damage { at, error }) = found.damage {
            _ = writeln!(out, "{shown}: {error}, from byte {at} of {}", bytes.len());
        }
        segments.push((path, found.items, bytes.len()));
    }
    Ok(segments)
}

fn calls(items: &[CaptureItem]) -> impl Iterator<Item = (Timestamp, &RecordedCall)> {
    let blocks = items.iter().filter_map(|item| match item {
        CaptureItem::Calls(block) => Some(block),
        CaptureItem::Gap(_) => None,
    });
    blocks.flat_map(|block| {
        block.calls.iter().scan(block.from, |at, call| {
            *at += call.after;
            Some((*at, call))
        })
    })
}

/// A time of the clock, in seconds.
fn seconds(at: Timestamp) -> String {
    format!("{}.{:04}", at.ticks() / TICKS_PER_SECOND, at.ticks() % TICKS_PER_SECOND)
}

/// What is in each segment.
pub fn info(named: &[PathBuf]) -> Result<String, String> {
    let mut out = String::new();
    for (path, items, bytes) in all(named, &mut out)? {
        let (mut taken, mut count, mut first, mut last) = (0u64, 0u64, None, Timestamp::ZERO);
        for (at, call) in calls(&items) {
            count += 1;
            taken += u64::from(matches!(call.event, Event::RequestAccepted { .. }));
            first.get_or_insert(at);
            last = at;
        }
        let gaps = items.iter().filter(|item| matches!(item, CaptureItem::Gap(_))).count();
        _ = writeln!(
            out,
            "{}: {bytes} bytes, {count} calls, {taken} lookups ({:.1} bytes each), {gaps} gaps, from {} to {}",
            path.display(),
            bytes as f64 / taken.max(1) as f64,
            seconds(first.unwrap_or(Timestamp::ZERO)),
            seconds(Timestamp::from_ticks(last.ticks()))
        );
    }
    Ok(out)
}

/// Makes the calls again, each instance's segments by themselves. Whether all was decided alike.
pub fn again(named: &[PathBuf]) -> Result<(String, bool), String> {
    let mut out = String::new();
    let segments = all(named, &mut out)?;
    let name = |path: &Path| {
        let file = path.file_name().and_then(|f| f.to_str()).unwrap_or("");
        file.split('.').next().unwrap_or("").to_string()
    };
    let mut names: Vec<String> = segments.iter().map(|(path, ..)| name(path)).collect();
    names.dedup();
    let mut alike = true;
    for own in names {
        let items = segments.iter().filter(|(path, ..)| name(path) == own).flat_map(|(_, items, _)| items);
        let r = replay(items);
        _ = writeln!(
            out,
            "{own}: {} calls with {} decisions made again, from {} starts and {} snapshots, {} snapshots alike; {} differ, {} calls passed over, {} gaps",
            r.calls, r.decisions, r.starts, r.resumed, r.compared, r.differences, r.skipped, r.gaps
        );
        for (kind, count) in &r.difference_kinds {
            _ = writeln!(out, "  {count} times {kind}");
        }
        alike &= r.differences == 0;
        if let Some(Difference { call, at, event, recorded, replayed }) = r.first_difference {
            _ = writeln!(
                out,
                "first at call {call}, {}: told {event:?}\n  decided {recorded:?}\n  and now {replayed:?}",
                seconds(Timestamp::from_ticks(at.ticks()))
            );
        }
    }
    Ok((out, alike))
}

/// Writes the smallest capture that still shows a call, numbered from 0 over the segments of one instance that are named.
pub fn cut_to(named: &[PathBuf], call: u64, to: &Path) -> Result<String, String> {
    let mut out = String::new();
    let items: Vec<CaptureItem> = all(named, &mut out)?.into_iter().flat_map(|(_, items, _)| items).collect();
    let part = excerpt(&items, call).ok_or(format!("there is no call {call}, or no snapshot before it"))?;
    let bytes: Vec<u8> = FILE_MARK.iter().copied().chain(part.iter().flat_map(encode_item)).collect();
    std::fs::write(to, &bytes).map_err(|e| format!("{}: {e}", to.display()))?;
    _ = writeln!(out, "{}: {} bytes", to.display(), bytes.len());
    Ok(out)
}

/// All that concerns one request, in order. Requests are numbered as they are taken, from each start of the balancer.
pub fn show(named: &[PathBuf], request: u64) -> Result<String, String> {
    let mut out = String::new();
    let mut taken = 0;
    for (_, items, _) in all(named, &mut out)? {
        for (at, call) in calls(&items) {
            let this = match &call.event {
                Event::Start { .. } => {
                    taken = 0;
                    None
                }
                Event::RequestAccepted { .. } => {
                    taken += 1;
                    Some(taken - 1)
                }
                other => other.request_id(),
            };
            let concerns = |done: &&Decision| done.request_id() == Some(request);
            let done: Vec<&Decision> = call.decisions.iter().filter(concerns).collect();
            if this == Some(request) || !done.is_empty() {
                _ = writeln!(out, "{}  told {:?}", seconds(at), call.event);
                done.iter().for_each(|d| _ = writeln!(out, "{:>16}  {d:?}", ""));
            }
        }
    }
    Ok(out)
}
