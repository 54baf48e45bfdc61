//! Verification of answers against the expected text.

use mangofront_load::verify::{AnswerChecker, Expected, WrongAnswer};
use quickcheck::quickcheck;

const ANSWER: [&str; 4] = [" one", " two", " dva", " tri"];

const EXPECTED: Expected = Expected {
    digest: 0,
    length_tokens: 4,
    limit_tokens: 4,
    token_text: |_, offset| ANSWER[offset as usize].to_owned(),
};

fn check(pieces: &[&str]) -> Result<(), WrongAnswer> {
    let mut check = AnswerChecker::new(EXPECTED);
    for piece in pieces {
        check.text(piece)?;
    }
    check.finish_reason("length")?;
    check.end()
}

#[test]
fn complete_answers_pass_however_they_are_split() {
    assert_eq!(check(&ANSWER), Ok(()));
    assert_eq!(check(&[&ANSWER.concat()]), Ok(()));
    assert_eq!(check(&[" o", "ne tw", "", "o dva t", "ri"]), Ok(()));
}

#[test]
fn faults_are_named() {
    let faults = [
        check(&[" one", " dva", " two", " tri"]),
        check(&[" one", " one", " two", " dva", " tri"]),
        check(&[" one", " two", " dva"]),
        check(&[" one", " two", " dva", " t"]),
        check(&[" one", " two", " dva", " tri", " tri"]),
        check(&["one"]),
        check(&[]),
        AnswerChecker::new(EXPECTED).offset(2),
        AnswerChecker::new(EXPECTED).finish_reason("stop"),
        AnswerChecker::new(Expected {
            length_tokens: 0,
            ..EXPECTED
        })
        .end(),
    ];
    let named: Vec<String> = faults
        .into_iter()
        .map(|fault| fault.expect_err("each is a fault").to_string())
        .collect();
    insta::assert_snapshot!(named.join("\n"));
}

quickcheck! {
    /// Any single swapped, dropped, repeated or altered byte is detected.
    fn one_changed_byte_is_detected(place: usize, change: u8) -> bool {
        let complete = ANSWER.concat();
        let mut bytes = complete.clone().into_bytes();
        let place = place % bytes.len();
        match change % 4 {
            0 => drop(bytes.remove(place)),
            1 => bytes.insert(place, bytes[place]),
            2 => bytes[place] = b'x',
            _ => bytes.swap(place, (place + 1) % complete.len()),
        }
        let changed = String::from_utf8(bytes).expect("all are ASCII");
        // Two adjacent bytes may be the same letter.
        (changed == complete) == check(&[&changed]).is_ok()
    }
}
