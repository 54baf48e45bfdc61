//! Attempts at one stream that run beside each other.

use std::ops::Range;

use mangofront_gateway::{AttemptNumber, EventId, ResumePoint, StreamFault, StreamRace};
use quickcheck::{Arbitrary, Gen, QuickCheck};

/// A chunk that completes no event.
const NOTHING: &[u8] = b"";

/// The first attempt and its replacement, after the event 5.
fn two_attempts() -> StreamRace {
    let mut race = StreamRace::new(Some(5));
    race.begin(0, Some(5));
    race.begin(1, Some(5));
    race
}

fn push(race: &mut StreamRace, attempt: AttemptNumber, chunk: &str) -> Vec<u8> {
    race.push(attempt, chunk.as_bytes())
        .expect("an attempt that runs")
        .to_vec()
}

/// Guards against pieces of two attempts, and against events that both bring.
#[test]
fn the_first_attempt_to_complete_an_event_discards_the_others() {
    let mut race = two_attempts();
    assert_eq!(push(&mut race, 0, "id: 6\ndata: of the fi"), NOTHING);
    let second = "id: 6\ndata: of the second\n\n";
    assert_eq!(push(&mut race, 1, second), second.as_bytes());
    assert_eq!(race.push(0, b"rst\n\n"), Err(StreamFault::Discarded));
    assert_eq!(race.finish(0), Err(StreamFault::Discarded));
    assert_eq!(race.resume_point(), ResumePoint::After(Some(6)));
    let third = "id: 7\ndata: c\n\n";
    assert_eq!(push(&mut race, 1, third), third.as_bytes());
    assert_eq!(race.finish(1), Ok(()));
}

/// Guards against a replacement that discards the first attempt by events that the caller has.
#[test]
fn events_that_were_forwarded_before_do_not_win() {
    let mut race = two_attempts();
    assert_eq!(push(&mut race, 1, "id: 4\ndata: a\n\n"), NOTHING);
    assert_eq!(push(&mut race, 1, "id: 5\ndata: b\n\n"), NOTHING);
    let next = "id: 6\ndata: c\n\n";
    assert_eq!(push(&mut race, 0, next), next.as_bytes());
    assert_eq!(race.push(1, NOTHING), Err(StreamFault::Discarded));
}

/// Guards against a replacement that discards the first attempt by a sign of life alone.
#[test]
fn a_comment_does_not_win() {
    let mut race = two_attempts();
    assert_eq!(push(&mut race, 1, ": connected\n\n"), NOTHING);
    let next = "id: 6\ndata: c\n\n";
    assert_eq!(push(&mut race, 0, next), next.as_bytes());
    let mut alone = StreamRace::new(None);
    alone.begin(0, None);
    assert_eq!(push(&mut alone, 0, ": alive\n\n"), b": alive\n\n");
    assert_eq!(alone.resume_point(), ResumePoint::After(None));
}

/// Guards against a failed replacement that ends the attempt beside it.
#[test]
fn the_failure_of_one_attempt_leaves_the_other() {
    let mut race = two_attempts();
    push(&mut race, 0, "id: 6\nda");
    race.discard(1);
    assert_eq!(race.push(1, b"id: 6\n"), Err(StreamFault::Discarded));
    let whole = b"id: 6\ndata: x\n\n";
    assert_eq!(push(&mut race, 0, "ta: x\n\n"), whole);
}

/// Guards against a stream that passes for complete because another attempt has ended.
#[test]
fn the_end_of_one_attempt_does_not_complete_the_other() {
    let mut race = two_attempts();
    push(&mut race, 0, "id: 6\nda");
    push(&mut race, 1, "id: 6\ndata: x\n\n");
    assert_eq!(race.finish(0), Err(StreamFault::Discarded));
    push(&mut race, 1, "id: 7\n");
    assert_eq!(race.finish(1), Err(StreamFault::EndedWithinEvent));
}

/// Guards against events after the end of a stream.
#[test]
fn an_attempt_that_ends_discards_the_others() {
    let mut race = two_attempts();
    assert_eq!(race.finish(1), Ok(()));
    let late = race.push(0, b"id: 6\ndata: x\n\n");
    assert_eq!(late, Err(StreamFault::Discarded));
}

