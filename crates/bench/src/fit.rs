//! Straight lines through measured points.

/// A line that was fitted through points.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Fit {
    /// Value at 0.
    pub base: f64,
    /// Growth per unit.
    pub slope: f64,
    /// Share of the variance that the line explains; 1 for an exact fit.
    pub r_squared: f64,
}

/// Least squares through the points, or `None` below two distinct abscissas.
///
/// # Examples
///
/// ```
/// use firweir_bench::fit::fit;
///
/// let line = fit(&[(1.0, 3.0), (2.0, 5.0), (3.0, 7.0)]).ok_or("no line")?;
/// assert!((line.slope - 2.0).abs() < 1e-9);
/// # Ok::<(), &str>(())
/// ```
#[must_use]
pub fn fit(points: &[(f64, f64)]) -> Option<Fit> {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let var_x: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let var_y: f64 = points.iter().map(|(_, y)| (y - mean_y).powi(2)).sum();
    let cov: f64 = points
        .iter()
        .map(|(x, y)| (x - mean_x) * (y - mean_y))
        .sum();
    if points.len() < 2 || var_x <= 0.0 {
        return None;
    }
    let slope = cov / var_x;
    let r_squared = if var_y > 0.0 {
        cov * cov / (var_x * var_y)
    } else {
        1.0
    };
    Some(Fit {
        base: mean_y - slope * mean_x,
        slope,
        r_squared,
    })
}
