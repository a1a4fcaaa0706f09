//! Parsing of backpressure headers with any content.
//!
//! A target that sends signals may be faulty, so invalid values are not
//! ignored: each is replaced by a safe one, and none excludes a target for
//! good.

use crate::{Anomaly, Rate};

/// Longest cooldown that is honoured. A target that needs more is asked again
/// after it, since one header must not exclude it permanently.
const MAX_COOLDOWN_MS: f64 = 300_000.0;

/// Cooldown where the value is invalid.
const INVALID_COOLDOWN_MS: f64 = 3_000.0;

/// The text of a header, if it is valid UTF-8.
fn text(value: &[u8]) -> Option<&str> {
    std::str::from_utf8(value).ok().map(str::trim)
}

/// The limit in `values`, all of one answer; invalid values are added to
/// `anomalies`.
pub fn parse_limit<'a>(
    values: impl IntoIterator<Item = &'a [u8]>,
    anomalies: &mut Vec<Anomaly>,
) -> Option<Rate> {
    let mut lowest: Option<f64> = None;
    for (index, value) in values.into_iter().enumerate() {
        if index == 1 {
            anomalies.push(Anomaly::LimitRepeated);
        }
        let per_s = match limit_per_s(value) {
            Ok(per_s) => per_s,
            Err(anomaly) => {
                anomalies.push(anomaly);
                Rate::INVALID.per_s()
            }
        };
        lowest = Some(lowest.map_or(per_s, |l| l.min(per_s)));
    }
    let per_s = lowest?;
    let rate = Rate::from_per_s(per_s);
    match rate {
        None => anomalies.push(Anomaly::LimitTooHigh),
        Some(rate) if rate.per_s() > per_s => anomalies.push(Anomaly::LimitTooLow),
        Some(_) => {}
    }
    rate
}

/// The rejections a second that a target tolerates, from `values`, all of one answer;
/// invalid values are added to `anomalies`.
pub fn parse_rejections<'a>(
    values: impl IntoIterator<Item = &'a [u8]>,
    anomalies: &mut Vec<Anomaly>,
) -> Option<Rate> {
    let mut lowest: Option<f64> = None;
    for value in values {
        let per_s = limit_per_s(value);
        if lowest.is_some() || per_s.is_err() {
            anomalies.push(Anomaly::RejectionsInvalid);
        }
        let per_s = per_s.unwrap_or(Rate::INVALID.per_s());
        lowest = Some(lowest.map_or(per_s, |l| l.min(per_s)));
    }
    Rate::from_per_s(lowest?)
}

fn limit_per_s(value: &[u8]) -> Result<f64, Anomaly> {
    let number = text(value).and_then(|t| t.parse::<f64>().ok());
    number.filter(|n| !n.is_nan()).ok_or(Anomaly::LimitInvalid)
}

/// The cooldown in `values`, all of one answer, in ms; invalid values are added
/// to `anomalies`.
pub fn parse_cooldown<'a>(
    values: impl IntoIterator<Item = &'a [u8]>,
    anomalies: &mut Vec<Anomaly>,
) -> Option<u64> {
    let mut longest: Option<f64> = None;
    for (index, value) in values.into_iter().enumerate() {
        if index == 1 {
            anomalies.push(Anomaly::CooldownRepeated);
        }
        let ms = cooldown_value_ms(value, anomalies);
        longest = Some(longest.map_or(ms, |l| l.max(ms)));
    }
    longest.map(|ms| ms as u64).filter(|ms| *ms > 0)
}

fn cooldown_value_ms(value: &[u8], anomalies: &mut Vec<Anomaly>) -> f64 {
    let number = text(value).and_then(|t| t.parse::<f64>().ok());
    match number.filter(|n| !n.is_nan()).map(|s| s * 1_000.0) {
        None => {
            anomalies.push(Anomaly::CooldownInvalid);
            INVALID_COOLDOWN_MS
        }
        Some(ms) if ms < 0.0 => {
            anomalies.push(Anomaly::CooldownNegative);
            0.0
        }
        Some(ms) if ms > MAX_COOLDOWN_MS => {
            anomalies.push(Anomaly::CooldownTooLong);
            MAX_COOLDOWN_MS
        }
        Some(ms) => ms,
    }
}

/// Whether `values`, all of one answer, say that the target is draining. A
/// value that is neither 0 nor 1 requests a cooldown, which is put into
/// `cooldown_ms`.
pub fn parse_draining<'a>(
    values: impl IntoIterator<Item = &'a [u8]>,
    cooldown_ms: &mut Option<u64>,
    anomalies: &mut Vec<Anomaly>,
) -> bool {
    let mut draining = false;
    for value in values {
        match text(value) {
            Some("1") => draining = true,
            Some("0") => {}
            _ => {
                anomalies.push(Anomaly::DrainingInvalid);
                *cooldown_ms = (*cooldown_ms).max(Some(INVALID_COOLDOWN_MS as u64));
            }
        }
    }
    draining
}
