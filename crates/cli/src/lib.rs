//! Operator's command line tool.
