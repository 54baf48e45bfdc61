//! Fits lines to measured points by least squares.

use std::fmt;

use serde::Serialize;

/// Measured points of one cost against one size, with the line fitted to them.
#[derive(Debug, Clone, Serialize)]
pub struct Series {
    /// Name of the measurement, as `--only` takes it, such as `daemons`.
    pub name: String,
    /// Label of the varied size, with its unit.
    pub x: String,
    /// Label of the cost measured at one daemon, with its unit.
    pub y: String,
    /// Measured points, as size and cost.
    pub points: Vec<[f64; 2]>,
    /// Value of the line at size 0.
    pub intercept: f64,
    /// Growth of the line for each unit of size.
    pub slope: f64,
    /// Root mean square of the vertical distances of the points from the line.
    pub residual: f64,
    /// Coefficient of determination: the share of the variance that the line explains.
    pub r2: f64,
}

impl Series {
    /// Fits a line to `points`.
    pub fn fit(name: &str, x: &str, y: &str, points: Vec<[f64; 2]>) -> Self {
        let count = points.len().max(1) as f64;
        let mean = |axis: usize| points.iter().map(|point| point[axis]).sum::<f64>() / count;
        let (mean_x, mean_y) = (mean(0), mean(1));
        let sum = |term: &dyn Fn(&[f64; 2]) -> f64| points.iter().map(term).sum::<f64>();
        let xx = sum(&|point| (point[0] - mean_x).powi(2));
        let xy = sum(&|point| (point[0] - mean_x) * (point[1] - mean_y));
        let yy = sum(&|point| (point[1] - mean_y).powi(2));
        let slope = if xx > 0.0 { xy / xx } else { 0.0 };
        let intercept = mean_y - slope * mean_x;
        let squares = sum(&|point| (point[1] - intercept - slope * point[0]).powi(2));
        let r2 = if yy > 0.0 { 1.0 - squares / yy } else { 1.0 };
        Self {
            name: name.to_owned(),
            x: x.to_owned(),
            y: y.to_owned(),
            intercept: round(intercept),
            slope: round(slope),
            residual: round((squares / count).sqrt()),
            r2: round(r2),
            points: points.iter().map(|point| point.map(round)).collect(),
        }
    }
}

impl fmt::Display for Series {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}: {} against {}", self.name, self.y, self.x)?;
        for [x, y] in &self.points {
            writeln!(f, "    {x:>12} {y:>12}")?;
        }
        write!(
            f,
            "    = {} + {} x, residual {}, r2 {}",
            self.intercept, self.slope, self.residual, self.r2
        )
    }
}

/// Rounds to five significant digits.
fn round(value: f64) -> f64 {
    format!("{value:.4e}").parse().unwrap_or(value)
}
