//! Runs in which zones are evacuated.

use std::time::Duration;

use rand::RngExt;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;

use super::{
    EvacuatedSpan, LINK_BYTES_PER_S, LinkPlan, OBSERVED_AFTER, Script, Step, draw_failure,
    draw_one_served, draw_turned_away,
};
use crate::daemon::{DAEMONS, ZONES};
use crate::evacuation_check::BOUND;
use crate::store::Phase;

/// What happens to the store beside the evacuations.
#[derive(Debug, Clone, Copy)]
enum Trouble {
    TurnedAway,
    OneServed,
    /// Away from all daemons after the evacuations are known.
    AwayHalfway,
    /// Restored from a copy without the evacuations after these are known.
    RestoredHalfway,
    /// Restored right before, so that copies of other daemons' values tell of the evacuations.
    RestoredBefore,
}

pub(super) fn draw(random: &mut StdRng) -> Script {
    let trouble = match random.random_range(0..4) {
        0 => Trouble::TurnedAway,
        1 => Trouble::OneServed,
        2 => Trouble::AwayHalfway,
        _ => Trouble::RestoredHalfway,
    };
    draw_with(random, trouble)
}

pub(super) fn draw_after_restore(random: &mut StdRng) -> Script {
    draw_with(random, Trouble::RestoredBefore)
}

fn draw_with(random: &mut StdRng, trouble: Trouble) -> Script {
    let mut zones: Vec<usize> = (0..ZONES).collect();
    zones.shuffle(random);
    zones.truncate(random.random_range(1..=2));
    let from = Duration::from_millis(random.random_range(1_000..2_000));
    let halfway = from + BOUND + Duration::from_millis(random.random_range(100..500));
    let until = halfway + Duration::from_millis(random.random_range(2_500..3_500));
    let end = until + BOUND + OBSERVED_AFTER;
    let mut steps = Vec::new();
    let mut spans = Vec::new();
    for zone in zones {
        let apart = Duration::from_millis(random.random_range(0..200));
        let span = EvacuatedSpan {
            zone,
            from: from + apart,
            until: until + apart,
        };
        steps.push((span.from, Step::Evacuate(zone)));
        steps.push((span.until, Step::EndEvacuation(zone)));
        spans.push(span);
    }
    if random.random_bool(0.3) {
        steps.push((from, Step::DropHistory));
    }
    let (title, links) = match trouble {
        Trouble::TurnedAway => draw_turned_away(random, end),
        Trouble::OneServed => draw_one_served(random, end),
        Trouble::AwayHalfway => {
            let phase = Phase {
                from: halfway,
                until: until - Duration::from_millis(800),
                outcome: draw_failure(random),
            };
            (format!("store away, {:?}", phase.outcome), links(&[phase]))
        }
        Trouble::RestoredHalfway => {
            steps.push((halfway, Step::Restore));
            ("store restored".to_owned(), links(&[]))
        }
        Trouble::RestoredBefore => {
            steps.push((from - Duration::from_millis(1), Step::Restore));
            ("store restored before".to_owned(), links(&[]))
        }
    };
    steps.sort_by_key(|step| step.0);
    Script {
        title: format!("{title}, {} zones evacuated", spans.len()),
        steps,
        links,
        expected: Vec::new(),
        evacuations: spans,
        end: end + Duration::from_millis(200),
    }
}

fn links(phases: &[Phase]) -> Vec<LinkPlan> {
    let link = |_| LinkPlan {
        bytes_per_s: LINK_BYTES_PER_S,
        phases: phases.to_vec(),
    };
    (0..DAEMONS).map(link).collect()
}
