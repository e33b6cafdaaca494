//! Times as the protocol writes them: seconds in decimals.

#[cfg(test)]
mod tests;

use chalkwalk_time::{Span, TICKS_PER_SECOND};

/// Digits before the point of a time that is read: nine are thirty years.
const MAX_WHOLE_DIGITS: usize = 9;

/// Seconds with four decimals.
pub(crate) fn format_seconds(span: Span) -> String {
    format!("{}.{:04}", span.ticks() / TICKS_PER_SECOND, span.ticks() % TICKS_PER_SECOND)
}

/// A time above zero from seconds in plain decimals.
pub(crate) fn parse_seconds(text: &str) -> Option<Span> {
    let (whole, part) = text.split_once('.').unwrap_or((text, "0"));
    if !is_digits(whole) || !is_digits(part) || whole.len() > MAX_WHOLE_DIGITS {
        return None;
    }
    let seconds: f64 = text.parse().ok()?;
    let span = Span::from_ticks((seconds * TICKS_PER_SECOND as f64) as u64);
    Some(span).filter(|span| !span.is_zero())
}

fn is_digits(text: &str) -> bool {
    !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit())
}
