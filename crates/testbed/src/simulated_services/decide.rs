//! Decides the outcome of an attempt: asks the models, and records the effects of their answer.

use super::{MissedServer, RunningServer, SimulatedServices, TagKey};
use crate::clock::{MILLISECOND, Micros, micros_from_seconds};
use crate::evidence::{ClientRequest, EventKind, RequestId};
use crate::experiment::{DedupGroup, Protocol, Repeats, RequestClass};
use crate::model::server::{AttemptInput, PlannedReply, Reply, ServerModel};
use crate::sync::lock;

/// Maximum number of servers that store the origin's response: the first ones that missed for the
/// request.
const MAX_STORE_COPIES: usize = 2;
/// Maximum number of remembered tags. A repeat of a tagged request is recognised by its tag within
/// the class's window; expired tags are dropped once this number is reached.
const MAX_TAGS: usize = 1 << 16;

/// An attempt that was received completely.
pub(super) struct Attempt<'a> {
    /// The index of the server; the origin's index is the one after the last server's.
    pub server: usize,
    pub proxy: usize,
    pub now: Micros,
    pub id: RequestId,
    pub request: &'a ClientRequest,
    pub is_write: bool,
    /// The tag by which servers recognise a repeat of the request.
    pub tag: Option<&'a [u8]>,
}

impl SimulatedServices {
    /// Decides the outcome of an attempt with the models, and records its effects.
    pub(super) fn decide(&self, attempt: &Attempt) -> PlannedReply {
        let class = &self.experiment.classes[attempt.request.class_index];
        // The order of these calls matters: each draws from the run's random number generator.
        let input = AttemptInput {
            key: attempt.request.key,
            is_write: attempt.is_write,
            work: self.draw_work(class.work_ms),
            sample: self.draw_sample(),
        };
        let origin_fails = self.timelines.origin_fails(attempt.now, self.draw_sample());
        let plan = if attempt.server == self.origin_index() {
            self.decide_at_origin(attempt.now, origin_fails)
        } else {
            self.decide_at_server(attempt, input, origin_fails)
        };
        let server = attempt.server as u16;
        if plan.collapses {
            self.recorder.record(attempt.id, attempt.proxy, EventKind::ServerCollapsed { server });
        }
        let has_effect = plan.takes_effect && class.repeats() != Repeats::Replayable;
        if has_effect && !self.drops_repeat(attempt, class) {
            self.recorder.record(attempt.id, attempt.proxy, EventKind::EffectApplied { server });
        }
        plan
    }

    /// When the origin has processed a request that is sent to it at `sent_at`; `None` if it fails
    /// or rejects it.
    fn fetch(&self, sent_at: Micros, origin_fails: bool) -> Option<Micros> {
        if origin_fails {
            return None;
        }
        if self.experiment.fleet.protocol() == Protocol::Resp {
            return Some(sent_at);
        }
        let work = self.draw_work(self.experiment.world.origin_ms);
        lock(&self.origin).handle(sent_at, work, &self.timelines.origin)
    }

    fn decide_at_origin(&self, now: Micros, origin_fails: bool) -> PlannedReply {
        match self.fetch(now, origin_fails) {
            Some(at) => PlannedReply { takes_effect: true, ..PlannedReply::no_effect(Reply::Fetched, at) },
            // The caller cannot learn whether the effect was applied. In the model, it was not.
            None if origin_fails => PlannedReply::no_effect(Reply::Error, now + MILLISECOND),
            None => PlannedReply::no_effect(Reply::Unprocessed, now),
        }
    }

    fn decide_at_server(&self, attempt: &Attempt, input: AttemptInput, origin_fails: bool) -> PlannedReply {
        let timeline = &self.timelines.servers[attempt.server];
        let mut running = lock(&self.servers[attempt.server]);
        // A new process starts with nothing of the previous one's state.
        let incarnation = timeline.incarnation_at(attempt.now).unwrap_or(running.incarnation);
        if incarnation != running.incarnation {
            let started_at = timeline.incarnations[incarnation].started_at;
            *running = RunningServer { incarnation, model: ServerModel::new(self.spec.clone(), started_at) };
        }
        let fetch = |sent_at| self.fetch(sent_at, origin_fails);
        let plan = running.model.handle(attempt.now, input, timeline, fetch);
        if plan.reply == Reply::Miss && !attempt.is_write {
            let missed = MissedServer { server: attempt.server, incarnation };
            lock(&self.missed_servers).entry(attempt.id).or_default().push(missed);
        }
        plan
    }

    /// Whether this is a repeat of a tagged request that the server's deduplication group drops.
    fn drops_repeat(&self, attempt: &Attempt, class: &RequestClass) -> bool {
        let Some(tag) = attempt.tag.filter(|_| class.repeats() == Repeats::Tagged) else {
            return false;
        };
        let group = match class.dedup_group() {
            DedupGroup::All => 0,
            DedupGroup::Zone => (attempt.server % self.zones()) as u64,
            DedupGroup::Cell => self.experiment.cell_of(attempt.server),
        };
        let (now, window) = (attempt.now, micros_from_seconds(class.window_ms / 1e3));
        let mut tagged_effects = lock(&self.tagged_effects);
        if tagged_effects.len() >= MAX_TAGS {
            tagged_effects.retain(|_, applied_at| now < *applied_at + window);
        }
        let key = TagKey { tag: tag.to_vec(), group };
        if tagged_effects.get(&key).is_some_and(|applied_at| now < *applied_at + window) {
            return true;
        }
        tagged_effects.insert(key, now);
        false
    }

    /// Called when the origin answers a request: stores the value on servers that missed for it; a
    /// write removes the key from all servers instead.
    pub(super) fn store_fetched(&self, id: RequestId, request: &ClientRequest) {
        let missed = lock(&self.missed_servers).remove(&id).unwrap_or_default();
        if self.experiment.classes[request.class_index].write {
            for server in &self.servers {
                lock(server).model.remove(request.key);
            }
            return;
        }
        for missed in missed.into_iter().take(MAX_STORE_COPIES) {
            let mut running = lock(&self.servers[missed.server]);
            if running.incarnation == missed.incarnation {
                running.model.store(request.key);
            }
        }
    }
}
