//! A session, which runs the machine on one connection and passes each update to the feed.

use crate::call::{CallStream, Connection};
use crate::error::SessionError;
use crate::machine::{Key, KeyChange, KeyValuePair, ListSnapshot, PAGE_KEYS, Step, Transition, Update};
use crate::source::EtcdSource;
use chalkwalk_etcd_wire::{api, path};
use chalkwalk_membership::ListEntry;
use chalkwalk_membership::format::parse_endpoint;
use chalkwalk_membership::reconcile::{EndpointChange, RevisionedChange};
use chalkwalk_sockets::with_timeout;
use std::time::{Duration, Instant};

/// Interval of the progress requests on a watch.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);
/// Time without a response after which a watch counts as lost: two and a half progress intervals.
/// It is checked before each progress request. As these are a second apart, a watch is lost 3 s
/// after its last response, and the next endpoint has 3 s to report the changes that were missed.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(2500);

/// An open watch.
struct Watch {
    stream: CallStream,
    last_response: Instant,
    last_progress_request: Instant,
}

impl Watch {
    fn request_progress(&mut self) -> Result<(), SessionError> {
        let request = api::watch_request::RequestUnion::ProgressRequest(api::WatchProgressRequest {});
        self.stream.send(&api::WatchRequest { request_union: Some(request) }, false)?;
        self.last_progress_request = Instant::now();
        Ok(())
    }

    /// Whether no response came for too long although progress was requested since the last one.
    /// Without the second condition, a process that was suspended would find its watch silent. With
    /// it, the process first reads the responses that arrived meanwhile and requests progress
    /// again.
    fn is_silent(&self) -> bool {
        let timed_out = self.last_response + SILENCE_TIMEOUT < Instant::now();
        timed_out && self.last_progress_request > self.last_response
    }
}

impl EtcdSource {
    /// Runs a session on a connection until the session fails, and returns the error.
    pub(crate) async fn run_session(&self, connection: &Connection) -> SessionError {
        let maintain_announcement = async {
            if let Some(announcement) = &self.announcement
                && let Err(error) = announcement.maintain(connection).await
            {
                return error;
            }
            std::future::pending().await
        };
        smol::future::or(self.follow_list(connection), maintain_announcement).await
    }

    async fn follow_list(&self, connection: &Connection) -> SessionError {
        let mut watch = None;
        let mut step = self.machine.borrow_mut().connected();
        loop {
            match self.run_step(connection, step, &mut watch).await {
                Ok(next) => step = next,
                Err(error) => return error,
            }
        }
    }

    async fn run_step(
        &self,
        connection: &Connection,
        step: Step,
        watch: &mut Option<Watch>,
    ) -> Result<Step, SessionError> {
        match step {
            Step::ReadPage { start_key, revision } => self.read_page(connection, start_key, revision).await,
            Step::OpenWatch { start_revision } => {
                *watch = Some(self.open_watch(connection, start_revision).await?);
                Ok(Step::AwaitResponse)
            }
            Step::AwaitResponse => self.await_response(watch.as_mut().ok_or(SessionError::NoWatch)?).await,
        }
    }

    async fn read_page(
        &self,
        connection: &Connection,
        start_key: Vec<u8>,
        revision: i64,
    ) -> Result<Step, SessionError> {
        let range = self.machine.borrow().range();
        let request = api::RangeRequest {
            key: start_key.into(),
            range_end: range.end.into(),
            limit: PAGE_KEYS,
            revision,
            // A linearizable read, confirmed by a majority: an endpoint that lags behind does not
            // answer from its own state.
            serializable: false,
        };
        let page = connection.call(path::RANGE, &request).await?;
        let transition = self.machine.borrow_mut().page_received(page)?;
        self.apply(transition)
    }

    async fn open_watch(&self, connection: &Connection, first_revision: i64) -> Result<Watch, SessionError> {
        let range = self.machine.borrow().range();
        let create = api::WatchCreateRequest {
            key: range.start.into(),
            range_end: range.end.into(),
            start_revision: first_revision,
            progress_notify: true,
            watch_id: 0,
            fragment: true,
        };
        let mut stream = connection.open_stream(path::WATCH).await?;
        let create = api::watch_request::RequestUnion::CreateRequest(create);
        stream.send(&api::WatchRequest { request_union: Some(create) }, false)?;
        let now = Instant::now();
        Ok(Watch { stream, last_response: now, last_progress_request: now })
    }

