//! Least squares over a size or its logarithm.

/// What a figure grows with.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Shape {
    /// The size.
    Linear,
    /// The natural logarithm of the size.
    Logarithmic,
}

/// A line through figures.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Fit {
    /// What the figure grows with.
    pub shape: Shape,
    /// Figure where that is 0.
    pub base: f64,
    /// Growth of the figure for each unit of it.
    pub slope: f64,
    /// Part of the variance that the line explains.
    pub quality: f64,
}

impl Fit {
    /// Figure at a size.
    #[must_use]
    pub fn at(&self, size: f64) -> f64 {
        self.base + self.slope * scale(self.shape, size)
    }
}

fn scale(shape: Shape, size: f64) -> f64 {
    match shape {
        Shape::Linear => size,
        Shape::Logarithmic => size.ln(),
    }
}

/// Fits a line to points of a size and a figure.
#[must_use]
pub fn fit(shape: Shape, points: &[(f64, f64)]) -> Fit {
    let xs: Vec<f64> = points.iter().map(|(x, _)| scale(shape, *x)).collect();
    let ys: Vec<f64> = points.iter().map(|(_, y)| *y).collect();
    let (mean_x, mean_y) = (mean(&xs), mean(&ys));
    let product = |a: &[f64], ma: f64, b: &[f64], mb: f64| -> f64 {
        a.iter().zip(b).map(|(p, q)| (p - ma) * (q - mb)).sum()
    };
    let (xx, xy, yy) = (
        product(&xs, mean_x, &xs, mean_x),
        product(&xs, mean_x, &ys, mean_y),
        product(&ys, mean_y, &ys, mean_y),
    );
    let slope = if xx > 0.0 { xy / xx } else { 0.0 };
    let quality = if yy > 0.0 { slope * xy / yy } else { 1.0 };
    Fit {
        shape,
        base: mean_y - slope * mean_x,
        slope,
        quality,
    }
}

fn mean(values: &[f64]) -> f64 {
    let count = u32::try_from(values.len()).unwrap_or(u32::MAX).max(1);
    values.iter().sum::<f64>() / f64::from(count)
}
