//! Reading what targets say, whatever they write.
//!
//! A target in need may be ill, so odd values are no reason to pass its word
//! over: each is taken on the safe side, and none shuts a target out for ever.

use crate::{Odd, Rate};

/// The text of a header, if it is one.
fn text(value: &[u8]) -> Option<&str> {
    std::str::from_utf8(value).ok().map(str::trim)
}

/// The limit that `values`, all of one answer, name; also what is odd there.
pub fn read_limit<'a>(
    values: impl IntoIterator<Item = &'a [u8]>,
    odd: &mut Vec<Odd>,
) -> Option<Rate> {
    let mut lowest: Option<f64> = None;
    for (at, value) in values.into_iter().enumerate() {
        if at == 1 {
            odd.push(Odd::LimitTwice);
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
    let rate = Rate::of(per_s);
    match rate {
        None => odd.push(Odd::LimitHigh),
        Some(rate) if rate.per_s() > per_s => odd.push(Odd::LimitLow),
        Some(_) => {}
    }
    rate
}

fn limit(value: &[u8]) -> Result<f64, Odd> {
    let number = text(value).and_then(|t| t.parse::<f64>().ok());
    number.filter(|n| !n.is_nan()).ok_or(Odd::LimitUnread)
}
