//! Load generator, scenarios and reports.
