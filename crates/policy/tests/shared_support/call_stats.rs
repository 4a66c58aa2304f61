//! Results of the calls of one account.

#[derive(Debug, Default, Clone)]
pub struct Got {
    pub offered: u32,
    pub in_time: u32,
    pub late: u32,
    pub refused: u32,
    pub waits_ms: Vec<u64>,
}

impl Got {
    pub fn quantile_ms(&self, part: f64) -> u64 {
        let mut sorted = self.waits_ms.clone();
        sorted.sort_unstable();
        let at = (sorted.len() as f64 * part) as usize;
        sorted.get(at).copied().unwrap_or(0)
    }
}
