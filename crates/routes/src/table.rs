//! One version of the configuration, indexed for lookup.

use std::collections::HashMap;
use std::time::Duration;

use mangofront_settings::ids::{OrganisationId, ServiceName};
use serde::{Deserialize, Serialize};

use crate::{AllowedRegions, ApiKey, ConfigurationVersion, Route, Service};

/// Limits on callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Largest request body, in bytes.
    pub body_limit_bytes: usize,
    /// Longest time between two requests on one connection.
    pub idle_timeout: Duration,
}

/// The organisation that a key identifies.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Organisation {
    /// Name.
    pub id: OrganisationId,
    /// Priority that overrides the route's; 0 is the most urgent.
    pub priority: Option<u8>,
    /// Regions in which its requests may run, besides those of the route.
    pub allowed_regions: AllowedRegions,
}

/// Contents of a [`RouteTable`].
#[derive(Debug, Clone, PartialEq)]
pub struct RouteTableParts {
    /// Version of the configuration.
    pub version: ConfigurationVersion,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services.
    pub services: Vec<Service>,
    /// Limits on callers.
    pub limits: CallerLimits,
    /// Organisations by key; `None` if requests need no key.
    pub organisations: Option<HashMap<ApiKey, Organisation>>,
}

/// One version of the configuration.
///
/// Invariant: the routes of a host are sorted by descending prefix length.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RouteTable {
    version: ConfigurationVersion,
    by_host: HashMap<String, Vec<Route>>,
    services: HashMap<ServiceName, Service>,
    limits: CallerLimits,
    organisations: Option<HashMap<ApiKey, Organisation>>,
}

impl RouteTable {
    /// Builds the indexes.
    #[must_use]
    pub fn new(parts: RouteTableParts) -> Self {
        let mut by_host: HashMap<String, Vec<Route>> = HashMap::new();
        for route in parts.routes {
            by_host.entry(route.host.clone()).or_default().push(route);
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let services = parts.services.into_iter();
        Self {
            version: parts.version,
            by_host,
            services: services
                .map(|service| (service.name.clone(), service))
                .collect(),
            limits: parts.limits,
            organisations: parts.organisations,
        }
    }

    /// Version of the configuration.
    #[must_use]
    pub fn version(&self) -> ConfigurationVersion {
        self.version
    }

    /// The route of a request: the one of its host with the longest prefix of its path.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let routes = self.by_host.get(host)?;
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Looks up a service by name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// All services, in no particular order.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.values()
    }

    /// Limits on callers.
    #[must_use]
    pub fn limits(&self) -> CallerLimits {
        self.limits
    }

    /// Whether requests need a key unless their route says otherwise.
    #[must_use]
    pub fn needs_keys(&self) -> bool {
        self.organisations.is_some()
    }

    /// The organisation to which a key belongs.
    #[must_use]
    pub fn organisation(&self, key: &str) -> Option<&Organisation> {
        self.organisations.as_ref()?.get(key)
    }

    /// Number of routes.
    #[must_use]
    pub fn route_count(&self) -> usize {
        self.by_host.values().map(Vec::len).sum()
    }
}
