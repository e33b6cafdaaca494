//! Formats and parses the protocol's time spans, which are decimal numbers of seconds.

#[cfg(test)]
mod tests;

use chalkwalk_time::{Span, TICKS_PER_SECOND};

/// Maximum number of digits before the decimal point in a parsed time span; nine digits are over
/// thirty years.
const MAX_INTEGER_DIGITS: usize = 9;

/// Formats a span as seconds with four decimal places.
pub(crate) fn format_seconds(span: Span) -> String {
    format!("{}.{:04}", span.ticks() / TICKS_PER_SECOND, span.ticks() % TICKS_PER_SECOND)
}

/// Parses a span above zero from seconds in decimal notation, without sign or exponent.
pub(crate) fn parse_seconds(text: &str) -> Option<Span> {
    let (integer, fraction) = text.split_once('.').unwrap_or((text, "0"));
    if !is_digits(integer) || !is_digits(fraction) || integer.len() > MAX_INTEGER_DIGITS {
        return None;
    }
    let seconds: f64 = text.parse().ok()?;
    let span = Span::from_ticks((seconds * TICKS_PER_SECOND as f64) as u64);
    Some(span).filter(|span| !span.is_zero())
}

fn is_digits(text: &str) -> bool {
    !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit())
}
