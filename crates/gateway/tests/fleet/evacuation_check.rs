//! Whether daemons keep to evacuations in time.

use std::time::Duration;

use mangofront_engines::key_of;

use crate::daemon::{Daemon, name, zone};
use crate::script::{EvacuatedSpan, UPSTREAMS, upstream};

/// Time within which both the evacuation of a zone and its end must be known to every daemon.
pub const BOUND: Duration = Duration::from_millis(1_500);

/// Observations of all evacuations.
#[derive(Debug)]
pub struct EvacuationCheck {
    spans: Vec<SpanObservation>,
}

#[derive(Debug)]
struct SpanObservation {
    span: EvacuatedSpan,
    /// Last use of the zone by each daemon within the time, and how late it was.
    late_use: Vec<Option<Duration>>,
    /// How long after the end of the evacuation each daemon began to use the zone.
    used_again_after: Vec<Option<Duration>>,
}

impl EvacuationCheck {
    pub fn new(spans: &[EvacuatedSpan]) -> Self {
        let observation = |span: &EvacuatedSpan| SpanObservation {
            span: *span,
            late_use: Vec::new(),
            used_again_after: Vec::new(),
        };
        Self {
            spans: spans.iter().map(observation).collect(),
        }
    }

    /// Records which daemons would use the zones, `at` since the start of the script.
    pub fn observe(&mut self, daemons: &[Daemon], at: Duration) {
        for one in &mut self.spans {
            one.late_use.resize(daemons.len(), None);
            one.used_again_after.resize(daemons.len(), None);
            let of_zone = (0..UPSTREAMS).map(upstream);
            let mut of_zone =
                of_zone.filter(|one_of| one_of.availability_zone == zone(one.span.zone));
            let key = key_of(&of_zone.next().expect("each zone has upstreams"));
            for (index, daemon) in daemons.iter().enumerate() {
                let is_used = daemon.accepts_work(key);
                if is_used && at > one.span.from + BOUND && at < one.span.until {
                    one.late_use[index] = Some(at - one.span.from);
                }
                if is_used && at >= one.span.until {
                    one.used_again_after[index].get_or_insert(at - one.span.until);
                }
            }
        }
    }

    pub fn faults(&self) -> Vec<String> {
        let mut faults = Vec::new();
        for one in &self.spans {
            let zone = zone(one.span.zone);
            let late = one.late_use.iter().enumerate();
            faults.extend(late.filter_map(|(index, late)| {
                let (daemon, late): (String, Duration) = (name(index), (*late)?);
                Some(format!(
                    "{daemon} used {zone} {late:.2?} after its evacuation"
                ))
            }));
            let again = one.used_again_after.iter().enumerate();
            let not_in_time = again.filter(|(_, after)| after.is_none_or(|after| after > BOUND));
            faults.extend(not_in_time.map(|(index, after)| {
                let daemon = name(index);
                format!("{daemon} used {zone} again after {after:.2?}")
            }));
        }
        faults
    }
}
