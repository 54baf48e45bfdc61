//! Contradictions within a scenario.

use mangofront_settings::published::Configuration;

use super::{Kind, LengthRange, ModelKind, Scenario};

impl Scenario {
    /// First contradiction, as a sentence.
    pub(super) fn problem(&self) -> Option<String> {
        if self.organisations.is_empty() || self.mix.is_empty() {
            return Some("organisations and mix must not be empty".to_owned());
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
    let sound = |range: &LengthRange| {
        0 < range.from_tokens && range.from_tokens <= range.to_tokens && range.weight > 0.0
    };
    if kind.lengths.is_empty() || !kind.lengths.iter().all(sound) {
        return Some(format!("lengths of {} are no ranges", kind.class));
    }
    None
}
