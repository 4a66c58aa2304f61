//! Results of the calls of one account.

#[derive(Debug, Default, Clone)]
pub struct CallStats {
    pub offered: u32,
    pub in_time: u32,
    pub late: u32,
    pub refused: u32,
    pub latencies_ms: Vec<u64>,
}

impl CallStats {
    pub fn quantile_ms(&self, fraction: f64) -> u64 {
        let mut sorted = self.latencies_ms.clone();
        sorted.sort_unstable();
        let at = (sorted.len() as f64 * fraction) as usize;
        sorted.get(at).copied().unwrap_or(0)
    }
}
