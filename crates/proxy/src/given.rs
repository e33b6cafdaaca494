//! The files that a proxy is given: the platform's configuration, and the operator's, read and checked together.

use chalkwalk_config::{self as operator, CaptureConfig, MembershipConfig, RespConfig};
use chalkwalk_discovery::StartupConfig;

pub struct Given {
    pub config: String,
    pub operator: Option<String>,
}

/// What they say.
pub struct Read {
    pub rules: StartupConfig,
    /// Where the list comes from, if not from the platform.
    pub membership: Option<MembershipConfig>,
    pub resp: Option<RespConfig>,
    pub capture: Option<CaptureConfig>,
}

impl Given {
    /// Both, or what is wrong with either.
    pub fn read(&self) -> Result<Read, String> {
        let mut rules = StartupConfig::load(&self.config)?;
        rules.engine.platform_limits.frontends = vec![
            chalkwalk_http_frontend::FRONTEND_NAME.to_string(),
            chalkwalk_resp_frontend::FRONTEND_NAME.to_string(),
        ];
        let (mut membership, mut resp, mut capture) = (None, None, None);
        if let Some(path) = &self.operator {
            let text = std::fs::read_to_string(path).map_err(|e| format!("cannot read {path}: {e}"))?;
            let said = operator::read(&text, &rules.engine.platform_limits);
            let said = said.map_err(|faults| operator::format_errors(path, &faults))?;
            rules.engine.limits = Some(said.limits);
            (membership, resp, capture) = (said.membership, said.resp, said.capture);
        }
        if rules.list_address.is_none() && membership.is_none() && resp.is_none() {
            return Err("field discovery: missing, expected a text".into());
        }
        Ok(Read { rules, membership, resp, capture })
    }
}
