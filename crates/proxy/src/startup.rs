//! The files that a proxy starts from: the configuration that the hosting platform supplies, and
//! the operator's file. They are read and checked together.

use crate::error::StartError;
use chalkwalk_config::{self as operator_config, CaptureConfig, MembershipConfig, RespConfig};
use chalkwalk_discovery::StartupConfig;

/// The path of the platform's configuration, and that of the operator's file if there is one.
pub struct StartupFiles {
    pub config: String,
    pub operator: Option<String>,
}

/// The settings from both files.
pub struct StartupSettings {
    pub config: StartupConfig,
    /// The source of the endpoint list, if it isn't the platform.
    pub membership: Option<MembershipConfig>,
    pub resp: Option<RespConfig>,
    pub capture: Option<CaptureConfig>,
}

impl StartupFiles {
    /// Reads both files, and fails if either is invalid.
    pub fn load(&self) -> Result<StartupSettings, StartError> {
        let config = StartupConfig::load(&self.config);
        let config = config.map_err(|error| StartError::Configuration(error.to_string()))?;
        let mut settings = StartupSettings { config, membership: None, resp: None, capture: None };
        settings.config.engine_config.platform_limits.frontends = vec![
            chalkwalk_http_frontend::FRONTEND_NAME.to_string(),
            chalkwalk_resp_frontend::FRONTEND_NAME.to_string(),
        ];
        if let Some(path) = &self.operator {
            settings.load_operator_file(path)?;
        }
        let has_source = settings.config.discovery_address.is_some()
            || settings.membership.is_some()
            || settings.resp.is_some();
        if !has_source {
            return Err(StartError::Configuration("field discovery: missing, expected a string".into()));
        }
        Ok(settings)
    }
}

impl StartupSettings {
    fn load_operator_file(&mut self, path: &str) -> Result<(), StartError> {
        let text = std::fs::read_to_string(path);
        let text = text.map_err(|error| StartError::Read { path: path.to_string(), error })?;
        let operator = operator_config::read(&text, &self.config.engine_config.platform_limits)
            .map_err(|errors| StartError::Configuration(operator_config::format_errors(path, &errors)))?;
        self.config.engine_config.operator_limits = Some(operator.limits);
        self.membership = operator.membership;
        self.resp = operator.resp;
        self.capture = operator.capture;
        Ok(())
    }
}
