//! The log on standard error, as plain text or as one JSON object per line. docs/oncall.md lists
//! its fields.

use slog::{Drain, FnValue, Logger, PushFnValue, o};
use std::io::stderr;
use std::time::{SystemTime, UNIX_EPOCH};

/// The maximum number of lines that wait to be written. Further lines are dropped, and the log
/// reports how many.
const MAX_QUEUED_LINES: usize = 256;

/// How log lines are written.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LogFormat {
    Plain,
    Json,
}

type LineDrain = Box<dyn Drain<Ok = (), Err = slog::Never> + Send>;

/// Creates the logger of the proxy with this name. Dropping the guard writes the queued lines.
pub fn logger(proxy: &str, format: LogFormat) -> (Logger, slog_async::AsyncGuard) {
    let lines = match format {
        LogFormat::Plain => plain_lines(),
        LogFormat::Json => json_lines(),
    };
    let (drain, guard) = slog_async::Async::new(lines)
        .chan_size(MAX_QUEUED_LINES)
        .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
        .build_with_guard();
    (Logger::root(drain.fuse(), o!("proxy" => proxy.to_string())), guard)
}

fn plain_lines() -> LineDrain {
    let decorator = slog_term::PlainDecorator::new(stderr());
    Box::new(slog_term::FullFormat::new(decorator).build().fuse())
}

fn json_lines() -> LineDrain {
    let fields = o!(
        "event" => PushFnValue(|record, serializer| serializer.emit(record.msg())),
        "level" => FnValue(|record| record.level().as_short_str()),
        "at_ms" => FnValue(|_| {
            let unix = SystemTime::now().duration_since(UNIX_EPOCH);
            unix.map_or(0, |unix| unix.as_millis() as u64)
        }),
    );
    Box::new(slog_json::Json::new(stderr()).add_key_value(fields).build().fuse())
}
