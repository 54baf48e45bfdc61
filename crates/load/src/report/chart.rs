//! A report as a picture.

use super::Report;

/// Picture that could not be drawn.
#[derive(Debug, thiserror::Error)]
#[error("chart could not be drawn: {0}")]
pub struct ChartError(String);

/// Draws the times to first token by length as SVG text.
///
/// # Errors
/// [`ChartError`] when the library fails.
pub fn write_chart(_report: &Report) -> Result<String, ChartError> {
    Err(ChartError("not yet".to_owned()))
}
