//! The content of an endpoint list, read from JSON and applied to the engine.

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

/// Why an answer was not applied.
#[derive(Debug, thiserror::Error)]
pub(crate) enum AnswerError {
    #[error("no JSON: {0}")]
    NotJson(#[from] serde_json::Error),
    #[error(transparent)]
    Field(#[from] FieldError),
    #[error("an old list, {version} after {present}")]
    Outdated { version: u64, present: u64 },
}

/// An answer of the discovery service, read as JSON.
pub(crate) struct ListAnswer {
    json: Value,
}

impl ListAnswer {
    pub fn parse(body: &[u8]) -> Result<ListAnswer, AnswerError> {
        let answer = ListAnswer { json: serde_json::from_slice(body)? };
        answer.fields()?;
        Ok(answer)
    }

    fn fields(&self) -> FieldResult<&JsonObject> {
        object(&self.json, "the list")
    }

    pub fn version(&self) -> FieldResult<u64> {
        integer(self.fields()?, "version")
    }

    /// Applies the whole list, or the changes since the version that was requested. A doubted one
    /// brings no server back.
    pub fn apply(&self, engine: &Rc<Engine>, doubted: bool) -> FieldResult<()> {
        let fields = self.fields()?;
        let coverage = if flag(fields, "full")? { Coverage::Whole } else { Coverage::Changes };
        apply(engine, fields, coverage, doubted)
    }

    /// Applies of the answer only which servers are draining or gone.
    pub fn apply_unavailable(&self, engine: &Rc<Engine>) -> FieldResult<()> {
        let entries = list(self.fields()?, "servers")?;
        let endpoints: Vec<ListedEndpoint> = entries.iter().flat_map(endpoint).collect();
        apply_unavailable(engine, endpoints.iter());
        Ok(())
    }
}

#[derive(Clone, Copy, PartialEq)]
enum Coverage {
    Whole,
    Changes,
}

/// Applies the list that this proxy had last, from its configuration. Returns its version, if it
/// names any server.
pub fn apply_last_known_list(engine: &Rc<Engine>, last_known: &Value) -> Option<u64> {
    let fields = last_known.as_object()?;
    let applied = apply(engine, fields, Coverage::Whole, false);
    match applied.and_then(|()| integer(fields, "version")) {
        Ok(version) => {
            let names_servers = list(fields, "servers").is_ok_and(|entries| !entries.is_empty());
            names_servers.then_some(version)
        }
        Err(error) => {
            warn!(engine.log, "last known list ignored"; "fault" => %error);
            None
        }
    }
}

/// Applies a list. Of one with an entry that can't be read, only which servers are draining or
/// gone.
fn apply(engine: &Rc<Engine>, fields: &JsonObject, coverage: Coverage, doubted: bool) -> FieldResult<()> {
    let entries: Vec<FieldResult<ListedEndpoint>> = list(fields, "servers")?.iter().map(endpoint).collect();
    if entries.iter().any(Result::is_err) {
        apply_unavailable(engine, entries.iter().flatten());
    }
    let endpoints = entries.into_iter().collect::<FieldResult<Vec<_>>>()?;
    api::apply_endpoint_list(engine, &endpoints, coverage == Coverage::Whole, doubted);
    if engine.requests.borrow().no_server_ready() {
        warn!(engine.log, "no server ready in the endpoint list"; "lines" => endpoints.len());
    }
    Ok(())
}

/// Applies of a list that is not believed otherwise which servers are draining or gone, where that
/// is new: it was notified, and the next list that is believed decides. Not of a server that has
/// started since.
fn apply_unavailable<'a>(engine: &Rc<Engine>, endpoints: impl Iterator<Item = &'a ListedEndpoint>) {
    let is_new = |endpoint: &&ListedEndpoint| {
        endpoint.status != EndpointStatus::Ready && engine.requests.borrow().servers.is_ready(endpoint)
    };
    let unavailable: Vec<ListedEndpoint> = endpoints.filter(is_new).cloned().collect();
    if !unavailable.is_empty() {
        api::apply_endpoint_list(engine, &unavailable, false, false);
    }
}

fn endpoint(entry: &Value) -> FieldResult<ListedEndpoint> {
    let fields = object(entry, "field servers")?;
    let owned_text = |name: &str| text(fields, name).map(str::to_string);
    Ok(ListedEndpoint {
        id: owned_text("id")?,
        addr: parse_address(text(fields, "addr")?, "field addr")?,
        zone: owned_text("zone")?,
        kind: text_or(fields, "kind", "")?.to_string(),
        cell: integer_or(fields, "cell", 0)?,
        size: size_hundredths(fields, "weight")?,
        status: status(text(fields, "state")?),
        born: Timestamp::ZERO + Span::from_millis(integer_or(fields, "started_ms", 0)?),
    })
}

/// In a state that this proxy does not know a server gets no requests.
fn status(state: &str) -> EndpointStatus {
    match state {
        "SERVING" => EndpointStatus::Ready,
        "DELETED" => EndpointStatus::Gone,
        _ => EndpointStatus::Draining,
    }
}
