//! Reading what targets say, whatever they write.
//!
//! A target in need may be ill, so odd values are no reason to pass its word
//! over: each is taken on the safe side, and none shuts a target out for ever.

use crate::{Anomaly, Rate};

/// Longest rest that is kept, in ms: a target that wants more is asked again
/// then, since one header must not shut it out for ever.
const LONGEST_REST_MS: f64 = 300_000.0;

/// Rest of a target that cannot say for how long, in ms.
const UNREAD_REST_MS: f64 = 3_000.0;

/// The text of a header, if it is one.
fn text(value: &[u8]) -> Option<&str> {
    std::str::from_utf8(value).ok().map(str::trim)
}

/// The limit that `values`, all of one answer, name; also what is odd there.
pub fn parse_limit<'a>(
    values: impl IntoIterator<Item = &'a [u8]>,
    odd: &mut Vec<Anomaly>,
) -> Option<Rate> {
    let mut lowest: Option<f64> = None;
    for (at, value) in values.into_iter().enumerate() {
        if at == 1 {
            odd.push(Anomaly::LimitRepeated);
        }
        let per_s = match limit(value) {
            Ok(per_s) => per_s,
            Err(why) => {
                odd.push(why);
                Rate::UNREAD.per_s()
            }
        };
        lowest = Some(lowest.map_or(per_s, |l| l.min(per_s)));
    }
    let per_s = lowest?;
    let rate = Rate::from_per_s(per_s);
    match rate {
        None => odd.push(Anomaly::LimitTooHigh),
        Some(rate) if rate.per_s() > per_s => odd.push(Anomaly::LimitTooLow),
        Some(_) => {}
    }
    rate
}

fn limit(value: &[u8]) -> Result<f64, Anomaly> {
    let number = text(value).and_then(|t| t.parse::<f64>().ok());
    number.filter(|n| !n.is_nan()).ok_or(Anomaly::LimitInvalid)
}

/// The rest that `values`, all of one answer, ask for, in ms; also what is odd
/// there.
pub fn parse_cooldown<'a>(
    values: impl IntoIterator<Item = &'a [u8]>,
    odd: &mut Vec<Anomaly>,
) -> Option<u64> {
    let mut longest: Option<f64> = None;
    for (at, value) in values.into_iter().enumerate() {
        if at == 1 {
            odd.push(Anomaly::CooldownRepeated);
        }
        let ms = rest_ms(value, odd);
        longest = Some(longest.map_or(ms, |l| l.max(ms)));
    }
    longest.map(|ms| ms as u64).filter(|ms| *ms > 0)
}

fn rest_ms(value: &[u8], odd: &mut Vec<Anomaly>) -> f64 {
    let number = text(value).and_then(|t| t.parse::<f64>().ok());
    match number.filter(|n| !n.is_nan()).map(|s| s * 1_000.0) {
        None => {
            odd.push(Anomaly::CooldownInvalid);
            UNREAD_REST_MS
        }
        Some(ms) if ms < 0.0 => {
            odd.push(Anomaly::CooldownNegative);
            0.0
        }
        Some(ms) if ms > LONGEST_REST_MS => {
            odd.push(Anomaly::CooldownTooLong);
            LONGEST_REST_MS
        }
        Some(ms) => ms,
    }
}

/// Whether `values`, all of one answer, say that the target leaves. What is
/// neither yes nor no asks for a rest, put into `rest_ms`.
pub fn parse_draining<'a>(
    values: impl IntoIterator<Item = &'a [u8]>,
    rest_ms: &mut Option<u64>,
    odd: &mut Vec<Anomaly>,
) -> bool {
    let mut leaving = false;
    for value in values {
        match text(value) {
            Some("1") => leaving = true,
            Some("0") => {}
            _ => {
                odd.push(Anomaly::DrainingInvalid);
                *rest_ms = (*rest_ms).max(Some(UNREAD_REST_MS as u64));
            }
        }
    }
    leaving
}
