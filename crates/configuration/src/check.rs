//! Checks that a published value has to pass before it comes into force.

use std::collections::BTreeSet;

use mangofront_settings::instances::InstanceList;
use mangofront_settings::published::Configuration;

/// Parses and checks the text of a configuration; the error is a message for operators.
pub type Checker = fn(&str) -> Result<Configuration, String>;

/// Default checker of a configuration.
///
/// # Errors
/// Describes the first fault: invalid JSON, an unknown field, a class that does not
/// exist, or a time of zero.
pub fn check_configuration(text: &str) -> Result<Configuration, String> {
    let configuration: Configuration =
        serde_json::from_str(text).map_err(|error| error.to_string())?;
    check_times(&configuration)?;
    check_default_classes(&configuration)?;
    Ok(configuration)
}

fn check_times(configuration: &Configuration) -> Result<(), String> {
    for (name, class) in &configuration.classes {
        if class.time_to_first_token_ms == 0 {
            return Err(format!("class {name}: time_to_first_token_ms is zero"));
        }
        if class.allowed_delay_ms == 0 {
            return Err(format!("class {name}: allowed_delay_ms is zero"));
        }
    }
    if configuration.idempotency.window_ms == 0 {
        return Err("idempotency: window_ms is zero".to_owned());
    }
    Ok(())
}

fn check_default_classes(configuration: &Configuration) -> Result<(), String> {
    for (name, organisation) in &configuration.organisations {
        let Some(class) = &organisation.default_class else {
            continue;
        };
        if !configuration.classes.contains_key(class) {
            return Err(format!("organisation {name}: no class {class}"));
        }
    }
    Ok(())
}

/// Parses and checks the text of an instance list.
pub(crate) fn check_instances(text: &str) -> Result<InstanceList, String> {
    let list: InstanceList = serde_json::from_str(text).map_err(|error| error.to_string())?;
    let mut names = BTreeSet::new();
    for instance in &list.instances {
        if !names.insert(&instance.instance) {
            return Err(format!("instance {} is listed twice", instance.instance));
        }
    }
    Ok(list)
}
