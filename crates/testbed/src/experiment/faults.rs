//! The table `[[trouble]]`: faults that are injected, each with its kind, its time and its parameters.

use crate::clock::{Micros, micros};
use serde::Deserialize;
use std::ops::Range;

/// What happens. The names in the file are these, in kebab case.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// A share of the attempts at a server gets a quick error.
    Fails,
    /// A server accepts everything and answers nothing.
    Hangs,
    /// A share of the attempts is never answered.
    Loses,
    /// A server stops working, and goes on afterwards.
    StandsStill,
    /// A server's machine is silent, and returns in slow start.
    Vanishes,
    /// A server's process dies with resets, and returns in slow start.
    Restarts,
    /// A server's work takes so many times as long.
    Slow,
    /// A share of the attempts is refused unprocessed.
    TurnsAway,
    /// A share of the attempts gets a reset.
    Resets,
    /// A share of the attempts gets half a response.
    HalfAnswers,
    /// A share of the attempts gets noise.
    Spoils,
    /// Interim responses are sent ahead of the final ones.
    Interim,
    /// All servers of a zone vanish.
    ZoneLost,
    /// The link to a zone is silent both ways.
    ZoneCut,
    /// One server after the other is drained, ended, and started anew.
    RollingDeploy,
    /// All that a server caches is dropped.
    CopiesVoid,
    /// The origin's work takes so many times as long.
    OriginSlow,
    /// The origin fails a share of what it gets at once.
    OriginFails,
    /// The list is down, in one of the ways of [`Outage`].
    ListDown,
    /// The list shows changes later.
    ListLate,
    /// The list answers with an earlier state.
    ListOld,
    /// Calls that wait at the list are never answered.
    ListSilent,
    /// A proxy gets SIGKILL, and is started again.
    ProxyKill,
    /// A proxy gets SIGTERM, and is started again.
    ProxyTerm,
    /// A proxy gets SIGHUP with a configuration that moves the list.
    ProxyHup,
    /// A proxy gets SIGSTOP, and SIGCONT later.
    ProxyStop,
    /// One proxy after the other is restarted, a share of them by SIGKILL.
    RestartWave,
    /// Operator's files are written over each other, with SIGHUP.
    Reload,
    /// The cluster of etcd is down.
    EtcdDown,
    /// Its calls wait.
    EtcdStall,
    /// One of its endpoints lags behind.
    EtcdBehind,
    /// Its calls about leases wait.
    EtcdSlowLeases,
    /// All its connections are reset.
    EtcdBreak,
    /// Its history is compacted.
    EtcdCompact,
    /// It is restored to an earlier state.
    EtcdRestore,
    /// A proxy's list file is written over again and again.
    FileRewrites,
    /// Hash slots migrate.
    SlotsMove,
    /// A primary ends, and its replica takes over.
    Failover,
    /// A server's slot map is that of an earlier moment.
    OldMap,
}

impl std::fmt::Display for FaultKind {
    /// As an experiment's file has it.
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

/// How the platform's list fails while it is down.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outage {
    /// Calls are read, and their connections closed.
    #[default]
    Closes,
    /// Nothing listens.
    Refuses,
    /// Calls are answered 503 at once.
    Unavailable,
    /// Calls wait as long as the service lets them, and are answered 503 then.
    UnavailableLate,
    /// Calls are read and never answered.
    Silent,
    /// The head and a part of the response come, and nothing more.
    HalfAnswer,
}

/// One fault. Which fields go with which kind: `FaultFields`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// What happens.
    pub kind: FaultKind,
    /// When it begins, in seconds.
    pub at: f64,
    /// How long it lasts, in seconds.
    #[serde(rename = "for")]
    pub duration: Option<f64>,
    /// The share of the requests that it affects.
    pub share: Option<f64>,
    /// Which servers, by number from 0; all, where none are named.
    #[serde(rename = "caches")]
    pub servers: Option<Vec<usize>>,
    /// The servers of which zone.
    pub zone: Option<String>,
    /// How many times as long work takes.
    pub factor: Option<f64>,
    /// By how much something is late, or from how long ago it is.
    pub by: Option<f64>,
    /// Which proxies, by number from 0; all, where none are named.
    pub proxies: Option<Vec<usize>>,
    /// Of a rolling deploy, a wave and the like: from one to the next.
    pub every: Option<f64>,
    /// From the notice of a drain to the end of the process.
    pub drain: Option<f64>,
    /// From the end of a process to the next one's start.
    pub down: Option<f64>,
    /// The share of a wave that gets SIGKILL; the rest gets SIGTERM.
    pub killed: Option<f64>,
    /// In which way the list is down.
    #[serde(rename = "how")]
    pub outage: Option<Outage>,
}

impl Fault {
    /// From its begin to its end; without an end it lasts.
    pub fn span(&self) -> Range<Micros> {
        let at = micros(self.at);
        at..self.duration.map_or(Micros::MAX, |duration| at + micros(duration))
    }

    /// Fields of the file by name, and whether this fault has them.
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

/// Which fields of the file a kind of fault has.
#[derive(Clone, Copy, Debug)]
pub(super) struct FaultFields {
    /// Fields that it has to have.
    pub required: &'static [&'static str],
    /// Fields that it may have beside these.
    pub optional: &'static [&'static str],
}

impl FaultFields {
    /// The table of kinds and their fields.
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
