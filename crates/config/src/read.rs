//! The whole file, read and checked.

use crate::capture::{self, CaptureConfig};
use crate::limits;
use crate::lines::{Errors, Lines};
use crate::membership::{self, MembershipConfig};
use crate::resp::{self, RespConfig};
use crate::schema::{END, OperatorFile, VERSION};
use chalkwalk_limits::{ConfigError, LimitTable, PlatformLimits, check};

/// What an operator's file sets, checked.
#[derive(Clone, Debug, Default)]
pub struct OperatorConfig {
    /// Which limits apply to which requests.
    pub limits: LimitTable,
    /// Where the endpoint list comes from, if not from the platform.
    pub membership: Option<MembershipConfig>,
    /// The RESP frontend, if there is one.
    pub resp: Option<RespConfig>,
    /// Whether and where captures are written.
    pub capture: Option<CaptureConfig>,
}

/// Reads a file's text and checks it against the platform's limits. Errors come all at once, by
/// line.
pub fn read(text: &str, platform_limits: &PlatformLimits) -> Result<OperatorConfig, Vec<ConfigError>> {
    let lines = Lines(text);
    let file = parse(lines).map_err(|error| vec![error])?;
    let mut errors = Errors::new(lines);
    let checked = check(&limits::unchecked(&file, lines), platform_limits);
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

/// Errors as lines of text, each with the file's name.
pub fn format_errors(path: &str, errors: &[ConfigError]) -> String {
    let lines: Vec<String> = errors.iter().map(|error| format!("{path}:{error}")).collect();
    lines.join("\n")
}

/// The tables and keys of a file that is whole and of the version that is known.
fn parse(lines: Lines) -> Result<OperatorFile, ConfigError> {
    let file: OperatorFile = toml::from_str(lines.0).map_err(|error| {
        let line = error.span().map_or(1, |span| lines.at(span.start));
        ConfigError { line, message: error.message().replace('\n', " ") }
    })?;
    check_end(lines.0)?;
    let version = *file.version.get_ref();
    if version != VERSION {
        let message = format!("version {version} is not known; this program reads version {VERSION}");
        return Err(ConfigError { line: lines.of(&file.version), message });
    }
    Ok(file)
}

/// Much of a file that is still being written is good TOML, so a whole one ends with a line that
/// says so.
fn check_end(text: &str) -> Result<(), ConfigError> {
    let has_content = |line: &str| !line.trim().is_empty() && !line.trim().starts_with('#');
    let content = text.lines().enumerate().filter(|(_, line)| has_content(line));
    let (index, last) = content.last().unwrap_or((0, ""));
    if last.split('#').next().unwrap_or("").trim() == END {
        return Ok(());
    }
    let message = format!("the file does not end with {END}: it may have been cut short");
    Err(ConfigError { line: index + 1, message })
}
