//! `mangofront load compare`: compares two reports.

use std::fmt::Write;

use pico_args::Arguments;

use super::{CommandError, Verdict, emit, finish, read_json};
use crate::compare::{Difference, differences, idle_ratio, slowdown};
use crate::idle::IdleReport;
use crate::report::Report;

pub(super) fn main(mut args: Arguments) -> Result<Verdict, CommandError> {
    let idle: Option<String> = args.opt_value_from_str("--idle")?;
    let before_path: String = args.free_from_str()?;
    let after_path: String = args.free_from_str()?;
    finish(args)?;
    let before: Report = read_json(&before_path)?;
    let after: Report = read_json(&after_path)?;
    let idle: Option<IdleReport> = idle.as_deref().map(read_json).transpose()?;
    let differences_found = differences(&read_json(&before_path)?, &read_json(&after_path)?);
    emit(|text| {
        write_slowdown(text, &before, &after)?;
        if let Some(idle) = &idle {
            write_idle_ratio(text, &before_path, &before, idle)?;
            write_idle_ratio(text, &after_path, &after, idle)?;
        }
        write_differences(text, &differences_found)
    })?;
    Ok(Verdict::Pass)
}

fn write_slowdown(text: &mut String, before: &Report, after: &Report) -> std::fmt::Result {
    match slowdown(before, after) {
        Ok(slowdown) => writeln!(text, "slowdown of short prompts at p95: {slowdown:.3}"),
        Err(error) => writeln!(text, "slowdown of short prompts at p95: none, {error}"),
    }
}

pub(super) fn write_idle_ratio(
    text: &mut String,
    name: &str,
    report: &Report,
    idle: &IdleReport,
) -> std::fmt::Result {
    write!(text, "TTFT p95 against an idle engine, {name}: ")?;
    let ratio = match idle_ratio(report, idle) {
        Ok(ratio) => ratio,
        Err(error) => return writeln!(text, "none, {error}"),
    };
    writeln!(text, "geometric mean {:.3}", ratio.geometric_mean)?;
    for (bucket, ratio) in &ratio.by_length {
        writeln!(text, "  {:<12}{ratio:>9.3}", bucket.name())?;
    }
    for bucket in &ratio.left_out {
        let name = bucket.name();
        writeln!(
            text,
            "  {name:<12}  left out: no first token in one of the two"
        )?;
    }
    Ok(())
}

fn write_differences(text: &mut String, differences_found: &[Difference]) -> std::fmt::Result {
    let (first, second) = ("first", "second");
    writeln!(
        text,
        "\n{:<64}{first:>14}{second:>14}{:>9}",
        "field", "ratio"
    )?;
    for difference in differences_found {
        let ratio = difference.after / difference.before;
        let ratio = if ratio.is_finite() {
            format!("{ratio:.3}")
        } else {
            "-".to_owned()
        };
        writeln!(
            text,
            "{:<64}{:>14.3}{:>14.3}{ratio:>9}",
            difference.field, difference.before, difference.after
        )?;
    }
    Ok(())
}
