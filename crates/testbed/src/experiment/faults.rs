//! The table `[[trouble]]`: the injected faults, each with its kind, its start and its parameters.

use crate::clock::{Micros, micros_from_seconds};
use serde::Deserialize;
use std::ops::Range;

/// The kind of a fault. The experiment file has these names in kebab case.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// A share of the attempts at a server fails with an immediate error.
    Fails,
    /// A server accepts all requests and answers none.
    Hangs,
    /// A share of the attempts is never answered.
    Loses,
    /// A server stalls, and continues its work afterwards.
    StandsStill,
    /// A server's machine sends nothing any more, not even a reset; the server returns in slow
    /// start.
    Vanishes,
    /// A server's process dies, its connections are reset, and it returns in slow start.
    Restarts,
    /// A server's work takes longer by a factor.
    Slow,
    /// A share of the attempts is refused without being processed.
    TurnsAway,
    /// A share of the attempts gets a connection reset.
    Resets,
    /// A share of the attempts gets an incomplete response.
    HalfAnswers,
    /// A share of the attempts gets a malformed response.
    Spoils,
    /// Interim responses are sent ahead of the final ones.
    Interim,
    /// All servers of a zone vanish.
    ZoneLost,
    /// The link to a zone drops all traffic in both directions.
    ZoneCut,
    /// Servers are drained, stopped and restarted, one after the other.
    RollingDeploy,
    /// The caches of the servers are emptied.
    CopiesVoid,
    /// The origin's work takes longer by a factor.
    OriginSlow,
    /// The origin fails a share of the requests to it immediately.
    OriginFails,
    /// The platform's discovery service is down, in one of the ways of [`Outage`].
    ListDown,
    /// The discovery service shows changes later.
    ListLate,
    /// The discovery service answers with an earlier endpoint list.
    ListOld,
    /// Long-polling calls that wait at the discovery service are never answered.
    ListSilent,
    /// A proxy gets SIGKILL and is restarted.
    ProxyKill,
    /// A proxy gets SIGTERM and is restarted.
    ProxyTerm,
    /// A proxy gets SIGHUP with a configuration that moves the discovery service to its other
    /// address.
    ProxyHup,
    /// A proxy gets SIGSTOP, and SIGCONT later.
    ProxyStop,
    /// Proxies are restarted one after the other, a share of them by SIGKILL.
    RestartWave,
    /// A proxy's operator's file is overwritten with the next one repeatedly, each time with
    /// SIGHUP.
    Reload,
    /// The etcd cluster is down.
    EtcdDown,
    /// Calls to the etcd cluster wait.
    EtcdStall,
    /// One endpoint of the etcd cluster lags behind the others.
    EtcdBehind,
    /// Lease calls to the etcd cluster are delayed.
    EtcdSlowLeases,
    /// All connections to the etcd cluster are reset.
    EtcdBreak,
    /// The history of the etcd cluster is compacted.
    EtcdCompact,
    /// The etcd cluster is restored to an earlier state.
    EtcdRestore,
    /// A proxy's list file is overwritten repeatedly.
    FileRewrites,
    /// Hash slots migrate.
    SlotsMove,
    /// A primary stops, and its replica takes over.
    Failover,
    /// A server answers with an earlier slot map.
    OldMap,
}

impl std::fmt::Display for FaultKind {
    /// Writes the name in the experiment file.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        for (i, letter) in format!("{self:?}").char_indices() {
            if letter.is_uppercase() && i > 0 {
                write!(f, "-")?;
            }
            write!(f, "{}", letter.to_ascii_lowercase())?;
        }
        Ok(())
    }
}

/// How the platform's discovery service fails during an outage.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outage {
    /// Calls are read and their connections are closed.
    #[default]
    Closes,
    /// Connections are refused.
    Refuses,
    /// Calls are answered with 503 immediately.
    Unavailable,
    /// Calls wait for the longest time that the service allows, and are then answered with 503.
    UnavailableLate,
    /// Calls are read and never answered.
    Silent,
    /// The head and a part of the body are sent, and nothing more.
    HalfAnswer,
}

