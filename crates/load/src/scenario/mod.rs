//! Scenario documents: who sends what, how long and how often.
//!
//! A scenario is a JSONC file. It carries the configuration that an operator
//! would publish for it, so the targets that a report judges by are those that
//! the daemons were given.

mod check;

use std::path::Path;

use mangofront_settings::ids::{ClassName, ModelName, OrganisationId, ServiceName};
use mangofront_settings::published::Configuration;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Prompts longer than this are the long ones, in tokens.
pub const LONG_TOKENS: u64 = 100_000;

/// Scenarios within the program, by name.
const EMBEDDED: [(&str, &str); 3] = [
    ("tuul", include_str!("../../scenarios/tuul.jsonc")),
    (
        "bijela-staza",
        include_str!("../../scenarios/bijela-staza.jsonc"),
    ),
    ("demo", include_str!("../../scenarios/demo.jsonc")),
];

/// One scenario.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Name, as given on the command line.
    pub name: String,
    /// Requests a second that the fleet carries.
    pub capacity_per_s: f64,
    /// Rates as factors of the capacity.
    pub rate_factors: RateFactors,
    /// Time during which requests arrive, in seconds.
    pub duration_s: u64,
    /// Most requests of a run.
    pub request_cap: usize,
    /// Most requests under way at once.
    pub concurrency_cap: usize,
    /// Exponent of the organisations' sizes; 0 makes them equal.
    pub zipf_exponent: f64,
    /// Organisations, largest first.
    pub organisations: Vec<OrganisationId>,
    /// Texts that an organisation reads again and again.
    pub histories_per_organisation: u32,
    /// What the operators publish.
    pub configuration: Configuration,
    /// Kinds of requests.
    pub mix: Vec<Kind>,
}

/// Rates as factors of the capacity.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RateFactors {
    /// An ordinary week.
    pub normal: f64,
    /// The peak week.
    pub peak: f64,
}

/// One kind of request.
#[derive(Debug, Clone, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Kind {
    /// Prompt for a model.
    Model(ModelKind),
    /// Call of a service.
    Service(ServiceKind),
}

impl Kind {
    /// Share of all requests, relative to the other kinds.
    #[must_use]
    pub const fn share(&self) -> f64 {
        match self {
            Self::Model(kind) => kind.share,
            Self::Service(kind) => kind.share,
        }
    }

    /// Class of the requests.
    #[must_use]
    pub const fn class(&self) -> &ClassName {
        match self {
            Self::Model(kind) => &kind.class,
            Self::Service(kind) => &kind.class,
        }
    }
}

/// Prompts of one class.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelKind {
    /// Class of the requests.
    pub class: ClassName,
    /// Model asked for.
    pub model: ModelName,
    /// Path called.
    pub endpoint: Endpoint,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Share of all requests, relative to the other kinds.
    pub share: f64,
    /// Share of the prompts that begin with one of the organisation's histories.
    pub shared_prefix_share: f64,
    /// Least and greatest answer limit, in tokens.
    pub max_tokens: [u32; 2],
    /// Lengths of the prompts.
    pub lengths: Vec<LengthRange>,
}

/// Range of prompt lengths, log-uniform within.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LengthRange {
    /// Least length, in tokens.
    pub from_tokens: u64,
    /// Greatest length, in tokens.
    pub to_tokens: u64,
    /// Share within the kind, relative to its other ranges.
    pub weight: f64,
}

/// Path of a model request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Endpoint {
    /// `/v1/completions`.
    Completions,
    /// `/v1/chat/completions`.
    ChatCompletions,
}

impl Endpoint {
    /// Path of the calls.
    #[must_use]
    pub const fn path(self) -> &'static str {
        match self {
            Self::Completions => "/v1/completions",
            Self::ChatCompletions => "/v1/chat/completions",
        }
    }
}

/// Calls of a service.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceKind {
    /// Class of the requests.
    pub class: ClassName,
    /// Service called.
    pub service: ServiceName,
    /// Path below the service, without a leading slash.
    pub path: String,
    /// Share of all requests, relative to the other kinds.
    pub share: f64,
    /// Share of the calls that are sent a second time with the same key.
    pub repeat_share: f64,
}

/// Scenario that can't be used.
#[derive(Debug, Error)]
pub enum ScenarioError {
    /// Neither an embedded name nor a readable file.
    #[error("scenario {name} is neither embedded nor a readable file: {source}")]
    Unreadable {
        /// Name that was given.
        name: String,
        /// Why the file was not read.
        source: std::io::Error,
    },
    /// Not a scenario document.
    #[error("scenario {name} is malformed: {problem}")]
    Malformed {
        /// Name that was given.
        name: String,
        /// Place and reason.
        problem: String,
    },
    /// Fields that contradict each other.
    #[error("scenario {name} can't be run: {problem}")]
    Inconsistent {
        /// Name that was given.
        name: String,
        /// What is wrong.
        problem: String,
    },
}

impl Scenario {
    /// Names of the scenarios within the program.
    pub fn embedded() -> impl Iterator<Item = &'static str> {
        EMBEDDED.iter().map(|(name, _)| *name)
    }

    /// Reads an embedded scenario by name, or else a file.
    ///
    /// # Errors
    /// [`ScenarioError`] when there is none or it can't be used.
    pub fn load(name: &str) -> Result<Self, ScenarioError> {
        if let Some((_, text)) = EMBEDDED.iter().find(|(known, _)| *known == name) {
            return Self::parse(name, text);
        }
        let text = std::fs::read_to_string(Path::new(name)).map_err(|source| {
            ScenarioError::Unreadable {
                name: name.to_owned(),
                source,
            }
        })?;
        Self::parse(name, &text)
    }

    /// Reads a scenario from the text of a JSONC document.
    ///
    /// # Errors
    /// [`ScenarioError`] when it is malformed or contradicts itself.
    pub fn parse(name: &str, text: &str) -> Result<Self, ScenarioError> {
        let options = jsonc_parser::ParseOptions::default();
        let scenario: Self =
            jsonc_parser::parse_to_serde_value(text, &options).map_err(|error| {
                ScenarioError::Malformed {
                    name: name.to_owned(),
                    problem: error.to_string(),
                }
            })?;
        match scenario.problem() {
            None => Ok(scenario),
            Some(problem) => Err(ScenarioError::Inconsistent {
                name: name.to_owned(),
                problem,
            }),
        }
    }

    /// First kind of prompts in the mix.
    #[must_use]
    pub fn first_model(&self) -> Option<&ModelKind> {
        self.mix.iter().find_map(|kind| match kind {
            Kind::Model(kind) => Some(kind),
            Kind::Service(_) => None,
        })
    }

    /// Share of the prompts that are longer than [`LONG_TOKENS`].
    #[must_use]
    pub fn long_share(&self) -> f64 {
        let mut long = 0.0;
        let mut all = 0.0;
        for kind in &self.mix {
            let Kind::Model(kind) = kind else { continue };
            let weights: f64 = kind.lengths.iter().map(|range| range.weight).sum();
            let long_weights: f64 = kind
                .lengths
                .iter()
                .filter(|range| range.from_tokens >= LONG_TOKENS)
                .map(|range| range.weight)
                .sum();
            all += kind.share;
            long += kind.share * long_weights / weights;
        }
        long / all
    }
}
