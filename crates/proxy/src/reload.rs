//! Reloads the configuration while the proxy runs: the platform's settings, the operator's limits,
//! and the address of the endpoint list. Either the whole new configuration is applied or none of
//! it.

use crate::endpoint_source::EndpointSource;
use crate::error::StartError;
use crate::startup::{StartupFiles, StartupSettings};
use chalkwalk_config::{CaptureConfig, MembershipConfig, RespConfig};
use chalkwalk_discovery::FieldPaths;
use chalkwalk_engine::api;
use chalkwalk_engine::engine::Engine;
use chalkwalk_http_frontend::Frontend;
use slog::{info, warn};
use std::rc::Rc;

/// Settings that the process read when it started, and that only a restart can change.
pub struct FixedSettings {
    pub membership: Option<MembershipConfig>,
    pub resp: Option<RespConfig>,
    pub capture: Option<CaptureConfig>,
    /// The fields of the platform's configuration from which the process started.
    pub field_paths: FieldPaths,
}

/// The names of the platform's settings that only a restart can change: indices in use depend on
/// them.
const FIXED_PLATFORM_SETTINGS: [&str; 7] =
    ["zones", "zone", "kinds", "origin kind", "through", "watched", "tenants"];

/// Why a new configuration is rejected.
#[derive(Debug, thiserror::Error)]
enum ReloadError {
    /// The configuration can't be read: one line for each error in it.
    #[error(transparent)]
    Load(#[from] StartError),
    #[error("field {0}: missing, but present when the process started")]
    MissingField(String),
    #[error("the operator's file changes the membership, RESP frontend or capture, which needs a restart")]
    OperatorFile,
    #[error("the platform's setting \"{0}\" has changed, which needs a restart")]
    PlatformSetting(&'static str),
    #[error("the zones or server kinds have changed, which needs a restart")]
    ZonesOrKinds,
    #[error("the namespaces have changed, which needs a restart while the RESP frontend is in use")]
    RespNamespaces,
}

/// Reads both files again, and applies both or neither. Servers in the configuration are not
/// applied: they are as old as the file, and the endpoint list has brought newer ones since.
pub fn reload(
    engine: &Rc<Engine>,
    frontend: &Frontend,
    files: &StartupFiles,
    source: Option<&EndpointSource>,
    fixed: &FixedSettings,
) {
    match load(engine, files, fixed) {
        Ok(settings) => apply(engine, frontend, settings, source, files.operator.is_some()),
        Err(error) => {
            for line in error.to_string().lines() {
                warn!(engine.log, "new configuration rejected"; "fault" => line);
            }
        }
    }
}

fn load(
    engine: &Engine,
    files: &StartupFiles,
    fixed: &FixedSettings,
) -> Result<StartupSettings, ReloadError> {
    let settings = files.load()?;
    check_fixed(engine, &settings, fixed)?;
    Ok(settings)
}

/// Returns an error if the new settings can't be applied without a restart.
fn check_fixed(engine: &Engine, new: &StartupSettings, fixed: &FixedSettings) -> Result<(), ReloadError> {
    let StartupSettings { config, membership, resp, capture } = new;
    if let Some(field) = fixed.field_paths.first_missing_in(&config.field_paths) {
        return Err(ReloadError::MissingField(field.to_string()));
    }
    if *membership != fixed.membership || *resp != fixed.resp || *capture != fixed.capture {
        return Err(ReloadError::OperatorFile);
    }
    let current = engine.classes.platform_settings();
    let differs = |name: &&str| current.get(*name) != config.engine_config.settings.get(*name);
    if let Some(name) = FIXED_PLATFORM_SETTINGS.into_iter().find(differs) {
        return Err(ReloadError::PlatformSetting(name));
    }
    if config.engine_config.zones != engine.config.zones || config.engine_config.kinds != engine.config.kinds
    {
        return Err(ReloadError::ZonesOrKinds);
    }
    // The RESP frontend refers to namespaces by index.
    if resp.is_some() && config.namespaces != engine.classes.namespace_names() {
        return Err(ReloadError::RespNamespaces);
    }
    Ok(())
}

fn apply(
    engine: &Rc<Engine>,
    frontend: &Frontend,
    settings: StartupSettings,
    source: Option<&EndpointSource>,
    has_operator_file: bool,
) {
    let StartupSettings { config, resp, .. } = settings;
    let address = config.discovery_address.map_or_else(|| "-".to_string(), |address| address.to_string());
    let settings_changed = config.engine_config.settings != engine.classes.platform_settings();
    let settings_state = if settings_changed { "new" } else { "as before" };
    info!(engine.log, "configuration reloaded"; "list" => address, "settings" => settings_state);
    if let Some(source) = source {
        source.reload(config.discovery_address);
    }
    if settings_changed {
        if resp.is_none() {
            frontend.set_namespaces(config.namespaces);
        }
        api::apply_settings(engine, config.engine_config);
    } else if has_operator_file {
        api::set_limits(engine, config.engine_config.operator_limits);
    }
}
