//! Parses an endpoint list from JSON and applies it to the engine.

use crate::address::parse_address;
use chalkwalk_balancer::EndpointStatus;
use chalkwalk_engine::api;
use chalkwalk_engine::engine::Engine;
use chalkwalk_engine::servers::ListedEndpoint;
use chalkwalk_settings::fields::{
    FieldError, FieldResult, JsonObject, flag, integer, integer_or, list, object, size_hundredths, text,
    text_or,
};
use chalkwalk_time::{Span, Timestamp};
use serde_json::Value;
use slog::warn;
use std::rc::Rc;

/// Why a response was not applied.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ListResponseError {
    #[error("the response is not valid JSON: {0}")]
    NotJson(#[from] serde_json::Error),
    #[error(transparent)]
    Field(#[from] FieldError),
    #[error("outdated list: version {version} is older than the current version {current}")]
    Outdated { version: u64, current: u64 },
}

/// A response of the discovery service, parsed as JSON.
pub(crate) struct ListResponse {
    json: Value,
}

impl ListResponse {
    /// Parses the body of a response as a JSON object. Its fields are checked when they are used.
    pub fn parse(body: &[u8]) -> Result<ListResponse, ListResponseError> {
        let response = ListResponse { json: serde_json::from_slice(body)? };
        response.fields()?;
        Ok(response)
    }

    fn fields(&self) -> FieldResult<&JsonObject> {
        object(&self.json, "the list")
    }

    pub fn version(&self) -> FieldResult<u64> {
        integer(self.fields()?, "version")
    }

    /// Applies the full list, or the changes since the requested version. If it is untrusted, it
    /// does not return servers to service.
    pub fn apply(&self, engine: &Rc<Engine>, untrusted: bool) -> FieldResult<()> {
        let fields = self.fields()?;
        let coverage = if flag(fields, "full")? { Coverage::Full } else { Coverage::Incremental };
        apply(engine, fields, coverage, untrusted)
    }

    /// Applies only the servers in the response that are draining or gone.
    pub fn apply_unavailable(&self, engine: &Rc<Engine>) -> FieldResult<()> {
        let entries = list(self.fields()?, "servers")?;
        let endpoints: Vec<ListedEndpoint> = entries.iter().flat_map(parse_endpoint).collect();
        apply_unavailable(engine, endpoints.iter());
        Ok(())
    }
}

#[derive(Clone, Copy, PartialEq)]
enum Coverage {
    Full,
    Incremental,
}

/// Applies the last known list from the proxy's configuration. Returns the version of the list if
/// it names any server.
pub fn apply_last_known_list(engine: &Rc<Engine>, last_known: &Value) -> Option<u64> {
    let fields = last_known.as_object()?;
    let applied = apply(engine, fields, Coverage::Full, false);
    match applied.and_then(|()| integer(fields, "version")) {
        Ok(version) => {
            let has_servers = list(fields, "servers").is_ok_and(|entries| !entries.is_empty());
            has_servers.then_some(version)
        }
        Err(error) => {
            warn!(engine.log, "last known list ignored"; "fault" => %error);
            None
        }
    }
}

/// Applies a list. If any entry is invalid, only the servers that are draining or gone are applied,
/// and the error is returned.
fn apply(engine: &Rc<Engine>, fields: &JsonObject, coverage: Coverage, untrusted: bool) -> FieldResult<()> {
    let entries: Vec<FieldResult<ListedEndpoint>> =
        list(fields, "servers")?.iter().map(parse_endpoint).collect();
    if entries.iter().any(Result::is_err) {
        apply_unavailable(engine, entries.iter().flatten());
    }
    let endpoints = entries.into_iter().collect::<FieldResult<Vec<_>>>()?;
    api::apply_endpoint_list(engine, &endpoints, coverage == Coverage::Full, untrusted);
    if engine.requests.borrow().has_no_ready_server() {
        warn!(engine.log, "no server ready in the endpoint list"; "lines" => endpoints.len());
    }
    Ok(())
}

/// Applies, from a list that is otherwise not trusted, the servers that are draining or gone and
/// were in service so far. These changes were notified, so they are valid until the next trusted
/// list replaces them. A server that is known to have restarted since the list is left out.
fn apply_unavailable<'a>(engine: &Rc<Engine>, endpoints: impl Iterator<Item = &'a ListedEndpoint>) {
    let is_newly_unavailable = |endpoint: &&ListedEndpoint| {
        endpoint.status != EndpointStatus::Ready && engine.requests.borrow().servers.is_ready(endpoint)
    };
    let unavailable: Vec<ListedEndpoint> = endpoints.filter(is_newly_unavailable).cloned().collect();
    if !unavailable.is_empty() {
        api::apply_endpoint_list(engine, &unavailable, false, false);
    }
}

fn parse_endpoint(entry: &Value) -> FieldResult<ListedEndpoint> {
    let fields = object(entry, "field servers")?;
    let owned_text = |name: &str| text(fields, name).map(str::to_string);
    Ok(ListedEndpoint {
        id: owned_text("id")?,
        address: parse_address(text(fields, "addr")?, "field addr")?,
        zone: owned_text("zone")?,
        kind: text_or(fields, "kind", "")?.to_string(),
        cell: integer_or(fields, "cell", 0)?,
        weight_hundredths: size_hundredths(fields, "weight")?,
        status: parse_status(text(fields, "state")?),
        started_at: Timestamp::ZERO + Span::from_millis(integer_or(fields, "started_ms", 0)?),
    })
}

/// A server in an unknown state counts as draining and gets no requests.
fn parse_status(state: &str) -> EndpointStatus {
    match state {
        "SERVING" => EndpointStatus::Ready,
        "DELETED" => EndpointStatus::Gone,
        _ => EndpointStatus::Draining,
    }
}
