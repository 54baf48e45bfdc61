mod support;

#[path = "../1/case.rs"]
mod case_1;
#[path = "../2/case.rs"]
mod case_2;
#[path = "../3/case.rs"]
mod case_3;
#[path = "../4/case.rs"]
mod case_4;
#[path = "../5/case.rs"]
mod case_5;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    match arguments.get(1).map(String::as_str) {
        Some("runner") => support::run_runner(&arguments[2], &arguments[3]),
        Some("1") => support::play(case_1::play),
        Some("2") => support::play(case_2::play),
        Some("3") => support::play(case_3::play),
        Some("4") => support::play(case_4::play),
        Some("5") => support::play(case_5::play),
        _ => std::process::exit(2),
    }
}
