//! Consistency checks of a scenario.

use mangofront_settings::published::Configuration;

use super::{Kind, LengthRange, ModelKind, Scenario};

/// Maximum prompt length, in tokens: twice the longest that users send.
const MAX_PROMPT_TOKENS: u64 = 2_000_000;

impl Scenario {
    /// Returns a description of the first inconsistency.
    pub(super) fn problem(&self) -> Option<String> {
        if self.organisations.is_empty() || self.mix.is_empty() {
            return Some("organisations and mix must not be empty".to_owned());
        }
        let rates = [
            self.capacity_per_s,
            self.rate_factors.normal,
            self.rate_factors.peak,
        ];
        if !rates.into_iter().all(is_positive) || !self.zipf_exponent.is_finite() {
            return Some("capacity and rate factors must be above 0".to_owned());
        }
        for organisation in &self.organisations {
            if !self.configuration.organisations.contains_key(organisation) {
                return Some(format!("organisation {organisation} is not configured"));
            }
        }
        self.mix.iter().find_map(|kind| self.kind_problem(kind))
    }

    fn kind_problem(&self, kind: &Kind) -> Option<String> {
        let class = kind.class();
        if !self.configuration.classes.contains_key(class) {
            return Some(format!("class {class} is not configured"));
        }
        if !is_positive(kind.share()) {
            return Some(format!("share of {class} must be above 0"));
        }
        match kind {
            Kind::Model(kind) => model_problem(kind, &self.configuration),
            Kind::Service(kind) if !self.configuration.services.contains_key(&kind.service) => {
                Some(format!("service {} is not configured", kind.service))
            }
            Kind::Service(_) => None,
        }
    }
}

fn model_problem(kind: &ModelKind, configuration: &Configuration) -> Option<String> {
    if !configuration.models.contains_key(&kind.model) {
        return Some(format!("model {} is not configured", kind.model));
    }
    let [least, greatest] = kind.max_tokens;
    if least == 0 || least > greatest {
        return Some(format!("max_tokens of {} is no range", kind.class));
    }
    let is_valid = |range: &LengthRange| {
        0 < range.from_tokens
            && range.from_tokens <= range.to_tokens
            && range.to_tokens <= MAX_PROMPT_TOKENS
            && is_positive(range.weight)
    };
    if kind.lengths.is_empty() || !kind.lengths.iter().all(is_valid) {
        return Some(format!("lengths of {} are no ranges", kind.class));
    }
    None
}

const fn is_positive(number: f64) -> bool {
    number.is_finite() && number > 0.0
}