    async fn await_response(&self, watch: &mut Watch) -> Result<Step, SessionError> {
        let request_due = watch.last_progress_request + PROGRESS_INTERVAL;
        let wait = request_due.saturating_duration_since(Instant::now());
        if let Some(response) = with_timeout(wait, watch.stream.next::<api::WatchResponse>()).await {
            let response = response?.ok_or(SessionError::WatchEnded)?;
            watch.last_response = Instant::now();
            let transition = self.machine.borrow_mut().watch_response(response)?;
            return self.apply(transition);
        }
        if watch.is_silent() {
            return Err(SessionError::WatchSilent);
        }
        watch.request_progress()?;
        Ok(Step::AwaitResponse)
    }

    /// Passes the update to the feed, and returns the next step.
    fn apply(&self, transition: Transition) -> Result<Step, SessionError> {
        match transition.update {
            Update::Nothing => {}
            Update::Progress { revision } => {
                self.feed.advance_to(revision);
                self.report_proxy_count();
            }
            Update::List(list) => self.apply_list(list)?,
            Update::Changes(changes) => self.apply_changes(changes),
        }
        Ok(transition.next)
    }

    fn apply_list(&self, list: ListSnapshot) -> Result<(), SessionError> {
        if list.cluster_changed {
            self.feed.history_changed();
        }
        self.live_proxies.borrow_mut().clear();
        let entries = self.parse_entries(list.pairs);
        self.feed.apply_list(list.revision, entries)?;
        self.machine.borrow_mut().list_accepted(list.revision);
        self.report_proxy_count();
        Ok(())
    }

    fn parse_entries(&self, pairs: Vec<KeyValuePair>) -> Vec<ListEntry> {
        let known_endpoints = self.feed.endpoints();
        let mut entries = Vec::new();
        for KeyValuePair { key, value } in pairs {
            match key {
                Key::Endpoint(id) => match parse_endpoint(&id, &value, &self.feed.allowed_names) {
                    Ok(entry) => entries.push(entry),
                    Err(error) => {
                        self.feed.reject(&error.to_string());
                        // A value that can't be parsed changes nothing: the endpoint stays as it
                        // was.
                        let previous_entry = known_endpoints.iter().find(|endpoint| endpoint.id == id);
                        entries.extend(previous_entry.cloned().map(ListEntry::from));
                    }
                },
                Key::Proxy(name) => self.update_proxy(name, Some(&value)),
            }
        }
        entries
    }

    fn apply_changes(&self, changes: Vec<KeyChange>) {
        let changes: Vec<RevisionedChange> =
            changes.into_iter().filter_map(|change| self.parse_change(change)).collect();
        if !changes.is_empty() {
            self.feed.apply_changes(changes);
        }
        self.report_proxy_count();
    }

    /// The change to an endpoint. `None` if the value can't be parsed, or if the key is a proxy's,
    /// which is then updated.
    fn parse_change(&self, KeyChange { revision, key, value }: KeyChange) -> Option<RevisionedChange> {
        let id = match key {
            Key::Endpoint(id) => id,
            Key::Proxy(name) => {
                self.update_proxy(name, value.as_deref());
                return None;
            }
        };
        let Some(value) = value else {
            return Some(RevisionedChange { revision, change: EndpointChange::Removed(id) });
        };
        match parse_endpoint(&id, &value, &self.feed.allowed_names) {
            Ok(entry) => Some(RevisionedChange { revision, change: EndpointChange::Put(entry) }),
            Err(error) => {
                self.feed.reject(&error.to_string());
                None
            }
        }
    }

    /// Records that a proxy's key was written, or deleted if `value` is `None`.
    fn update_proxy(&self, name: String, value: Option<&[u8]>) {
        if let Err(error) = self.live_proxies.borrow_mut().update(name.clone(), value) {
            self.feed.reject(&format!("proxy {name}: {error}"));
        }
    }

    fn report_proxy_count(&self) {
        if self.announcement.is_some() {
            // This proxy counts even if its key is not written yet.
            self.feed.observe_proxies(self.live_proxies.borrow().count().max(1));
        }
    }
}
