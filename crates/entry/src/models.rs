//! The list of models.

use http::{Response, StatusCode};
use mangofront_http::{Body, json};
use serde::Serialize;

use crate::context::Entry;
use crate::error::EntryError;

#[derive(Serialize)]
struct ModelList<'a> {
    object: &'static str,
    data: Vec<ModelEntry<'a>>,
}

#[derive(Serialize)]
struct ModelEntry<'a> {
    id: &'a str,
    object: &'static str,
    owned_by: &'static str,
}

/// Lists the models of the current configuration.
pub(crate) fn list(entry: &Entry) -> Result<Response<Body>, EntryError> {
    let accepted = entry.configuration()?;
    let data = accepted
        .configuration
        .models
        .keys()
        .map(|id| ModelEntry {
            id,
            object: "model",
            owned_by: "mangofront",
        })
        .collect();
    Ok(json(
        StatusCode::OK,
        &ModelList {
            object: "list",
            data,
        },
    ))
}
