//! `mangofront load compare`: two reports side by side.

use pico_args::Arguments;
use serde_json::Value;

use super::{CommandError, Verdict, finish, read_json};
use crate::figures::{differences, idle_ratio, slowdown};
use crate::idle::IdleReport;
use crate::report::Report;

pub(super) fn main(mut args: Arguments) -> Result<Verdict, CommandError> {
    let idle: Option<String> = args.opt_value_from_str("--idle")?;
    let before_path: String = args.free_from_str()?;
    let after_path: String = args.free_from_str()?;
    finish(args)?;
    let before: Report = read_json(&before_path)?;
    let after: Report = read_json(&after_path)?;
    match slowdown(&before, &after) {
        Ok(slowdown) => println!("slowdown of short prompts at p95: {slowdown:.3}"),
        Err(error) => println!("slowdown of short prompts at p95: none, {error}"),
    }
    if let Some(path) = &idle {
        let idle: IdleReport = read_json(path)?;
        print_idle_ratio(&before_path, &before, &idle);
        print_idle_ratio(&after_path, &after, &idle);
    }
    print_differences(&read_json(&before_path)?, &read_json(&after_path)?);
    Ok(Verdict::Right)
}

pub(super) fn print_idle_ratio(name: &str, report: &Report, idle: &IdleReport) {
    let ratio = match idle_ratio(report, idle) {
        Ok(ratio) => ratio,
        Err(error) => {
            println!("TTFT p95 against an idle engine, {name}: none, {error}");
            return;
        }
    };
    println!(
        "TTFT p95 against an idle engine, {name}: geometric mean {:.3}",
        ratio.geometric_mean
    );
    for (bucket, ratio) in &ratio.by_length {
        println!("  {:<12}{ratio:>9.3}", bucket.name());
    }
    for bucket in &ratio.left_out {
        println!(
            "  {:<12}  left out: no first token in one of the two",
            bucket.name()
        );
    }
}

fn print_differences(before: &Value, after: &Value) {
    println!(
        "\n{:<64}{:>14}{:>14}{:>9}",
        "field", "first", "second", "ratio"
    );
    for difference in differences(before, after) {
        let ratio = difference.after / difference.before;
        let ratio = if ratio.is_finite() {
            format!("{ratio:.3}")
        } else {
            "-".to_owned()
        };
        println!(
            "{:<64}{:>14.3}{:>14.3}{ratio:>9}",
            difference.field, difference.before, difference.after
        );
    }
}
