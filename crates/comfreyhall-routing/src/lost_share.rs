//! Share of targets that a daemon does not reach, as it reports it to others.
//!
//! Each new value goes to the whole fleet, so the share is reported in steps, and one that
//! moves around a step is reported once.

/// Step of the share, in percent.
const STEP: u32 = 10;

/// How far the share falls below the reported one before a lower one is reported, in percent.
const SLACK: u32 = STEP / 2;

/// The share that was reported last, in percent.
#[derive(Debug, Clone, Copy, Default)]
pub struct LostShare(u32);

impl LostShare {
    /// Returns the share to report while `lost` of `known` targets are lost.
    pub fn update(&mut self, lost: usize, known: usize) -> u32 {
        let percent = (100 * lost / known.max(1)).min(100) as u32;
        if percent >= self.0 || percent + SLACK < self.0 {
            self.0 = percent / STEP * STEP;
        }
        self.0
    }
}

#[cfg(test)]
mod tests;
