//! Fields of the wire in the balancer's types.

use chalkwalk_balancer::{AttemptOutcome, EndpointStatus};
use chalkwalk_settings::fields::{FieldResult, JsonObject, integer, integer_or, list, object, text};
use chalkwalk_time::{Span, Timestamp};

/// The wire counts nanoseconds, the balancer tenths of a millisecond.
pub const NANOSECONDS_PER_TICK: u64 = 100_000;

/// What an answer says of where its value came from, in the field `info`.
const FROM_CACHE: u64 = 1;
const BY_FETCH: u64 = 2;

/// A moment in a field.
pub fn timestamp(from: &JsonObject, field: &str) -> FieldResult<Timestamp> {
    Ok(Timestamp::from_ticks(integer(from, field)? / NANOSECONDS_PER_TICK))
}

/// A length of time in a field.
pub fn span(from: &JsonObject, field: &str) -> FieldResult<Span> {
    Ok(Span::from_ticks(integer(from, field)? / NANOSECONDS_PER_TICK))
}

/// The index of a name among those of the settings.
pub fn index_in(names: &[String], name: &str, field: &str, what: &str) -> FieldResult<usize> {
    let unknown = || format!("field {field}: expected a {what} named in the settings, got \"{name}\"").into();
    names.iter().position(|known| known == name).ok_or_else(unknown)
}

/// How an attempt or a health check ended, by the field `reason`.
pub fn outcome(event: &JsonObject) -> FieldResult<AttemptOutcome> {
    Ok(match text(event, "reason")? {
        "done" => AttemptOutcome::Completed,
        "enoent" => AttemptOutcome::CacheMiss,
        "err" => AttemptOutcome::ServerError,
        "busy" => AttemptOutcome::Overloaded,
        "etimedout" => AttemptOutcome::TimedOut,
        "econnrefused" => AttemptOutcome::Unreachable,
        "econnreset" => AttemptOutcome::ConnectionLost,
        "ecanceled" => AttemptOutcome::Cancelled,
        "skipped" => AttemptOutcome::NotSent,
        other => return Err(format!("field reason: expected an outcome code, got \"{other}\"").into()),
    })
}

/// An outcome with what the answer says of where its value came from.
pub fn with_source(outcome: AttemptOutcome, event: &JsonObject) -> FieldResult<AttemptOutcome> {
    Ok(match (outcome, integer_or(event, "info", 0)?) {
        (AttemptOutcome::Completed, FROM_CACHE) => AttemptOutcome::CompletedFromCache,
        (AttemptOutcome::Completed, BY_FETCH) => AttemptOutcome::CompletedByFetch,
        (outcome, _) => outcome,
    })
}

/// A server's status, by the field `state`.
pub fn status(entry: &JsonObject) -> FieldResult<EndpointStatus> {
    match text(entry, "state")? {
        "in_service" => Ok(EndpointStatus::Ready),
        "terminating" => Ok(EndpointStatus::Draining),
        "terminated" => Ok(EndpointStatus::Gone),
        other => Err(format!("field state: expected a state of a cache node, got \"{other}\"").into()),
    }
}

/// The entries of a list, checked before any instance acts on them.
pub fn list_entries(inventory: &JsonObject) -> FieldResult<Vec<JsonObject>> {
    list(inventory, "entries")?.iter().map(|value| checked_entry(object(value, "field entries")?)).collect()
}

fn checked_entry(entry: &JsonObject) -> FieldResult<JsonObject> {
    for name in ["node", "dc", "model"] {
        text(entry, name)?;
    }
    status(entry)?;
    integer_or(entry, "cluster", 0)?;
    integer_or(entry, "bornNs", 0)?;
    Ok(entry.clone())
}
