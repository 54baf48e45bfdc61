//! Report as an aligned text table.

use std::fmt::Write;

use super::{Counts, Report};
use crate::times::Quantiles;

/// Maximum number of failures shown; the JSON report lists more.
const MAX_FAILURES_SHOWN: usize = 3;

/// Formats the report for a terminal.
#[must_use]
pub fn table(report: &Report) -> String {
    let mut text = String::new();
    // Writing to a string can't fail.
    let _ = write_table(&mut text, report);
    text
}

fn write_table(text: &mut String, report: &Report) -> std::fmt::Result {
    write_run(text, report)?;
    let generator = &report.generator;
    writeln!(
        text,
        "generator   lateness p50 {:.2} ms, p99 {:.2} ms, max {:.2} ms; at most {} under way",
        generator.lateness.p50_ms,
        generator.lateness.p99_ms,
        generator.lateness.max_ms,
        generator.in_flight_max,
    )?;
    write_counts(text, report)?;
    write_lengths(text, report)?;
    write_classes(text, report)?;
    write_remainder(text, report)
}

fn write_run(text: &mut String, report: &Report) -> std::fmt::Result {
    let run = &report.run;
    writeln!(
        text,
        "run         {} seed {}, {} targets, {:.1}/s for {:.1} s (ended at {:.1} s), time scale {}{}",
        run.scenario,
        run.seed,
        run.targets,
        run.rate_per_s,
        run.arrivals_ms / 1000.0,
        run.elapsed_ms / 1000.0,
        run.time_scale,
        if run.without_long {
            ", without long prompts"
        } else {
            ""
        },
    )
}

fn write_counts(text: &mut String, report: &Report) -> std::fmt::Result {
    let Counts {
        requests,
        done,
        refused,
        failed,
        wrong_answer,
        generator_failure,
    } = report.counts;
    writeln!(
        text,
        "requests    {requests}: {done} done, {refused} refused, {failed} failed, {wrong_answer} wrong, {generator_failure} not sent by the generator",
    )
}

fn write_lengths(text: &mut String, report: &Report) -> std::fmt::Result {
    writeln!(text)?;
    write_heading(text, "TTFT by prompt length (tokens)", "")?;
    for (bucket, length) in &report.by_length {
        write_row(
            text,
            bucket.name(),
            &length.counts,
            &length.time_to_first_token,
        )?;
        writeln!(text)?;
    }
    Ok(())
}

fn write_classes(text: &mut String, report: &Report) -> std::fmt::Result {
    writeln!(text)?;
    write_heading(text, "TTFT by class", "  target ms  target met  limit met")?;
    for (name, class) in &report.by_class {
        write_row(text, name, &class.counts, &class.time_to_first_token)?;
        writeln!(
            text,
            "  {:>9.0}  {:>9.1}%  {:>8.1}%",
            class.target_ms,
            class.target_met_share * 100.0,
            class.limit_met_share * 100.0,
        )?;
    }
    Ok(())
}

fn write_heading(text: &mut String, title: &str, more: &str) -> std::fmt::Result {
    writeln!(
        text,
        "{title:<32}{:>7}{:>7}{:>9}{:>9}{:>10}{:>10}{:>10}{more}",
        "count", "done", "refused", "failed", "p50 ms", "p95 ms", "p99 ms",
    )
}

fn write_row(
    text: &mut String,
    name: &str,
    counts: &Counts,
    times: &Quantiles,
) -> std::fmt::Result {
    write!(
        text,
        "  {name:<30}{:>7}{:>7}{:>9}{:>9}{:>10.1}{:>10.1}{:>10.1}",
        counts.requests,
        counts.done,
        counts.refused,
        counts.failed,
        times.p50_ms,
        times.p95_ms,
        times.p99_ms,
    )
}

fn write_remainder(text: &mut String, report: &Report) -> std::fmt::Result {
    let inter_token = &report.time_between_tokens;
    writeln!(
        text,
        "\ntokens      time between p50 {:.1} ms, p95 {:.1} ms, p99 {:.1} ms",
        inter_token.p50_ms, inter_token.p95_ms, inter_token.p99_ms,
    )?;
    writeln!(
        text,
        "goodput     {:.1} requests/s, {:.1} tokens/s within class time",
        report.goodput.requests_per_s, report.goodput.tokens_per_s,
    )?;
    let fairness = &report.fairness;
    writeln!(
        text,
        "fairness    Jain's index {:.4} over {} organisations",
        fairness.jain_index,
        fairness.organisations.len(),
    )?;
    let services = &report.services;
    writeln!(
        text,
        "services    {} keys, {} repeats: {} ran more than once, {} unknown, {} not run",
        services.keys, services.repeats, services.duplicates, services.unknown, services.not_run,
    )?;
    if let Some(counted) = &report.counted_services {
        writeln!(
            text,
            "counted     {} keys: {} ran more than once, {} ran though not run was said, {} did not run though done was said",
            counted.keys,
            counted.ran_more_than_once,
            counted.ran_though_not_run,
            counted.not_run_though_done,
        )?;
    }
    let refusals = &report.refusal_answer_time;
    if refusals.count > 0 {
        writeln!(
            text,
            "refusals    answered within p99 {:.2} ms",
            refusals.p99_ms
        )?;
    }
    for (code, count) in &report.refused_by_code {
        writeln!(text, "  refused {code}: {count}")?;
    }
    for (cause, count) in &report.failed_by_cause {
        writeln!(text, "  failed {cause}: {count}")?;
    }
    for failure in report.first_failures.iter().take(MAX_FAILURES_SHOWN) {
        let id = failure.request_id.as_deref().unwrap_or("without id");
        writeln!(text, "    {id}: {}", failure.problem)?;
    }
    for wrong in &report.wrong_answers {
        let id = wrong.request_id.as_deref().unwrap_or("without id");
        writeln!(text, "  WRONG ANSWER {id}: {}", wrong.problem)?;
    }
    Ok(())
}
