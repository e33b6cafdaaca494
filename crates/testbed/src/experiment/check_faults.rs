//! Checks of one injected fault: the fields that its kind requires or allows, and whether it
//! applies to the experiment.

use super::check::Check;
use super::choices::{ListSource, Protocol};
use super::faults::FaultFields;
use super::{Experiment, Fault, FaultKind};

/// Whether a share, if it is stated, is from 0 to 1.
fn is_share(share: Option<f64>) -> bool {
    share.is_none_or(|share| (0.0..=1.0).contains(&share))
}

fn check_fields(fault: &Fault, line: usize, check: &mut Check) {
    let fields = FaultFields::of(fault.kind);
    for (field, present) in fault.present_fields() {
        let required = fields.required.contains(&field);
        if required && !present {
            check.report(line, format!("{} requires \"{field}\"", fault.kind));
        } else if present && !required && !fields.optional.contains(&field) {
            check.report(line, format!("{} does not accept \"{field}\"", fault.kind));
        }
    }
}

fn check_numbers(fault: &Fault, line: usize, check: &mut Check) {
    if fault.every.is_some_and(|every| every <= 0.0) {
        check.report(line, "every must be greater than 0");
    }
    if !is_share(fault.share) || !is_share(fault.killed) {
        check.report(line, "a share must be from 0 to 1");
    }
    if fault.factor.is_some_and(|factor| factor <= 0.0) {
        check.report(line, "factor must be greater than 0");
    }
}

impl Experiment {
    pub(super) fn check_fault(&self, fault: &Fault, line: usize, check: &mut Check) {
        check_fields(fault, line, check);
        self.check_applicable(fault, line, check);
        check_numbers(fault, line, check);
        self.check_targets(fault, line, check);
        if !(0.0..=self.seconds).contains(&fault.at) {
            let text = format!("at is {} s, outside the run of 0 to {} s", fault.at, self.seconds);
            check.report(line, text);
        }
    }

    /// Checks that the experiment has the component that the fault affects.
    fn check_applicable(&self, fault: &Fault, line: usize, check: &mut Check) {
        let kind = fault.kind;
        let source = self.fleet.list_source();
        let is_etcd_fault = kind.to_string().starts_with("etcd-");
        let is_file_fault = kind == FaultKind::FileRewrites;
        if (is_etcd_fault && source != ListSource::Etcd) || (is_file_fault && source != ListSource::File) {
            check
                .report(line, format!("{kind} does not apply where the source is \"{}\"", self.fleet.source));
        }
        let is_slot_fault = matches!(kind, FaultKind::SlotsMove | FaultKind::Failover | FaultKind::OldMap);
        if is_slot_fault && self.fleet.protocol() != Protocol::Resp {
            check
                .report(line, format!("{kind} does not apply where the door is \"{}\"", self.fleet.protocol));
        }
        if kind == FaultKind::Reload && self.fleet.operator.is_empty() {
            check.report(line, "reload needs at least one operator's file in [fleet] operator");
        }
    }

    /// Checks that the servers, the proxies and the zone that the fault names exist.
    fn check_targets(&self, fault: &Fault, line: usize, check: &mut Check) {
        if fault.servers.is_some() && fault.zone.is_some() {
            check.report(
                line,
                format!("{} names both caches and a zone; only one of them is allowed", fault.kind),
            );
        }
        if let Some(zone) = fault.zone.as_ref().filter(|zone| !self.world.zones.contains(zone)) {
            check.report(line, format!("zone \"{zone}\" is not in [world] zones"));
        }
        let numbered_targets =
            [("server", &fault.servers, self.world.servers), ("proxy", &fault.proxies, self.fleet.proxies)];
        for (target_type, numbers, count) in numbered_targets {
            if let Some(out_of_range) = numbers.iter().flatten().find(|i| **i >= count) {
                let last = count - 1;
                check.report(
                    line,
                    format!("there is no {target_type} {out_of_range}; they are numbered from 0 to {last}"),
                );
            }
        }
    }
}
