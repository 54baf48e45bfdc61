//! Reports of invalid documents, as an operator reads them.

use mangofront_settings::check::CheckError;
use mangofront_settings::process::check_daemon_settings;
use mangofront_settings::published::{check_published, check_published_one_line};
use miette::{GraphicalReportHandler, GraphicalTheme};

const WIDTH_COLUMNS: usize = 80;

fn render(error: &CheckError) -> String {
    let mut report = String::new();
    GraphicalReportHandler::new_themed(GraphicalTheme::unicode_nocolor())
        .with_width(WIDTH_COLUMNS)
        .render_report(&mut report, error)
        .expect("rendering to a string");
    report
}

/// Report on the example settings with `from` replaced by `to`.
fn settings_with(from: &str, to: &str) -> String {
    let example = include_str!("../../../examples/mangofrontd.jsonc");
    assert!(example.contains(from), "the example has no {from}");
    let broken = example.replacen(from, to, 1);
    let error = check_daemon_settings("mangofrontd.jsonc", &broken).expect_err("broken");
    render(&error)
}

/// Report on the example configuration with `from` replaced by `to`.
fn configuration_with(from: &str, to: &str) -> String {
    let example = include_str!("../../../examples/configuration.jsonc");
    assert!(example.contains(from), "the example has no {from}");
    let broken = example.replacen(from, to, 1);
    render(&check_published(&broken).expect_err("broken"))
}

#[test]
fn syntax_error() {
    insta::assert_snapshot!(settings_with("\"entry-a1\",", "\"entry-a1\""));
}

#[test]
fn empty_document() {
    let error = check_daemon_settings("empty.jsonc", "// nothing\n").expect_err("empty");
    insta::assert_snapshot!(render(&error));
}

#[test]
fn unknown_key_with_nearest() {
    insta::assert_snapshot!(settings_with("\"heartbeat_ms\"", "\"hartbeat_ms\""));
}

#[test]
fn unknown_key_without_nearest() {
    insta::assert_snapshot!(settings_with("\"format\": \"human\"", "\"rotation\": 3"));
}

#[test]
fn wrong_unit() {
    insta::assert_snapshot!(settings_with(
        "\"body_timeout_ms\": 60000",
        "\"body_timeout_s\": 60"
    ));
}

#[test]
fn wrong_type() {
    insta::assert_snapshot!(settings_with("60000", "\"60000\""));
}

#[test]
fn fraction() {
    insta::assert_snapshot!(settings_with("60000", "6e4"));
}

#[test]
fn out_of_range() {
    insta::assert_snapshot!(settings_with("16777216", "16777216000"));
}

#[test]
fn unknown_choice() {
    insta::assert_snapshot!(settings_with("\"info\"", "\"loud\""));
}

#[test]
fn name_instead_of_address() {
    insta::assert_snapshot!(settings_with("127.0.0.1:8090", "platform:8090"));
}

#[test]
fn missing_keys() {
    let error = check_daemon_settings("short.jsonc", "{\"instance\": \"a\"}").expect_err("short");
    insta::assert_snapshot!(render(&error));
}

#[test]
fn key_given_twice() {
    insta::assert_snapshot!(settings_with("\"region\"", "\"instance\""));
}

#[test]
fn same_address_twice() {
    insta::assert_snapshot!(settings_with("127.0.0.1:8082", "127.0.0.1:8080"));
}

#[test]
fn suspicion_before_two_heartbeats() {
    insta::assert_snapshot!(settings_with("4000", "1900"));
}

/// With equal shares, every predicted pass would be either safe or certain to exceed the
/// gap limit.
#[test]
fn safe_gap_share_not_below_broken_gap_share() {
    let gateway = r#""gateway": { "ready_address": "10.0.0.1:81", "news_address": "10.0.0.1:82",
    "choice": { "safe_gap_share": 1.0 } }"#;
    insta::assert_snapshot!(settings_with("\"gateway\": null", gateway));
}

#[test]
fn configuration_with_weight_instance_and_address() {
    insta::assert_snapshot!(configuration_with(
        "\"fencing\": \"checked\"",
        "\"weight\": 3, \"pinned_instances\": [\"a\"], \"address\": \"10.0.0.1:80\""
    ));
}

#[test]
fn configuration_with_unknown_class() {
    insta::assert_snapshot!(configuration_with(
        "\"default_class\": \"diagnosis\"",
        "\"default_class\": \"diagnoses\""
    ));
}

#[test]
fn configuration_with_time_out_of_range() {
    insta::assert_snapshot!(configuration_with(
        "\"time_to_first_token_ms\": 500,",
        "\"time_to_first_token_ms\": 0,"
    ));
}

#[test]
fn configuration_with_wrong_names_and_calls() {
    let error = check_published(
        "{\"classes\": {\"\": {\"time_to_first_token_ms\": 1, \"allowed_delay_ms\": 1}},\n \
          \"organisations\": {\"Größe\\n\": {}},\n \
          \"services\": {\"s\": {\"non_repeatable\": [\n   \
            {\"method\": \"post\", \"path_prefix\": \"orders\"}]}}}",
    );
    insta::assert_snapshot!(render(&error.expect_err("broken")));
}

#[test]
fn one_line_for_the_audit_trail() {
    let text = "{\"classes\": {\"a\\nb\": {\"weight\": 2}}, \"organisations\": {}}";
    let reason = check_published_one_line(text).expect_err("broken");
    assert!(!reason.contains('\n'));
    insta::assert_snapshot!(reason);
}

/// A report on a document in one long line states line and column and quotes nothing.
#[test]
fn long_lines_are_not_quoted() {
    let configuration = check_published(include_str!("../../../examples/configuration.jsonc"));
    let text = serde_json::to_string(&configuration.expect("good")).expect("JSON");
    let broken = text.replacen("500", "0", 1);
    insta::assert_snapshot!(render(&check_published(&broken).expect_err("broken")));
}