/// One fault. `FaultFields` says which fields each kind has.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// The kind of the fault.
    pub kind: FaultKind,
    /// When the fault begins, in seconds from the start of the load.
    pub at: f64,
    /// How long the fault lasts, in seconds.
    #[serde(rename = "for")]
    pub duration: Option<f64>,
    /// The share of the requests that the fault affects.
    pub share: Option<f64>,
    /// The affected servers, by number from 0; all servers if neither this nor `zone` is stated.
    #[serde(rename = "caches")]
    pub servers: Option<Vec<usize>>,
    /// The zone whose servers are affected.
    pub zone: Option<String>,
    /// The factor by which work takes longer.
    pub factor: Option<f64>,
    /// The delay, or the age of an earlier state, in seconds.
    pub by: Option<f64>,
    /// The affected proxies, by number from 0; all proxies if this is not stated.
    pub proxies: Option<Vec<usize>>,
    /// Interval between the steps of a repeated fault, such as a rolling deploy or a restart wave,
    /// in seconds.
    pub every: Option<f64>,
    /// Time from when a drain is announced to the end of the process, in seconds.
    pub drain: Option<f64>,
    /// Time from the end of a process to the start of the next one, in seconds.
    pub down: Option<f64>,
    /// The share of the proxies of a restart wave that get SIGKILL; the others get SIGTERM.
    pub killed: Option<f64>,
    /// In which way the discovery service is down.
    #[serde(rename = "how")]
    pub outage: Option<Outage>,
}

impl Fault {
    /// The time from the fault's start to its end; a fault without a duration never ends.
    pub fn active_time(&self) -> Range<Micros> {
        let at = micros_from_seconds(self.at);
        at..self.duration.map_or(Micros::MAX, |duration| at + micros_from_seconds(duration))
    }

    /// The optional fields by their names in the file, and whether this fault states them.
    pub(super) fn present_fields(&self) -> [(&'static str, bool); 12] {
        [
            ("for", self.duration.is_some()),
            ("share", self.share.is_some()),
            ("caches", self.servers.is_some()),
            ("zone", self.zone.is_some()),
            ("factor", self.factor.is_some()),
            ("by", self.by.is_some()),
            ("proxies", self.proxies.is_some()),
            ("every", self.every.is_some()),
            ("drain", self.drain.is_some()),
            ("down", self.down.is_some()),
            ("killed", self.killed.is_some()),
            ("how", self.outage.is_some()),
        ]
    }
}

/// The fields of the file that a kind of fault requires and allows.
#[derive(Clone, Copy, Debug)]
pub(super) struct FaultFields {
    /// Fields that have to be stated.
    pub required: &'static [&'static str],
    /// Further fields that may be stated.
    pub optional: &'static [&'static str],
}

impl FaultFields {
    /// The fields of a kind of fault.
    pub fn of(kind: FaultKind) -> FaultFields {
        let (required, optional): (&[&str], &[&str]) = match kind {
            FaultKind::Fails
            | FaultKind::Loses
            | FaultKind::TurnsAway
            | FaultKind::Resets
            | FaultKind::HalfAnswers
            | FaultKind::Spoils => (&["for", "share"], &["caches", "zone"]),
            FaultKind::Hangs | FaultKind::StandsStill | FaultKind::Vanishes | FaultKind::Interim => {
                (&["for"], &["caches", "zone"])
            }
            FaultKind::Restarts => (&["down"], &["caches", "zone"]),
            FaultKind::Slow => (&["for", "factor"], &["caches", "zone"]),
            FaultKind::ZoneLost | FaultKind::ZoneCut => (&["for", "zone"], &[]),
            FaultKind::RollingDeploy => (&["every", "drain", "down"], &["caches", "zone"]),
            FaultKind::CopiesVoid => (&[], &["caches", "zone"]),
            FaultKind::OriginSlow => (&["for", "factor"], &[]),
            FaultKind::OriginFails => (&["for", "share"], &[]),
            FaultKind::ListDown => (&["for"], &["how"]),
            FaultKind::ListOld => (&["for"], &[]),
            FaultKind::ListLate => (&["for", "by"], &[]),
            FaultKind::ProxyKill | FaultKind::ProxyTerm => (&["down"], &["proxies"]),
            FaultKind::ProxyHup => (&[], &["proxies"]),
            FaultKind::ProxyStop => (&["for"], &["proxies"]),
            FaultKind::Reload | FaultKind::FileRewrites => (&["for", "every"], &["proxies"]),
            FaultKind::RestartWave => (&["every", "down"], &["killed", "proxies"]),
            FaultKind::EtcdDown | FaultKind::EtcdStall => (&["for"], &[]),
            FaultKind::EtcdBehind | FaultKind::EtcdSlowLeases => (&["for", "by"], &[]),
            FaultKind::ListSilent | FaultKind::EtcdBreak | FaultKind::EtcdCompact => (&[], &[]),
            FaultKind::EtcdRestore => (&["by"], &[]),
            FaultKind::SlotsMove => (&["for", "every"], &[]),
            FaultKind::Failover => (&["down", "caches"], &[]),
            FaultKind::OldMap => (&["for", "by", "caches"], &[]),
        };
        FaultFields { required, optional }
    }
}
