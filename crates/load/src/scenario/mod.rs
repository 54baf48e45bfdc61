//! Scenario documents: the callers, their requests, prompt lengths and rates.
//!
//! A scenario is a JSONC file. It contains the configuration that an operator
//! would publish for it, so a report evaluates the same targets that the daemons
//! were given.

mod check;

use std::path::Path;

use mangofront_settings::ids::{ClassName, ModelName, OrganisationId, ServiceName};
use mangofront_settings::published::Configuration;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Prompts longer than this count as long, in tokens.
pub const LONG_TOKENS: u64 = 100_000;

/// Scenarios embedded in the program, by name.
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
    /// Capacity of the fleet, in requests per second.
    pub capacity_per_s: f64,
    /// Request rates, as factors of the capacity.
    pub rate_factors: RateFactors,
    /// Duration of the arrivals, in seconds.
    pub duration_s: u64,
    /// Maximum number of requests in a run.
    pub request_cap: usize,
    /// Maximum number of requests in flight.
    pub concurrency_cap: usize,
    /// Exponent of the Zipf distribution of requests over organisations; 0 makes
    /// it uniform.
    pub zipf_exponent: f64,
    /// Organisations, by descending number of requests.
    pub organisations: Vec<OrganisationId>,
    /// Number of shared prompt prefixes for each organisation.
    pub histories_per_organisation: u32,
    /// Configuration that operators publish.
    pub configuration: Configuration,
    /// Kinds of requests and their shares.
    pub mix: Vec<Kind>,
}

/// Request rates, as factors of the capacity.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RateFactors {
    /// Rate of an ordinary week.
    pub normal: f64,
    /// Rate of the peak week.
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
    /// Returns the share of all requests, relative to the other kinds.
    #[must_use]
    pub const fn share(&self) -> f64 {
        match self {
            Self::Model(kind) => kind.share,
            Self::Service(kind) => kind.share,
        }
    }

    /// Returns the class of the requests.
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
    /// Requested model.
    pub model: ModelName,
    /// Endpoint of the requests.
    pub endpoint: Endpoint,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Share of all requests, relative to the other kinds.
    pub share: f64,
    /// Share of the prompts that start with one of the organisation's histories.
    pub shared_prefix_share: f64,
    /// Minimum and maximum answer limit, in tokens.
    pub max_tokens: [u32; 2],
    /// Lengths of the prompts.
    pub lengths: Vec<LengthRange>,
}

/// Range of prompt lengths with a log-uniform distribution.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LengthRange {
    /// Minimum length, in tokens.
    pub from_tokens: u64,
    /// Maximum length, in tokens.
    pub to_tokens: u64,
    /// Share within the kind, relative to its other ranges.
    pub weight: f64,
}

/// Endpoint of a model request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Endpoint {
    /// `/v1/completions`.
    Completions,
    /// `/v1/chat/completions`.
    ChatCompletions,
}

impl Endpoint {
    /// Returns the URL path.
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

/// Failure to load a scenario.
#[derive(Debug, Error)]
pub enum ScenarioError {
    /// The name is neither an embedded scenario nor a readable file.
    #[error("scenario {name} is neither embedded nor a readable file: {source}")]
    Unreadable {
        /// Name of the scenario, as given.
        name: String,
        /// Error of reading the file.
        source: std::io::Error,
    },
    /// The document is not a scenario.
    #[error("scenario {name} is malformed: {problem}")]
    Malformed {
        /// Name of the scenario, as given.
        name: String,
        /// Position and reason.
        problem: String,
    },
    /// Fields are inconsistent.
    #[error("scenario {name} can't be run: {problem}")]
    Inconsistent {
        /// Name of the scenario, as given.
        name: String,
        /// What is wrong.
        problem: String,
    },
}

impl Scenario {
    /// Returns the names of the embedded scenarios.
    pub fn embedded() -> impl Iterator<Item = &'static str> {
        EMBEDDED.iter().map(|(name, _)| *name)
    }

    /// Loads the embedded scenario of this name, or else the file at this path.
    ///
    /// # Errors
    /// [`ScenarioError`] when it can't be read or is invalid.
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

    /// Parses a scenario from the text of a JSONC document.
    ///
    /// # Errors
    /// [`ScenarioError`] when it is malformed or inconsistent.
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

    /// Returns the first model kind in the mix.
    #[must_use]
    pub fn first_model(&self) -> Option<&ModelKind> {
        self.mix.iter().find_map(|kind| match kind {
            Kind::Model(kind) => Some(kind),
            Kind::Service(_) => None,
        })
    }

    /// Returns the share of the prompts that are longer than [`LONG_TOKENS`].
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
