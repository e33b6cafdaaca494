//! Reads and checks the whole file.

use crate::capture::{self, CaptureConfig};
use crate::limits;
use crate::lines::{ErrorList, Lines};
use crate::membership::{self, MembershipConfig};
use crate::resp::{self, RespConfig};
use crate::schema::{END, OperatorFile, VERSION};
use chalkwalk_limits::{ConfigError, LimitTable, PlatformLimits, check};

/// The checked contents of an operator's file.
#[derive(Clone, Debug, Default)]
pub struct OperatorConfig {
    /// Which limits apply to which requests.
    pub limits: LimitTable,
    /// The source of the endpoint list, if it is not the platform.
    pub membership: Option<MembershipConfig>,
    /// The RESP frontend, if the file configures one.
    pub resp: Option<RespConfig>,
    /// Where captures are written; `None` if none are.
    pub capture: Option<CaptureConfig>,
}

/// Reads a file's text and checks it against the platform's limits. Returns all errors at once,
/// ordered by line.
pub fn read(text: &str, platform_limits: &PlatformLimits) -> Result<OperatorConfig, Vec<ConfigError>> {
    let lines = Lines(text);
    let file = parse(lines).map_err(|error| vec![error])?;
    let mut errors = ErrorList::new(lines);
    let checked = check(&limits::unchecked_limits(&file, lines), platform_limits);
    let config = OperatorConfig {
        limits: checked.unwrap_or_else(|found| {
            errors.extend(found);
            LimitTable::default()
        }),
        membership: file.membership.as_ref().map(|section| membership::read(section, &mut errors)),
        resp: file.resp.as_ref().map(|section| resp::read(section, platform_limits, &mut errors)),
        capture: file.capture.as_ref().map(|section| capture::read(section, &mut errors)),
    };
    let errors = errors.into_sorted();
    if errors.is_empty() { Ok(config) } else { Err(errors) }
}

/// Formats errors, one per line of text, each with the path of the file.
pub fn format_errors(path: &str, errors: &[ConfigError]) -> String {
    let lines: Vec<String> = errors.iter().map(|error| format!("{path}:{error}")).collect();
    lines.join("\n")
}

/// Parses the file's tables and keys. The file must be complete and of the supported version.
fn parse(lines: Lines) -> Result<OperatorFile, ConfigError> {
    let file: OperatorFile = toml::from_str(lines.0).map_err(|error| {
        let line = error.span().map_or(1, |span| lines.line_at(span.start));
        ConfigError { line, message: error.message().replace('\n', " ") }
    })?;
    check_end(lines.0)?;
    let version = *file.version.get_ref();
    if version != VERSION {
        let message = format!("version {version} is not known; this program reads version {VERSION}");
        return Err(ConfigError { line: lines.line_of(&file.version), message });
    }
    Ok(file)
}

/// Checks that the file is complete. The beginning of a file that is still being written is often
/// valid TOML, so a complete file has to end with the line `END`.
fn check_end(text: &str) -> Result<(), ConfigError> {
    let has_content = |line: &str| !line.trim().is_empty() && !line.trim().starts_with('#');
    let content = text.lines().enumerate().filter(|(_, line)| has_content(line));
    let (index, last) = content.last().unwrap_or((0, ""));
    if last.split('#').next().unwrap_or("").trim() == END {
        return Ok(());
    }
    let message = format!("the file does not end with {END}: it may be truncated");
    Err(ConfigError { line: index + 1, message })
}