/// Guards against the end of an attempt that failed to bring what the caller has.
#[test]
fn an_attempt_that_ends_before_the_last_forwarded_event_is_not_complete() {
    let mut race = two_attempts();
    push(&mut race, 1, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    assert!(race.finish(1).is_err());
    let next = "id: 6\ndata: c\n\n";
    assert_eq!(push(&mut race, 0, next), next.as_bytes());
    assert_eq!(race.finish(0), Ok(()));
}

/// Guards against a repetition of an event that no other attempt can leave out.
#[test]
fn an_event_without_an_id_cannot_be_resumed_after() {
    let mut race = StreamRace::new(None);
    race.begin(0, None);
    push(&mut race, 0, "id: 1\ndata: a\n\ndata: b\n\n");
    assert_eq!(race.resume_point(), ResumePoint::None);
    push(&mut race, 0, ": comment\n\n");
    assert_eq!(race.resume_point(), ResumePoint::None, "after a comment");
    push(&mut race, 0, "id: 2\ndata: c\n\n");
    assert_eq!(race.resume_point(), ResumePoint::After(Some(2)));
}

/// Guards against events without ids that an upstream sends again as it starts over.
#[test]
fn events_without_ids_among_repeated_ones_are_dropped() {
    let mut race = two_attempts();
    let again = "id: 4\ndata: a\n\ndata: b\n\nid: 5\ndata: c\n\n";
    assert_eq!(push(&mut race, 1, again), NOTHING);
    let next = "data: d\n\nid: 6\ndata: e\n\n";
    assert_eq!(push(&mut race, 1, next), next.as_bytes());
}

/// Guards against events that were forwarded between the send of a request and its answer.
#[test]
fn an_attempt_that_begins_late_repeats_nothing() {
    let mut race = StreamRace::new(Some(5));
    race.begin(0, Some(5));
    push(&mut race, 0, "data: x\n\nid: 6\ndata: a\n\n");
    race.begin(1, Some(5));
    let again = "data: x\n\nid: 6\ndata: a\n\n";
    assert_eq!(push(&mut race, 1, again), NOTHING);
    push(&mut race, 0, "data: y\n\n");
    race.begin(2, Some(6));
    assert_eq!(
        race.push(2, b"data: y\n\n"),
        Err(StreamFault::Discarded),
        "after an event without an id"
    );
}

/// Guards against the rest of an event that was rejected, and the events after it.
#[test]
fn nothing_of_an_attempt_is_forwarded_after_an_endless_event() {
    let mut race = two_attempts();
    let endless = vec![b'x'; 1024 * 1024 + 1];
    assert_eq!(race.push(0, &endless), Err(StreamFault::EndlessEvent));
    assert_eq!(
        race.push(0, b"\n\nid: 9\ndata: x\n\n"),
        Err(StreamFault::Discarded)
    );
    let next = "id: 6\ndata: c\n\n";
    assert_eq!(push(&mut race, 1, next), next.as_bytes());
}

#[derive(Debug, Clone, Copy)]
enum Step {
    /// A request is sent; its answer begins at once, or with its first chunk.
    Send { is_late: bool, starts_over: bool },
    /// An attempt sends up to so many bytes, and ends if these were all.
    Chunk { attempt: usize, length: usize },
    /// An attempt breaks off, or ends if that is within an event.
    Break { attempt: usize },
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let attempt = usize::arbitrary(g) % ATTEMPTS;
        match u8::arbitrary(g) % 12 {
            0..=2 => Self::Send {
                is_late: bool::arbitrary(g),
                starts_over: bool::arbitrary(g),
            },
            3 => Self::Break { attempt },
            _ => Self::Chunk {
                attempt,
                length: usize::arbitrary(g) % 50,
            },
        }
    }
}

/// Attempts that run beside each other at most.
const ATTEMPTS: usize = 3;

/// A stream as an upstream has it: each event after the first has an id, data alone, or neither.
#[derive(Debug, Clone)]
struct Stream {
    has_crlf: bool,
    kinds: Vec<Kind>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    WithId,
    DataOnly,
    Comment,
}

impl Arbitrary for Stream {
    fn arbitrary(g: &mut Gen) -> Self {
        let may_lack_ids = bool::arbitrary(g);
        let kind = |byte: u8| match byte % 8 {
            0 => Kind::Comment,
            1 if may_lack_ids => Kind::DataOnly,
            _ => Kind::WithId,
        };
        let kinds = (0..u8::arbitrary(g) % 12).map(|_| kind(u8::arbitrary(g)));
        let kinds = std::iter::once(Kind::WithId).chain(kinds).collect();
        let has_crlf = bool::arbitrary(g);
        Self { has_crlf, kinds }
    }
}

impl Stream {
    fn block(&self, index: usize) -> String {
        let text = match self.kinds[index] {
            Kind::WithId => format!("id: {}\ndata: text {index}\n\n", index + 1),
            Kind::DataOnly => format!("event: x\ndata: text {index}\n\n"),
            Kind::Comment => format!(": comment {index}\n\n"),
        };
        match self.has_crlf {
            true => text.replace('\n', "\r\n"),
            false => text,
        }
    }

    fn text(&self, blocks: Range<usize>) -> String {
        blocks.map(|index| self.block(index)).collect()
    }

