//! Converts fields of the simulator's protocol to the balancer's types.

use chalkwalk_balancer::{AttemptOutcome, EndpointStatus};
use chalkwalk_settings::fields::{FieldResult, JsonObject, integer, integer_or, list, object, text};
use chalkwalk_time::{Span, Timestamp};

/// The protocol counts time in nanoseconds, the balancer in ticks of 0.1 ms.
pub const NANOSECONDS_PER_TICK: u64 = 100_000;

/// Values of the field `info`, which says where the value in a server's response came from.
const INFO_FROM_CACHE: u64 = 1;
const INFO_BY_FETCH: u64 = 2;

/// Reads a point in time from a field in nanoseconds.
pub fn timestamp(json_object: &JsonObject, field: &str) -> FieldResult<Timestamp> {
    Ok(Timestamp::from_ticks(integer(json_object, field)? / NANOSECONDS_PER_TICK))
}

/// Reads a duration from a field in nanoseconds.
pub fn span(json_object: &JsonObject, field: &str) -> FieldResult<Span> {
    Ok(Span::from_ticks(integer(json_object, field)? / NANOSECONDS_PER_TICK))
}

/// Returns the index of a name in a list of the settings. `entry_kind` names the kind of list entry
/// in the error.
pub fn index_in(names: &[String], name: &str, field: &str, entry_kind: &str) -> FieldResult<usize> {
    let unknown =
        || format!("field {field}: expected a {entry_kind} named in the settings, got \"{name}\"").into();
    names.iter().position(|known| known == name).ok_or_else(unknown)
}

/// Reads the outcome of an attempt or a health check from the field `reason`.
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

/// Refines the outcome of a completed attempt by where the value came from, as the field `info`
/// says.
pub fn with_source(outcome: AttemptOutcome, event: &JsonObject) -> FieldResult<AttemptOutcome> {
    Ok(match (outcome, integer_or(event, "info", 0)?) {
        (AttemptOutcome::Completed, INFO_FROM_CACHE) => AttemptOutcome::CompletedFromCache,
        (AttemptOutcome::Completed, INFO_BY_FETCH) => AttemptOutcome::CompletedByFetch,
        (outcome, _) => outcome,
    })
}

/// Reads a server's status from the field `state`.
pub fn status(entry: &JsonObject) -> FieldResult<EndpointStatus> {
    match text(entry, "state")? {
        "in_service" => Ok(EndpointStatus::Ready),
        "terminating" => Ok(EndpointStatus::Draining),
        "terminated" => Ok(EndpointStatus::Gone),
        other => Err(format!("field state: expected a known server state, got \"{other}\"").into()),
    }
}

/// Reads the entries of an endpoint list, and checks their fields before any instance uses them.
pub fn list_entries(inventory: &JsonObject) -> FieldResult<Vec<JsonObject>> {
    list(inventory, "entries")?.iter().map(|value| checked_entry(object(value, "field entries")?)).collect()
}

fn checked_entry(entry: &JsonObject) -> FieldResult<JsonObject> {
    for field in ["node", "dc", "model"] {
        text(entry, field)?;
    }
    status(entry)?;
    integer_or(entry, "cluster", 0)?;
    integer_or(entry, "bornNs", 0)?;
    Ok(entry.clone())
}
