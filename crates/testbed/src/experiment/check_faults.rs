//! The checks of one injected fault: its fields by its kind, and whether it fits the experiment.

use super::check::Check;
use super::choices::{ListSource, Protocol};
use super::faults::FaultFields;
use super::{Experiment, Fault, FaultKind};

/// A share, where one is stated, has to be a part of one.
fn is_share(share: Option<f64>) -> bool {
    share.is_none_or(|share| (0.0..=1.0).contains(&share))
}

fn check_fields(fault: &Fault, line: usize, check: &mut Check) {
    let fields = FaultFields::of(fault.kind);
    for (field, present) in fault.present_fields() {
        let required = fields.required.contains(&field);
        if required && !present {
            check.report(line, format!("{} needs \"{field}\"", fault.kind));
        } else if present && !required && !fields.optional.contains(&field) {
            check.report(line, format!("{} has no \"{field}\"", fault.kind));
        }
    }
}

fn check_numbers(fault: &Fault, line: usize, check: &mut Check) {
    if fault.every.is_some_and(|every| every <= 0.0) {
        check.report(line, "every is above 0");
    }
    if !is_share(fault.share) || !is_share(fault.killed) {
        check.report(line, "a share is a part of one, from 0 to 1");
    }
    if fault.factor.is_some_and(|factor| factor <= 0.0) {
        check.report(line, "a factor is above 0");
    }
}

impl Experiment {
    pub(super) fn check_fault(&self, fault: &Fault, line: usize, check: &mut Check) {
        check_fields(fault, line, check);
        self.check_applicable(fault, line, check);
        check_numbers(fault, line, check);
        self.check_targets(fault, line, check);
        if !(0.0..=self.seconds).contains(&fault.at) {
            let text =
                format!("it begins at {} s, and requests arrive from 0 to {} s", fault.at, self.seconds);
            check.report(line, text);
        }
    }

    /// Whether there is what the fault is a fault of.
    fn check_applicable(&self, fault: &Fault, line: usize, check: &mut Check) {
        let kind = fault.kind;
        let source = self.fleet.list_source();
        let of_etcd = kind.to_string().starts_with("etcd-");
        let of_file = kind == FaultKind::FileRewrites;
        if (of_etcd && source != ListSource::Etcd) || (of_file && source != ListSource::File) {
            check.report(line, format!("{kind} is no fault where the source is \"{}\"", self.fleet.source));
        }
        let of_slots = matches!(kind, FaultKind::SlotsMove | FaultKind::Failover | FaultKind::OldMap);
        if of_slots && self.fleet.protocol() != Protocol::Resp {
            check.report(line, format!("{kind} is no fault where the door is \"{}\"", self.fleet.protocol));
        }
        if kind == FaultKind::Reload && self.fleet.operator.is_empty() {
            check.report(line, "reload needs operator's files in [fleet] operator");
        }
    }

    /// Whether the servers, proxies and the zone that it names are there.
    fn check_targets(&self, fault: &Fault, line: usize, check: &mut Check) {
        if fault.servers.is_some() && fault.zone.is_some() {
            check.report(line, format!("{} names caches and a zone; one of them is enough", fault.kind));
        }
        if let Some(zone) = fault.zone.as_ref().filter(|zone| !self.world.zones.contains(zone)) {
            check.report(line, format!("zone \"{zone}\" is none of the world's"));
        }
        let numbered =
            [("server", &fault.servers, self.world.servers), ("proxy", &fault.proxies, self.fleet.proxies)];
        for (what, named, count) in numbered {
            if let Some(odd) = named.iter().flatten().find(|i| **i >= count) {
                let last = count - 1;
                check.report(line, format!("there is no {what} {odd}; they are numbered from 0 to {last}"));
            }
        }
    }
}