    /// All that an upstream sends after an event.
    fn text_after(&self, after: Option<EventId>) -> Vec<u8> {
        let first = after.map_or(0, |id| id as usize);
        self.text(first..self.kinds.len()).into_bytes()
    }

    /// The events, without comments.
    fn events(&self) -> String {
        let events = (0..self.kinds.len()).filter(|index| self.kinds[*index] != Kind::Comment);
        events.map(|index| self.block(index)).collect()
    }
}

struct Attempt {
    number: AttemptNumber,
    after: Option<EventId>,
    has_begun: bool,
    rest: Vec<u8>,
}

/// A caller, and the attempts at its stream.
struct Relay<'a> {
    stream: &'a Stream,
    race: StreamRace,
    attempts: Vec<Attempt>,
    sent: AttemptNumber,
    received: Vec<u8>,
    is_finished: bool,
}

impl Relay<'_> {
    fn apply(&mut self, step: Step) {
        match step {
            Step::Send {
                is_late,
                starts_over,
            } => self.send(is_late, starts_over),
            Step::Chunk { attempt, length } => self.chunk(attempt, length),
            Step::Break { attempt } if attempt < self.attempts.len() => {
                let attempt = self.attempts.remove(attempt);
                if self.is_within_block(&attempt.rest) {
                    assert!(self.race.finish(attempt.number).is_err(), "half an event");
                }
                self.race.discard(attempt.number);
            }
            Step::Break { .. } => {}
        }
    }

    fn send(&mut self, is_late: bool, starts_over: bool) {
        let ResumePoint::After(after) = self.race.resume_point() else {
            return;
        };
        if self.attempts.len() == ATTEMPTS {
            return;
        }
        let first = if starts_over { None } else { after };
        let number = self.sent;
        self.sent += 1;
        if !is_late {
            self.race.begin(number, after);
        }
        self.attempts.push(Attempt {
            number,
            after,
            has_begun: !is_late,
            rest: self.stream.text_after(first),
        });
    }

    fn chunk(&mut self, index: usize, length: usize) {
        let Some(attempt) = self.attempts.get_mut(index) else {
            return;
        };
        let number = attempt.number;
        if !std::mem::replace(&mut attempt.has_begun, true) {
            self.race.begin(number, attempt.after);
        }
        let chunk = attempt.rest.drain(..length.min(attempt.rest.len()));
        let pushed = self.race.push(number, &chunk.collect::<Vec<u8>>());
        let has_ended = self.attempts[index].rest.is_empty();
        let is_discarded = pushed.is_err();
        match pushed {
            Ok(bytes) => self.received.extend_from_slice(&bytes),
            Err(fault) => assert_eq!(fault, StreamFault::Discarded),
        }
        if has_ended {
            self.is_finished |= self.race.finish(number).is_ok();
        }
        if has_ended || is_discarded {
            self.attempts.remove(index);
        }
    }

    /// Whether an attempt that has yet to send `rest` sent a part of a block.
    fn is_within_block(&self, rest: &[u8]) -> bool {
        let blocks = self.stream.kinds.len();
        (0..=blocks).all(|first| self.stream.text(first..blocks).as_bytes() != rest)
    }

    /// The events that the caller has, if all of them are whole.
    fn events(&self) -> String {
        let text = String::from_utf8(self.received.clone()).expect("text");
        let end = if self.stream.has_crlf {
            "\r\n\r\n"
        } else {
            "\n\n"
        };
        assert!(text.is_empty() || text.ends_with(end), "half an event");
        let blocks = text.split_inclusive(end);
        blocks.filter(|block| !block.starts_with(':')).collect()
    }
}

/// Guards against events that are lost, doubled, out of order or joined, and against streams
/// that pass for complete, however the chunks of the attempts are interleaved.
#[test]
fn any_interleaving_of_attempts_gives_each_event_once() {
    fn property(stream: Stream, steps: Vec<Step>) -> bool {
        let expected = stream.events();
        let mut relay = Relay {
            stream: &stream,
            race: StreamRace::new(None),
            attempts: Vec::new(),
            sent: 0,
            received: Vec::new(),
            is_finished: false,
        };
        relay.send(false, false);
        for step in steps {
            relay.apply(step);
            let events = relay.events();
            assert!(expected.starts_with(&events), "{events:?}");
            if relay.is_finished {
                return events == expected;
            }
        }
        // Whatever happened, one of the attempts or another one completes the stream.
        let can_resume = relay.race.resume_point() != ResumePoint::None;
        relay.send(false, false);
        while !relay.is_finished && !relay.attempts.is_empty() {
            relay.chunk(0, usize::MAX);
        }
        relay.events() == expected || !can_resume
    }
    QuickCheck::new()
        .tests(20_000)
        .quickcheck(property as fn(Stream, Vec<Step>) -> bool);
}
